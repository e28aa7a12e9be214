package sablehinge.gateway.node;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.logging.Log;
import sablehinge.common.logging.Logging;
import sablehinge.dataplane.http1.Frontend;
import sablehinge.dataplane.proxy.Answer;
import sablehinge.dataplane.proxy.Observer;
import sablehinge.dataplane.proxy.Registry;
import sablehinge.dataplane.proxy.Roster;
import sablehinge.dataplane.proxy.Version;
import sablehinge.gateway.config.operator.OperatorConfig;
import sablehinge.gateway.config.operator.OperatorConfig.ListenerPart;
import sablehinge.gateway.config.operator.OperatorFile;
import sablehinge.gateway.config.operator.Problem;
import sablehinge.gateway.config.versions.VersionStore;
import sablehinge.gateway.rollout.ChangeDecider;
import sablehinge.gateway.rollout.ChangeDecider.Phase;
import sablehinge.gateway.rollout.ChangeDecider.Reply;
import sablehinge.gateway.rollout.ChangeDecider.TrialTerms;
import sablehinge.gateway.rollout.OutcomeCounts.Outcome;
import sablehinge.policy.LoadBalancer.Change;
import sablehinge.policy.LoadBalancer.State;

/**
 * Carries out the configuration changes that {@link ChangeDecider} decides: on listeners, in the proxy and on the disk.
 * Everything runs on the event loop except file operations and parsing, which run sequentially on another thread; the
 * event loop never waits for them.
 */
final class Versions implements ChangeDecider.Actions, Observer {

    private static final Logger LOG = LoggerFactory.getLogger(Versions.class);
    private static final double TICK_MS = 50;
    /** The time for which a removed listener continues to accept clients that do not know of its removal. */
    private static final double LISTENER_GRACE_MS = 2_000;
    /** The maximum number of versions with requests in flight. */
    static final int MAX_ACTIVE_VERSIONS = 8;
    /** A version whose file was parsed, with its source of servers once it is applied. */
    private static final class LoadedVersion {
        final OperatorConfig config;
        final Version version;
        final Roster fileRoster;
        ServerSource source;

        LoadedVersion(OperatorConfig config, Version version, Roster fileRoster) {
            this.config = config;
            this.version = version;
            this.fileRoster = fileRoster;
        }
    }

    private final OperatorNode node;
    private final VersionStore store;
    private final FileTasks files;
    private final ChangeDecider decider;
    private final Map<Integer, LoadedVersion> loadedVersions = new HashMap<>();
    private final Map<ListenerPart, Frontend> frontends = new LinkedHashMap<>();
    /** Removed listeners that still accept clients; a later change may use them again. */
    private final Map<ListenerPart, Frontend> retiring = new HashMap<>();

    private final Map<InetSocketAddress, ServerSource> discoverySources = new HashMap<>();
    private final List<String> zones = new ArrayList<>();
    private final List<String> kinds = new ArrayList<>();
    private VersionPreparation preparation;
    private boolean ticking;
    /** The duration of the last rollback, from its decision until new requests used the previous version. */
    private double lastUndoMs;
    /** The time since which too few servers are ready for the version on trial; NaN while enough are. */
    private double tooFewReadySinceMs = Double.NaN;

    /** Starts with a version that counts as confirmed; the store records that once the process serves. */
    Versions(OperatorNode node, VersionStore store, ExecutorService files, int number, OperatorConfig first) {
        this.node = node;
        this.store = store;
        this.files = new FileTasks(files, node.loop());
        decider = new ChangeDecider(number, this);
        LoadedVersion loaded = load(number, first);
        loaded.source = source(loaded);
    }

    private LoadedVersion load(int number, OperatorConfig config) {
        Version version = config.version(number, zones, kinds);
        LoadedVersion loaded = new LoadedVersion(config, version, config.roster(number, zones, kinds));
        loadedVersions.put(number, loaded);
        return loaded;
    }

    private LoadedVersion current() {
        return loadedVersions.get(
                node.proxy().version() == null
                        ? decider.confirmed()
                        : node.proxy().version().number());
    }

    /** Starts the proxy with the first version. */
    void start(long seed) {
        LoadedVersion first = loadedVersions.get(decider.confirmed());
        node.proxy().setObserver(this);
        node.proxy().start(first.version, seed, first.source.roster(), node.transport(), new CurrentSource());
    }

    /** The listeners of a configuration without their names, which may change; only port 0 needs a name as its key. */
    static List<ListenerPart> listenerKeys(OperatorConfig config) {
        List<ListenerPart> keys = new ArrayList<>();
        config.listeners()
                .forEach(part -> keys.add(part.address().getPort() == 0 ? part : new ListenerPart("", part.address())));
        return keys;
    }

    /** The frontends of the current version; those of the first version are added before it serves. */
    Map<ListenerPart, Frontend> frontends() {
        return frontends;
    }

    /** All frontends that accept clients, including retiring ones and those of a version in preparation. */
    List<Frontend> allFrontends() {
        List<Frontend> all = new ArrayList<>(frontends.values());
        all.addAll(retiring.values());
        if (preparation != null) {
            all.addAll(preparation.bound().values());
        }
        return all;
    }

    OperatorConfig config() {
        return current().config;
    }

    /** Delegates the requests of the module to the source of the current version. */
    private final class CurrentSource implements Registry {

        @Override
        public void fetch() {
            current().source.fetch();
        }

        @Override
        public void watch(boolean on) {
            current().source.watch(on);
        }
    }

    private ServerSource source(LoadedVersion loaded) {
        InetSocketAddress address = loaded.config.discovery();
        if (address == null) {
            return ServerSource.fromFile(loaded.fileRoster);
        }
        return discoverySources.computeIfAbsent(address, discoveryAddress -> {
            AtomicReference<ServerSource> created = new AtomicReference<>();
            created.set(ServerSource.fromDiscovery(
                    listener -> node.newDiscovery(discoveryAddress, zones, kinds, listener),
                    (change, roster) -> onRosterChanged(created.get(), change, roster)));
            return created.get();
        });
    }

    private void onRosterChanged(ServerSource source, Change change, Roster roster) {
        if (source == current().source) {
            node.proxy().onRosterChanged(change, roster);
        } else if (roster != null) {
            List<Roster.Member> notReady = new ArrayList<>(roster.members());
            notReady.removeIf(member -> member.upstream().state() == State.READY);
            node.proxy().updateDraining(new Roster(roster.version(), false, notReady));
        }
    }

    // ---- Requests of operators ----------------------------------------------------------------------

    /** The result of staging: the number of the version, the problems of the file, or a refusal. */
    record StagingResult(int version, List<Problem> problems, String refusal) {}

    /** Checks a file and stores it as a version with a base; base 0 is the confirmed version. */
    void stage(byte[] content, int base, Consumer<StagingResult> callback) {
        int actualBase = base == 0 ? decider.confirmed() : base;
        OperatorConfig runningConfig = current().config;
        files.run(() -> OperatorFile.parse(content), (parsed, failure) -> {
            Reply check = decider.checkStaging(actualBase);
            String refusal = failure != null
                    ? failure
                    : !check.accepted()
                            ? check.message()
                            : parsed.config() == null
                                    ? null
                                    : FixedSettings.conflict(
                                            runningConfig, parsed.config(), zones.size() + kinds.size());
            if (refusal != null || parsed.config() == null) {
                callback.accept(new StagingResult(0, parsed == null ? List.of() : parsed.problems(), refusal));
                return;
            }
            files.run(() -> store.stage(content), (number, writeFailure) -> {
                if (writeFailure != null) {
                    callback.accept(new StagingResult(0, List.of(), writeFailure));
                    return;
                }
                Reply recheck = decider.checkStaging(actualBase);
                if (!recheck.accepted()) {
                    callback.accept(new StagingResult(0, List.of(), recheck.message()));
                    return;
                }
                load(number, parsed.config());
                decider.staged(number, actualBase);
                loadedVersions
                        .keySet()
                        .removeIf(stored -> stored != decider.confirmed()
                                && stored != decider.candidate()
                                && !decider.stagedVersions().containsKey(stored));
                callback.accept(new StagingResult(number, List.of(), null));
            });
        });
    }

    Reply drop(int version) {
        Reply reply = decider.drop(version);
        if (reply.accepted()) {
            loadedVersions.remove(version);
        }
        return reply;
    }

    /** Applies a staged version; {@code confirmWithinMs} 0 stands for the value in its file. */
    Reply apply(int version, double confirmWithinMs, boolean automatic) {
        LoadedVersion loaded = loadedVersions.get(version);
        if (loaded != null && node.proxy().versions() >= MAX_ACTIVE_VERSIONS) {
            return new Reply(
                    false,
                    "requests of " + node.proxy().versions()
                            + " versions are at work; try again when they are answered");
        }
        OperatorConfig.ChangePart part = loaded == null ? current().config.change() : loaded.config.change();
        Reply reply = decider.apply(
                node.clock().now(),
                version,
                new TrialTerms(
                        confirmWithinMs > 0 ? confirmWithinMs : part.confirmWithin(),
                        part.readyWithin(),
                        part.failedRise(),
                        part.refusedRise(),
                        part.leastCount(),
                        automatic));
        if (reply.accepted()) {
            logVersion("applied", version, "configuration: version {} is applied");
            scheduleTick();
        }
        return reply;
    }

    Reply confirm(int version) {
        return decider.confirm(node.clock().now(), version);
    }

    Reply rollback() {
        return decider.rollback(node.clock().now());
    }

    ChangeDecider decider() {
        return decider;
    }

    double lastUndoMs() {
        return lastUndoMs;
    }

    /** Reads the content of a version. */
    void content(int version, BiConsumer<byte[], String> callback) {
        files.run(() -> store.content(version), callback);
    }

    // ---- Actions of the decider ---------------------------------------------------------------------

    private void scheduleTick() {
        if (!ticking && decider.phase() != Phase.NONE) {
            ticking = true;
            node.timers().at(node.clock().now() + TICK_MS, () -> {
                ticking = false;
                double now = node.clock().now();
                checkReadyServers(now);
                decider.tick(now);
                scheduleTick();
            });
        }
    }

    private void checkReadyServers(double now) {
        if (decider.phase() != Phase.TRIAL) {
            tooFewReadySinceMs = Double.NaN;
            return;
        }
        LoadedVersion trial = loadedVersions.get(decider.candidate());
        OperatorConfig.ChangePart terms = trial.config.change();
        int ready = trial.source.ready().size();
        if (ready >= terms.readyLeast()) {
            tooFewReadySinceMs = Double.NaN;
        } else if (Double.isNaN(tooFewReadySinceMs)) {
            tooFewReadySinceMs = now;
        } else if (now - tooFewReadySinceMs >= terms.readyWithin()) {
            decider.versionFailed(
                    now,
                    decider.candidate(),
                    ready + " servers are ready, at least " + terms.readyLeast() + " must be");
        }
    }

    @Override
    public void mark(int version) {
        files.write(
                () -> store.markOnTrial(version),
                failure -> decider.marked(node.clock().now(), version, failure));
    }

    @Override
    public void prepare(int version) {
        LoadedVersion loaded = loadedVersions.get(version);
        loaded.source = source(loaded);
        List<ListenerPart> missing = listenerKeys(loaded.config);
        missing.removeAll(frontends.keySet());
        Map<ListenerPart, Frontend> restored = new LinkedHashMap<>();
        missing.removeIf(part -> {
            Frontend frontend = retiring.remove(part);
            return frontend != null && frontend.cancelRetirement() && restored.put(part, frontend) == null;
        });
        preparation = new VersionPreparation(
                loaded.config,
                loaded.source,
                node.transport(),
                node.clock(),
                node.timers(),
                failure -> decider.prepared(node.clock().now(), version, failure));
        preparation.bound().putAll(restored);
        preparation.start(missing, node::newFrontend);
    }

    @Override
    public void begin(int version) {
        frontends.putAll(preparation.bound());
        preparation = null;
        adopt(loadedVersions.get(version));
        logVersion("on-trial", version, "configuration: version {} is on trial");
    }

    private static void logVersion(String event, int version, String message) {
        Log.info(LOG, "version-" + event).addKeyValue("version", version).log(message, version);
    }

    private void adopt(LoadedVersion loaded) {
        ServerSource previous = current().source;
        Logging.apply(loaded.config.log());
        node.proxy().adopt(loaded.version, loaded.source.roster());
        if (loaded.source != previous && loaded.config.discovery() != null) {
            loaded.source.watch(true);
        }
    }

    @Override
    public void writeConfirmed(int version) {
        files.write(
                () -> store.confirm(version),
                failure -> decider.confirmationWritten(node.clock().now(), version, failure));
    }

    @Override
    public void undo(int version, int restored, String reason) {
        double startedMs = node.clock().now();
        if (preparation != null) {
            preparation.cancel();
            preparation.bound().forEach((part, frontend) -> retire(part, frontend, 0));
            preparation = null;
        }
        if (node.proxy().version().number() == version) {
            adopt(loadedVersions.get(restored));
        }
        lastUndoMs = node.clock().now() - startedMs;
        Log.warn(LOG, "version-undone")
                .addKeyValue("version", version)
                .addKeyValue("current", restored)
                .addKeyValue("reason", reason)
                .log("configuration: version {} is undone, version {} is current: {}", version, restored, reason);
        release(version, restored);
        // If this write fails as well, the mark remains, and the next start rolls the version back.
        files.write(() -> store.markOnTrial(0), failure -> {});
    }

    @Override
    public void releasePrevious(int version, int previous) {
        logVersion("confirmed", version, "configuration: version {} is confirmed");
        release(previous, version);
    }

    private void retire(ListenerPart part, Frontend frontend, double graceMs) {
        retiring.put(part, frontend);
        frontend.retire(graceMs, () -> retiring.remove(part, frontend));
    }

    /** Releases what a version uses and the remaining version does not. */
    private void release(int version, int remainingVersion) {
        LoadedVersion released = loadedVersions.remove(version);
        LoadedVersion remaining = loadedVersions.get(remainingVersion);
        for (ListenerPart part : List.copyOf(frontends.keySet())) {
            if (!listenerKeys(remaining.config).contains(part)) {
                retire(part, frontends.remove(part), LISTENER_GRACE_MS);
            }
        }
        node.proxy().release(version);
        if (released != null
                && released.source != null
                && released.source != remaining.source
                && released.config.discovery() != null) {
            released.source.watch(false);
            discoverySources.remove(released.config.discovery());
        }
    }

    @Override
    public void answered(
            String requestId, Version version, int serviceClass, Answer.Kind kind, int attempts, double elapsedMs) {
        Outcome outcome =
                switch (kind) {
                    case SERVED -> Outcome.SERVED;
                    case REFUSED -> Outcome.REFUSED;
                    case FAILED, UNANSWERED, BROKEN, LOOP -> Outcome.FAILED;
                };
        decider.responseSent(node.clock().now(), version.number(), outcome);
        node.recordResponse(requestId, version, serviceClass, kind, attempts, elapsedMs);
    }
}

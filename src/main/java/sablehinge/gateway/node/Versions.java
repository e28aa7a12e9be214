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
 * Executes changes of the configuration: what {@link ChangeDecider} asks for, on the sockets, in core and on the disk.
 * All of it runs on the loop but for files and parsing, which have a thread of their own, one task after another; the
 * loop never waits for it.
 */
final class Versions implements ChangeDecider.Actions, Observer {

    private static final Logger LOG = LoggerFactory.getLogger(Versions.class);
    private static final double TICK_MS = 50;
    /** For so long after it is given up, a listener lets in callers who don't know yet. */
    private static final double LISTENER_GRACE_MS = 2_000;
    /** Versions that may have requests at work at once. */
    static final int MAX_ALIVE = 8;
    /** A version that was read: what it says, and what it stands on once it is applied. */
    private static final class Running {
        final OperatorConfig config;
        final Version version;
        final Roster listed;
        ServerSource source;

        Running(OperatorConfig config, Version version, Roster listed) {
            this.config = config;
            this.version = version;
            this.listed = listed;
        }
    }

    private final OperatorNode node;
    private final VersionStore store;
    private final FileTasks files;
    private final ChangeDecider decider;
    private final Map<Integer, Running> known = new HashMap<>();
    private final Map<ListenerPart, Frontend> fronts = new LinkedHashMap<>();
    /** Those that are being given up, which a change may want back. */
    private final Map<ListenerPart, Frontend> leaving = new HashMap<>();

    private final Map<InetSocketAddress, ServerSource> discovered = new HashMap<>();
    private final List<String> zones = new ArrayList<>();
    private final List<String> kinds = new ArrayList<>();
    private VersionPreparation preparation;
    private boolean ticking;
    /** How long the last undoing took, from its decision until requests arrived under the version before. */
    private double undoMs;
    /** Since when fewer servers are ready than the version on trial asks for; NaN while enough are. */
    private double bare = Double.NaN;

    /** Begins with a version that counts as confirmed; the store is notified of that once it serves. */
    Versions(OperatorNode node, VersionStore store, ExecutorService files, int number, OperatorConfig first) {
        this.node = node;
        this.store = store;
        this.files = new FileTasks(files, node.loop());
        decider = new ChangeDecider(number, this);
        Running running = read(number, first);
        running.source = source(running);
    }

    private Running read(int number, OperatorConfig config) {
        Version version = config.version(number, zones, kinds);
        Running running = new Running(config, version, config.roster(number, zones, kinds));
        known.put(number, running);
        return running;
    }

    private Running current() {
        return known.get(
                node.core().version() == null
                        ? decider.confirmed()
                        : node.core().version().number());
    }

    /** Starts core with the first version. */
    void start(long seed) {
        Running first = known.get(decider.confirmed());
        node.core().setObserver(this);
        node.core().start(first.version, seed, first.source.roster(), node.transport(), new CurrentSource());
    }

    /** Its listeners without their names, which may change; only a port that the system picks needs one. */
    static List<ListenerPart> places(OperatorConfig config) {
        List<ListenerPart> places = new ArrayList<>();
        config.listeners()
                .forEach(part ->
                        places.add(part.address().getPort() == 0 ? part : new ListenerPart("", part.address())));
        return places;
    }

    /** The listeners of the first version, to be bound before it serves. */
    Map<ListenerPart, Frontend> fronts() {
        return fronts;
    }

    /** All that let callers in, also those being given up and those bound for a change that is not begun. */
    List<Frontend> listening() {
        List<Frontend> all = new ArrayList<>(fronts.values());
        all.addAll(leaving.values());
        if (preparation != null) {
            all.addAll(preparation.bound().values());
        }
        return all;
    }

    OperatorConfig config() {
        return current().config;
    }

    /** The module asks whatever source the current version has. */
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

    private ServerSource source(Running running) {
        InetSocketAddress address = running.config.discovery();
        if (address == null) {
            return ServerSource.listed(running.listed);
        }
        return discovered.computeIfAbsent(address, a -> {
            AtomicReference<ServerSource> made = new AtomicReference<>();
            made.set(ServerSource.discovered(
                    listener -> node.discovery(a, zones, kinds, listener),
                    (change, roster) -> onRosterChanged(made.get(), change, roster)));
            return made.get();
        });
    }

    private void onRosterChanged(ServerSource source, Change change, Roster roster) {
        if (source == current().source) {
            node.core().onRosterChanged(change, roster);
        } else if (roster != null) {
            List<Roster.Member> off = new ArrayList<>(roster.members());
            off.removeIf(m -> m.upstream().state() == State.READY);
            node.core().updateDraining(new Roster(roster.version(), false, off));
        }
    }

    // ---- What operators ask for ---------------------------------------------------------------------

    /** What a staging came to: a number, or problems of the file, or a refusal. */
    record Staged(int version, List<Problem> problems, String refusal) {}

    /** Checks content and writes it as a version over a base; a base of 0 is the confirmed one. */
    void stage(byte[] content, int base, Consumer<Staged> end) {
        int over = base == 0 ? decider.confirmed() : base;
        OperatorConfig running = current().config;
        files.run(() -> OperatorFile.parse(content), (checked, failure) -> {
            Reply may = decider.checkStaging(over);
            String refusal = failure != null
                    ? failure
                    : !may.accepted()
                            ? may.message()
                            : checked.config() == null
                                    ? null
                                    : FixedSettings.conflict(running, checked.config(), zones.size() + kinds.size());
            if (refusal != null || checked.config() == null) {
                end.accept(new Staged(0, checked == null ? List.of() : checked.problems(), refusal));
                return;
            }
            files.run(() -> store.stage(content), (number, unwritten) -> {
                if (unwritten != null) {
                    end.accept(new Staged(0, List.of(), unwritten));
                    return;
                }
                Reply still = decider.checkStaging(over);
                if (!still.accepted()) {
                    end.accept(new Staged(0, List.of(), still.message()));
                    return;
                }
                read(number, checked.config());
                decider.staged(number, over);
                known.keySet()
                        .removeIf(n -> n != decider.confirmed()
                                && n != decider.candidate()
                                && !decider.stagedVersions().containsKey(n));
                end.accept(new Staged(number, List.of(), null));
            });
        });
    }

    Reply drop(int version) {
        Reply reply = decider.drop(version);
        if (reply.accepted()) {
            known.remove(version);
        }
        return reply;
    }

    /** Applies a staged version; {@code confirmWithin} is 0 for what its file says. */
    Reply apply(int version, double confirmWithin, boolean automatic) {
        Running running = known.get(version);
        if (running != null && node.core().versions() >= MAX_ALIVE) {
            return new Reply(
                    false,
                    "requests of " + node.core().versions()
                            + " versions are at work; try again when they are answered");
        }
        OperatorConfig.ChangePart part = running == null ? current().config.change() : running.config.change();
        Reply reply = decider.apply(
                node.clock().now(),
                version,
                new TrialTerms(
                        confirmWithin > 0 ? confirmWithin : part.confirmWithin(),
                        part.readyWithin(),
                        part.failedRise(),
                        part.refusedRise(),
                        part.leastCount(),
                        automatic));
        if (reply.accepted()) {
            reported("applied", version, "configuration: version {} is applied");
            tickSoon();
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

    double undoMs() {
        return undoMs;
    }

    /** The content of a version. */
    void content(int version, BiConsumer<byte[], String> end) {
        files.run(() -> store.content(version), end);
    }

    // ---- What the decider asks for ------------------------------------------------------------------

    private void tickSoon() {
        if (!ticking && decider.phase() != Phase.NONE) {
            ticking = true;
            node.timers().at(node.clock().now() + TICK_MS, () -> {
                ticking = false;
                double now = node.clock().now();
                watchServers(now);
                decider.tick(now);
                tickSoon();
            });
        }
    }

    private void watchServers(double now) {
        if (decider.phase() != Phase.TRIAL) {
            bare = Double.NaN;
            return;
        }
        Running trial = known.get(decider.candidate());
        OperatorConfig.ChangePart terms = trial.config.change();
        int ready = trial.source.ready().size();
        if (ready >= terms.readyLeast()) {
            bare = Double.NaN;
        } else if (Double.isNaN(bare)) {
            bare = now;
        } else if (now - bare >= terms.readyWithin()) {
            decider.versionFailed(
                    now,
                    decider.candidate(),
                    ready + " servers are ready, at least " + terms.readyLeast() + " must be");
        }
    }

    @Override
    public void mark(int version) {
        files.write(
                () -> store.mark(version),
                failure -> decider.marked(node.clock().now(), version, failure));
    }

    @Override
    public void prepare(int version) {
        Running running = known.get(version);
        running.source = source(running);
        List<ListenerPart> missing = places(running.config);
        missing.removeAll(fronts.keySet());
        Map<ListenerPart, Frontend> back = new LinkedHashMap<>();
        missing.removeIf(part -> {
            Frontend left = leaving.remove(part);
            return left != null && left.stay() && back.put(part, left) == null;
        });
        preparation = new VersionPreparation(
                running.config,
                running.source,
                node.transport(),
                node.clock(),
                node.timers(),
                failure -> decider.prepared(node.clock().now(), version, failure));
        preparation.bound().putAll(back);
        preparation.start(missing, node::front);
    }

    @Override
    public void begin(int version) {
        fronts.putAll(preparation.bound());
        preparation = null;
        adopt(known.get(version));
        reported("on-trial", version, "configuration: version {} is on trial");
    }

    private static void reported(String event, int version, String text) {
        Log.info(LOG, "version-" + event).addKeyValue("version", version).log(text, version);
    }

    private void adopt(Running running) {
        ServerSource before = current().source;
        Logging.apply(running.config.log());
        node.core().adopt(running.version, running.source.roster());
        if (running.source != before && running.config.discovery() != null) {
            running.source.watch(true);
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
        double begun = node.clock().now();
        if (preparation != null) {
            preparation.abandon();
            preparation.bound().forEach((part, front) -> leave(part, front, 0));
            preparation = null;
        }
        if (node.core().version().number() == version) {
            adopt(known.get(restored));
        }
        undoMs = node.clock().now() - begun;
        Log.warn(LOG, "version-undone")
                .addKeyValue("version", version)
                .addKeyValue("current", restored)
                .addKeyValue("reason", reason)
                .log("configuration: version {} is undone, version {} is current: {}", version, restored, reason);
        giveUp(version, restored);
        // If the disk fails here too, the mark stays, which says the same to the next start.
        files.write(() -> store.mark(0), failure -> {});
    }

    @Override
    public void releasePrevious(int version, int previous) {
        reported("confirmed", version, "configuration: version {} is confirmed");
        giveUp(previous, version);
    }

    private void leave(ListenerPart part, Frontend front, double grace) {
        leaving.put(part, front);
        front.retire(grace, () -> leaving.remove(part, front));
    }

    /** Gives up what only one version has and another has not. */
    private void giveUp(int version, int stays) {
        Running left = known.remove(version);
        Running kept = known.get(stays);
        for (ListenerPart part : List.copyOf(fronts.keySet())) {
            if (!places(kept.config).contains(part)) {
                leave(part, fronts.remove(part), LISTENER_GRACE_MS);
            }
        }
        node.core().release(version);
        if (left != null && left.source != null && left.source != kept.source && left.config.discovery() != null) {
            left.source.watch(false);
            discovered.remove(left.config.discovery());
        }
    }

    @Override
    public void answered(
            String request, Version version, int serviceClass, Answer.Kind kind, int attempts, double elapsed) {
        Outcome outcome =
                switch (kind) {
                    case SERVED -> Outcome.SERVED;
                    case REFUSED -> Outcome.REFUSED;
                    case FAILED, UNANSWERED, BROKEN, LOOP -> Outcome.FAILED;
                };
        decider.responseSent(node.clock().now(), version.number(), outcome);
        node.note(request, version, serviceClass, kind, attempts, elapsed);
    }
}

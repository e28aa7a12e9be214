package sablehinge.gateway.node;

import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.eventloop.Clock;
import sablehinge.common.eventloop.ClosingEventLoops;
import sablehinge.common.eventloop.LoopTimers;
import sablehinge.common.eventloop.Timers;
import sablehinge.common.logging.Log;
import sablehinge.common.logging.Logging;
import sablehinge.dataplane.budget.HeaderText;
import sablehinge.dataplane.http1.Frontend;
import sablehinge.dataplane.http1.Sockets;
import sablehinge.dataplane.http1.UpstreamClient;
import sablehinge.dataplane.proxy.Answer;
import sablehinge.dataplane.proxy.ChainBudgets;
import sablehinge.dataplane.proxy.RequestProxy;
import sablehinge.dataplane.proxy.ShutdownDeadlines;
import sablehinge.dataplane.proxy.Version;
import sablehinge.gateway.admin.AdminServer;
import sablehinge.gateway.config.operator.OperatorConfig;
import sablehinge.gateway.config.operator.OperatorConfig.BudgetPart;
import sablehinge.gateway.config.operator.OperatorConfig.ListenerPart;
import sablehinge.gateway.config.operator.OperatorConfig.RecorderPart;
import sablehinge.gateway.config.operator.OperatorFile;
import sablehinge.gateway.config.operator.Problem;
import sablehinge.gateway.config.versions.VersionStore;
import sablehinge.gateway.discovery.Discovery;
import sablehinge.gateway.discovery.RosterParser;
import sablehinge.gateway.recorder.Watch;
import sablehinge.gateway.rollout.ChangeDecider;
import sablehinge.policy.LatencyWeightedBalancer;
import sablehinge.policy.LoadBalancer;

/** One balancer by an operator file, whose configuration may change while it runs. */
public final class OperatorNode {

    private static final Logger LOG = LoggerFactory.getLogger(OperatorNode.class);
    private static final double DRAIN_SLACK_MS = 1_000;
    private static final long DRAIN_CHECK_MS = 10;
    private static final long ACCESS_LOG_BYTES = 256L << 20;

    private final EventLoop loop;
    private final Clock clock = Clock.system();
    private final Timers timers;
    private final PooledByteBufAllocator memory = PooledByteBufAllocator.DEFAULT;
    private final Sockets sockets;
    private final RequestProxy core;
    private final UpstreamClient transport;
    /** Null where budgets are off. */
    private final HeaderText budgets;

    private final VersionStore store;
    private final ExecutorService files = Executors.newSingleThreadExecutor(new DefaultThreadFactory("files", true));
    private final Versions versions;
    private final Path file;
    private AdminServer admin;
    private AccessLog accessLog;
    /** Null where there is no flight recorder. */
    private Recording recording;

    /** A start that failed, with the problems of a file if it was those. */
    public static final class StartException extends Exception {

        private static final long serialVersionUID = 1;
        private final transient List<Problem> problems;

        StartException(String message, List<Problem> problems) {
            super(message);
            this.problems = problems;
        }

        /** What is wrong with the operator file; empty where something else is. */
        public List<Problem> problems() {
            return problems;
        }
    }

    private OperatorNode(
            Path file,
            FirstVersion first,
            VersionStore store,
            Function<LoadBalancer.Actions, LoadBalancer> module,
            HeaderText text) {
        this.file = file;
        this.store = store;
        loop = ClosingEventLoops.single("node");
        timers = new LoopTimers(loop, clock);
        sockets = new Sockets(first.config().node().descriptors());
        core = new RequestProxy(clock, timers, module);
        transport = new UpstreamClient(loop, clock, sockets, memory);
        BudgetPart part = first.config().budget();
        budgets = text;
        if (part != null) {
            transport.budgets(budgets);
            core.setBudgets(new ChainBudgets(
                    part.terms(),
                    part.shed(),
                    serviceId(part.service()),
                    part.entry(),
                    ThreadLocalRandom.current().nextLong(),
                    line -> Log.warn(LOG, "budget").log(line)));
        }
        versions = new Versions(this, store, files, first.number(), first.config());
    }

    /** 48 bits of a service's name, the same at every balancer: it tells no address. */
    static long serviceId(String service) {
        return RosterParser.number(service) & 0xffff_ffff_ffffL;
    }

    /**
     * Starts by an operator file. The version that was last confirmed is served, not the file, if there is one.
     *
     * @param adopt whether the file is to be served in any case, as a new confirmed version
     */
    public static OperatorNode start(Path file, boolean adopt) throws StartException, InterruptedException {
        return start(file, adopt, LatencyWeightedBalancer::new);
    }

    static OperatorNode start(Path file, boolean adopt, Function<LoadBalancer.Actions, LoadBalancer> module)
            throws StartException, InterruptedException {
        byte[] bytes;
        try {
            bytes = OperatorFile.bytes(file);
        } catch (IOException e) {
            throw new StartException("", List.of(new Problem(0, "", e.getMessage())));
        }
        OperatorFile.Checked checked = OperatorFile.parse(bytes);
        if (checked.config() == null) {
            throw new StartException("", checked.problems());
        }
        Path state = file.toAbsolutePath()
                .getParent()
                .resolve(checked.config().node().state());
        VersionStore store;
        try {
            store = VersionStore.in(state);
        } catch (IOException e) {
            throw new StartException(state + ": " + e.getMessage(), List.of());
        }
        OperatorNode node = null;
        try {
            FirstVersion first = FirstVersion.choose(store, bytes, checked.config(), adopt);
            BudgetPart budget = first.config().budget();
            // Before anything is begun that would have to be ended.
            HeaderText text = budget == null ? null : new HeaderText(BudgetKeys.read(file, budget));
            node = new OperatorNode(file, first, store, module, text);
            node.begin(first.config(), state);
            if (store.confirmed() != first.number()) {
                // Only now: a file that could not be served must not be what the next start insists on.
                node.confirm(first.number());
            }
            Log.info(LOG, "serves")
                    .addKeyValue("name", first.config().node().name())
                    .addKeyValue("version", first.number())
                    .log("serves as {} under version {}", first.config().node().name(), first.number());
            return node;
        } catch (IOException e) {
            if (node != null) {
                node.kill();
            } else {
                closeQuietly(store);
            }
            throw new StartException(e.getMessage(), List.of());
        }
    }

    private static void closeQuietly(VersionStore store) {
        try {
            store.close();
        } catch (IOException e) {
            // The process ends.
        }
    }

    /** On the thread that has the store: operators may be at work already. */
    private void confirm(int number) throws IOException, InterruptedException {
        try {
            files.submit(() -> {
                        store.confirm(number);
                        return null;
                    })
                    .get();
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e);
        }
    }

    private void begin(OperatorConfig first, Path state) throws IOException, InterruptedException {
        Logging.apply(first.log());
        if (first.node().accessLog() != null) {
            accessLog = new AccessLog(
                    file.toAbsolutePath().getParent().resolve(first.node().accessLog()), ACCESS_LOG_BYTES);
        }
        RecorderPart part = first.recorder();
        if (part != null) {
            recording = recording(first.node().name(), part);
            loop.submit(recording::begin).sync();
        }
        loop.submit(() -> versions.start(ThreadLocalRandom.current().nextLong()))
                .sync();
        for (ListenerPart place : Versions.places(first)) {
            Frontend front = front();
            front.bind(place.address(), false);
            loop.submit(() -> versions.fronts().put(place, front)).sync();
        }
        AdminHandler handler = new AdminHandler(this, versions);
        if (first.admin().listen() == null) {
            admin = new AdminServer(loop, handler, null);
            admin.bind(state.resolve(first.admin().socket()));
        } else {
            Path token = file.toAbsolutePath().getParent().resolve(first.admin().tokenFile());
            String secret = Files.readString(token).strip();
            if (secret.length() < 16) {
                throw new IOException(token + " holds no token of at least 16 characters");
            }
            admin = new AdminServer(loop, handler, secret);
            admin.bind(first.admin().listen());
        }
    }

    private Recording recording(String name, RecorderPart part) {
        return new Recording(
                name,
                (int) (part.mib() * (1 << 20)),
                part.directory() == null
                        ? null
                        : file.toAbsolutePath().getParent().resolve(part.directory()),
                part.keep(),
                new Watch.Terms(
                        part.tick(), part.stall(), part.turn(), part.overdue(), part.quiet(), part.atRestKib() * 1024L),
                loop,
                core,
                sockets,
                versions::listening,
                memory::pinnedDirectMemory);
    }

    // ---- The parts, for those that work on them -----------------------------------------------------

    EventLoop loop() {
        return loop;
    }

    Clock clock() {
        return clock;
    }

    Timers timers() {
        return timers;
    }

    RequestProxy core() {
        return core;
    }

    UpstreamClient transport() {
        return transport;
    }

    Sockets sockets() {
        return sockets;
    }

    Frontend front() {
        Frontend front = new Frontend(loop, sockets, memory, core);
        front.budgets(budgets);
        return front;
    }

    Discovery discovery(
            InetSocketAddress address, List<String> zones, List<String> kinds, Discovery.Listener listener) {
        return new Discovery(
                loop, address, -1, new RosterParser(zones, kinds, true), memory, listener, Discovery.WATCH_MS);
    }

    /** Null where there is none. */
    Recording recording() {
        return recording;
    }

    /** Where operators are let in. */
    public SocketAddress adminAddress() {
        return admin.address();
    }

    /** Where callers are let in, in the order of the file. */
    public List<InetSocketAddress> addresses() throws InterruptedException {
        return onLoop(
                () -> versions.fronts().values().stream().map(Frontend::address).toList());
    }

    /** Notes an answer in the access log, if there is one. */
    void note(String request, Version version, int serviceClass, Answer.Kind kind, int attempts, double elapsed) {
        if (accessLog != null) {
            accessLog.note(clock.now(), request, version, serviceClass, kind, attempts, elapsed);
        }
    }

    /** Lines that the access log had to drop. */
    long droppedLines() {
        return accessLog == null ? 0 : accessLog.dropped();
    }

    <T> T onLoop(Callable<T> look) throws InterruptedException {
        return loop.submit(look).sync().getNow();
    }

    /** Stages and applies the operator file as it is now, to be confirmed if it stands its trial. */
    public void reload() {
        files.execute(() -> {
            try {
                byte[] bytes = OperatorFile.bytes(file);
                loop.execute(() -> versions.stage(bytes, 0, this::reloaded));
            } catch (IOException e) {
                Log.warn(LOG, "file-unreadable")
                        .addKeyValue("cause", e.getMessage())
                        .log("configuration: the operator file {}", e.getMessage());
            }
        });
    }

    private void reloaded(Versions.Staged staged) {
        String why = staged.refusal();
        if (why == null && staged.version() != 0) {
            ChangeDecider.Reply applied = versions.apply(staged.version(), 0, true);
            if (!applied.accepted()) {
                why = applied.message();
                versions.drop(staged.version());
            }
        }
        for (Problem problem : staged.problems()) {
            Log.warn(LOG, "file-malformed")
                    .addKeyValue("line", problem.line())
                    .addKeyValue("key", problem.key())
                    .addKeyValue("problem", problem.message())
                    .log("configuration: {}", problem.in(file.getFileName().toString()));
        }
        if (why != null) {
            Log.warn(LOG, "file-refused")
                    .addKeyValue("reason", why)
                    .log("configuration: the operator file is not applied: {}", why);
        }
    }

    /** Stops as SIGTERM wants it: answers what has come, lets callers go, and returns when nothing is left. */
    public void drain() throws InterruptedException {
        double longest = onLoop(() -> versions.config().classes().stream()
                .mapToDouble(c -> c.deadline())
                .max()
                .orElse(0));
        double latest = clock.now() + longest + DRAIN_SLACK_MS;
        loop.submit(() -> stopAdmitting(latest)).sync();
        while (!onLoop(this::endDrain) && clock.now() < latest) {
            Thread.sleep(DRAIN_CHECK_MS);
        }
        loop.submit(core::abortAll).sync();
        if (recording != null) {
            recording.end();
        }
        if (accessLog != null) {
            accessLog.close();
        }
        closeQuietly(store);
    }

    /** What has come by now is answered by its deadline, which comes before the end; nothing else is taken. */
    private void stopAdmitting(double latest) {
        ShutdownDeadlines deadlines = new ShutdownDeadlines(clock.now(), latest, latest);
        core.drain(deadlines);
        versions.listening().forEach(front -> front.stopAdmitting(deadlines));
    }

    /** Connections of callers, on the loop. */
    int callers() {
        return versions.listening().stream().mapToInt(Frontend::callers).sum();
    }

    private boolean endDrain() {
        boolean done = true;
        for (Frontend front : versions.listening()) {
            done &= front.endDrain();
        }
        return done && core.requests() == 0;
    }

    /** Ends at once, whatever is under way. */
    public void kill() {
        files.shutdownNow();
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        closeQuietly(store);
    }
}

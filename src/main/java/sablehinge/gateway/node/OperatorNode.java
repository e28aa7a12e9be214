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

/** One balancer configured by an operator file, whose configuration can change at run time. */
public final class OperatorNode {

    private static final Logger LOG = LoggerFactory.getLogger(OperatorNode.class);
    private static final double DRAIN_SLACK_MS = 1_000;
    private static final long DRAIN_CHECK_MS = 10;
    private static final long ACCESS_LOG_BYTES = 256L << 20;

    private final EventLoop loop;
    private final Clock clock = Clock.system();
    private final Timers timers;
    private final PooledByteBufAllocator allocator = PooledByteBufAllocator.DEFAULT;
    private final Sockets sockets;
    private final RequestProxy proxy;
    private final UpstreamClient transport;
    /** Null if budgets are off. */
    private final HeaderText budgetHeaders;

    private final VersionStore store;
    private final ExecutorService fileThread =
            Executors.newSingleThreadExecutor(new DefaultThreadFactory("files", true));
    private final Versions versions;
    private final Path file;
    private AdminServer admin;
    private AccessLog accessLog;
    /** Null if there is no flight recorder. */
    private Recording recording;

    /** Reports a failed start, with the problems of the operator file if these are the cause. */
    public static final class StartException extends Exception {

        private static final long serialVersionUID = 1;
        private final transient List<Problem> problems;

        StartException(String message, List<Problem> problems) {
            super(message);
            this.problems = problems;
        }

        /** The problems of the operator file; empty if the failure has another cause. */
        public List<Problem> problems() {
            return problems;
        }
    }

    private OperatorNode(
            Path file,
            FirstVersion first,
            VersionStore store,
            Function<LoadBalancer.Actions, LoadBalancer> module,
            HeaderText headers) {
        this.file = file;
        this.store = store;
        loop = ClosingEventLoops.single("node");
        timers = new LoopTimers(loop, clock);
        sockets = new Sockets(first.config().node().descriptors());
        proxy = new RequestProxy(clock, timers, module);
        transport = new UpstreamClient(loop, clock, sockets, allocator);
        BudgetPart part = first.config().budget();
        budgetHeaders = headers;
        if (part != null) {
            transport.enableBudgets(budgetHeaders);
            proxy.setBudgets(new ChainBudgets(
                    part.settings(),
                    part.loadShedding(),
                    serviceId(part.service()),
                    part.entry(),
                    ThreadLocalRandom.current().nextLong(),
                    line -> Log.warn(LOG, "budget").log(line)));
        }
        versions = new Versions(this, store, fileThread, first.number(), first.config());
    }

    /** A 48-bit id of a service, derived from its name and the same at every balancer; it reveals no address. */
    static long serviceId(String service) {
        return RosterParser.number(service) & 0xffff_ffff_ffffL;
    }

    /**
     * Starts a balancer by an operator file. If a version was confirmed, the last confirmed one is served instead of
     * the file.
     *
     * @param adopt whether to serve the file in any case, as a new confirmed version
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
            // Before anything is started that would have to be stopped on a failure.
            HeaderText budgetHeaders = budget == null ? null : new HeaderText(BudgetKeys.read(file, budget));
            node = new OperatorNode(file, first, store, module, budgetHeaders);
            node.startParts(first.config(), state);
            if (store.confirmed() != first.number()) {
                // Only now: a file that could not be served must not become the version of the next start.
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
            // The process exits.
        }
    }

    /** Runs on the thread of the store, as requests of operators may already use the store. */
    private void confirm(int number) throws IOException, InterruptedException {
        try {
            fileThread
                    .submit(() -> {
                        store.confirm(number);
                        return null;
                    })
                    .get();
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e);
        }
    }

    private void startParts(OperatorConfig first, Path state) throws IOException, InterruptedException {
        Logging.apply(first.log());
        if (first.node().accessLog() != null) {
            accessLog = new AccessLog(
                    file.toAbsolutePath().getParent().resolve(first.node().accessLog()), ACCESS_LOG_BYTES);
        }
        RecorderPart part = first.recorder();
        if (part != null) {
            recording = recording(first.node().name(), part);
            loop.submit(recording::start).sync();
        }
        loop.submit(() -> versions.start(ThreadLocalRandom.current().nextLong()))
                .sync();
        for (ListenerPart listener : Versions.listenerKeys(first)) {
            Frontend frontend = newFrontend();
            frontend.bind(listener.address(), false);
            loop.submit(() -> versions.frontends().put(listener, frontend)).sync();
        }
        AdminHandler handler = new AdminHandler(this, versions);
        if (first.admin().listen() == null) {
            admin = new AdminServer(loop, handler, null);
            admin.bind(state.resolve(first.admin().socket()));
        } else {
            Path token = file.toAbsolutePath().getParent().resolve(first.admin().tokenFile());
            String secret = Files.readString(token).strip();
            if (secret.length() < 16) {
                throw new IOException(token + " does not contain a token of at least 16 characters");
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
                proxy,
                sockets,
                versions::allFrontends,
                allocator::pinnedDirectMemory);
    }

    // ---- Components ---------------------------------------------------------------------------------

    EventLoop loop() {
        return loop;
    }

    Clock clock() {
        return clock;
    }

    Timers timers() {
        return timers;
    }

    RequestProxy proxy() {
        return proxy;
    }

    UpstreamClient transport() {
        return transport;
    }

    Sockets sockets() {
        return sockets;
    }

    Frontend newFrontend() {
        Frontend frontend = new Frontend(loop, sockets, allocator, proxy);
        frontend.enableBudgets(budgetHeaders);
        return frontend;
    }

    Discovery newDiscovery(
            InetSocketAddress address, List<String> zones, List<String> kinds, Discovery.Listener listener) {
        return new Discovery(
                loop, address, -1, new RosterParser(zones, kinds, true), allocator, listener, Discovery.WATCH_WAIT_MS);
    }

    /** The flight recorder; null if there is none. */
    Recording recording() {
        return recording;
    }

    /** The address of the admin server. */
    public SocketAddress adminAddress() {
        return admin.address();
    }

    /** The addresses of the listeners, in the order of the file. */
    public List<InetSocketAddress> addresses() throws InterruptedException {
        return onLoop(() ->
                versions.frontends().values().stream().map(Frontend::address).toList());
    }

    /** Records a response in the access log, if there is one. */
    void recordResponse(
            String requestId, Version version, int serviceClass, Answer.Kind kind, int attempts, double elapsedMs) {
        if (accessLog != null) {
            accessLog.logResponse(clock.now(), requestId, version, serviceClass, kind, attempts, elapsedMs);
        }
    }

    /** The number of lines that the access log dropped. */
    long droppedLogLines() {
        return accessLog == null ? 0 : accessLog.dropped();
    }

    <T> T onLoop(Callable<T> task) throws InterruptedException {
        return loop.submit(task).sync().getNow();
    }

    /** Stages and applies the current operator file; it is confirmed automatically at the end of its trial. */
    public void reload() {
        fileThread.execute(() -> {
            try {
                byte[] bytes = OperatorFile.bytes(file);
                loop.execute(() -> versions.stage(bytes, 0, this::applyStaged));
            } catch (IOException e) {
                Log.warn(LOG, "file-unreadable")
                        .addKeyValue("cause", e.getMessage())
                        .log("configuration: the operator file {}", e.getMessage());
            }
        });
    }

    private void applyStaged(Versions.StagingResult staged) {
        String rejection = staged.refusal();
        if (rejection == null && staged.version() != 0) {
            ChangeDecider.Reply applied = versions.apply(staged.version(), 0, true);
            if (!applied.accepted()) {
                rejection = applied.message();
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
        if (rejection != null) {
            Log.warn(LOG, "file-refused")
                    .addKeyValue("reason", rejection)
                    .log("configuration: the operator file is not applied: {}", rejection);
        }
    }

    /** Shuts down gracefully after SIGTERM: completes the requests that have arrived and returns at the end. */
    public void drain() throws InterruptedException {
        double longestDeadlineMs = onLoop(() -> versions.config().classes().stream()
                .mapToDouble(serviceClass -> serviceClass.deadline())
                .max()
                .orElse(0));
        double endMs = clock.now() + longestDeadlineMs + DRAIN_SLACK_MS;
        loop.submit(() -> stopAdmitting(endMs)).sync();
        while (!onLoop(this::endDrain) && clock.now() < endMs) {
            Thread.sleep(DRAIN_CHECK_MS);
        }
        loop.submit(proxy::abortAll).sync();
        if (recording != null) {
            recording.stop();
        }
        if (accessLog != null) {
            accessLog.close();
        }
        closeQuietly(store);
    }

    /** Requests that have arrived complete by their deadlines, which precede the end; others are not admitted. */
    private void stopAdmitting(double endMs) {
        ShutdownDeadlines deadlines = new ShutdownDeadlines(clock.now(), endMs, endMs);
        proxy.drain(deadlines);
        versions.allFrontends().forEach(frontend -> frontend.stopAdmitting(deadlines));
    }

    /** The number of client connections; called on the event loop. */
    int clientConnections() {
        return versions.allFrontends().stream().mapToInt(Frontend::callers).sum();
    }

    private boolean endDrain() {
        boolean drained = true;
        for (Frontend frontend : versions.allFrontends()) {
            drained &= frontend.endDrain();
        }
        return drained && proxy.requests() == 0;
    }

    /** Stops immediately without a drain. */
    public void kill() {
        fileThread.shutdownNow();
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        closeQuietly(store);
    }
}

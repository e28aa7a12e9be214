package sablehinge.gateway.node;

import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.eventloop.Clock;
import sablehinge.common.eventloop.ClosingEventLoops;
import sablehinge.common.eventloop.LoopTimers;
import sablehinge.common.logging.Log;
import sablehinge.common.settings.ConfigException;
import sablehinge.dataplane.http1.Frontend;
import sablehinge.dataplane.http1.Sockets;
import sablehinge.dataplane.http1.UpstreamClient;
import sablehinge.dataplane.proxy.Observer;
import sablehinge.dataplane.proxy.RequestProxy;
import sablehinge.dataplane.proxy.Roster;
import sablehinge.dataplane.proxy.ShutdownDeadlines;
import sablehinge.dataplane.proxy.Version;
import sablehinge.gateway.admin.CallServer;
import sablehinge.gateway.config.PlatformConfig;
import sablehinge.gateway.discovery.Discovery;
import sablehinge.gateway.discovery.Maintenance;
import sablehinge.gateway.discovery.RosterParser;
import sablehinge.gateway.recorder.Watch;
import sablehinge.policy.LatencyWeightedBalancer;
import sablehinge.policy.LoadBalancer;
import sablehinge.policy.LoadBalancer.Change;
import sablehinge.policy.LoadBalancer.ServiceClass;

/** One balancer of the platform: combines its components on one event loop thread, which owns them. */
public final class Node {

    private static final Logger LOG = LoggerFactory.getLogger(Node.class);
    /** Netty's pool of direct memory: one arena, as there is one thread, with chunks of 512 KiB. */
    private static final int PAGE_BYTES = 8_192;

    private static final int CHUNK_ORDER = 6;
    private static final int CACHED_BUFFERS = 32;
    /** The time after SIGTERM during which new connections may still arrive, with a margin. */
    private static final long LATE_CONNECTIONS_MS = 550;

    private static final long DRAIN_CHECK_MS = 10;
    /**
     * SIGKILL follows at the earliest after the longest deadline (at most 3 s) plus 0.7 s; the drain ends before that.
     */
    private static final double MAX_DRAIN_MS = 3_000;

    private static final double DRAIN_SLACK_MS = 550;
    /** The last part of that time, reserved to complete the requests that have arrived. */
    private static final double COMPLETION_MS = 1_650;

    /** The last part of the drain, in which no request is started, as hardly any request completes faster. */
    private static final double START_CUTOFF_MS = 250;

    /** The interval at which the state shared with another process of this balancer is read. */
    private static final long SHARED_POLL_MS = 200;
    /** The time after a reload during which requests may still be read by the previous settings. */
    private static final long LATE_REQUESTS_MS = 3_000;

    /** The system property with the directory of flight recorder dumps; without it there is no recorder. */
    private static final String DUMP_DIRECTORY_PROPERTY = "sablehinge.flight";

    private static final int RECORDER_RING_BYTES = 1 << 20;
    private static final int MAX_DUMPS = 10;

    private final PlatformConfig config;
    private final EventLoop loop;
    private final Clock clock = Clock.system();
    private final RequestProxy proxy;
    private final UpstreamClient upstreams;
    private final Discovery discovery;
    private final Frontend frontend;
    private final Sockets sockets;
    private final PooledByteBufAllocator allocator;
    private final Maintenance maintenance = new Maintenance();
    /** Null if no state is shared with another process of this balancer. */
    private SharedFiles sharedFiles;

    private CallServer operatorServer;
    /** The ids of the suspended upstreams, by their numbers. */
    private final Map<Long, String> suspendedIds = new HashMap<>();

    private boolean handingOver;

    private Node(PlatformConfig config, EventLoop loop, Function<LoadBalancer.Actions, LoadBalancer> module) {
        this.config = config;
        this.loop = loop;
        allocator =
                new PooledByteBufAllocator(true, 0, 1, PAGE_BYTES, CHUNK_ORDER, CACHED_BUFFERS, CACHED_BUFFERS, false);
        sockets = new Sockets(config.sockets());
        proxy = new RequestProxy(clock, new LoopTimers(loop, clock), module);
        upstreams = new UpstreamClient(loop, clock, sockets, allocator);
        discovery = new Discovery(
                loop,
                config.discovery(),
                config.knownRoster().version(),
                new RosterParser(config.zones(), config.kinds(), false),
                allocator,
                this::onRosterChanged,
                Discovery.WATCH_WAIT_MS);
        frontend = new Frontend(loop, sockets, allocator, proxy);
    }

    /** Starts a balancer; it serves requests once this returns. */
    public static Node start(PlatformConfig config) throws ConfigException, InterruptedException {
        return start(config, LatencyWeightedBalancer::new);
    }

    /** Starts a balancer with the given module; it serves requests once this returns. */
    public static Node start(PlatformConfig config, Function<LoadBalancer.Actions, LoadBalancer> module)
            throws ConfigException, InterruptedException {
        EventLoop loop = ClosingEventLoops.single("node");
        Node node = new Node(config, loop, module);
        try {
            if (config.operator() != null && config.sharedDirectory() != null) {
                node.sharedFiles = new SharedFiles(config.sharedDirectory().resolve("sablehinge"));
                loop.submit(node::syncSharedState).sync();
            }
            node.startRecordingIfRequested();
            loop.submit(node::startProxy).sync();
            node.frontend.bind(config.listen(), config.operator() != null);
            if (config.operator() != null) {
                node.startOperatorServer();
            }
        } catch (IOException e) {
            throw new ConfigException(e.getMessage());
        }
        // The first log line loads the classes of logging, which could fail later when no file descriptor is left.
        Log.info(LOG, "serves").addKeyValue("name", config.name()).log("serves as {}", config.name());
        return node;
    }

    /** For rehearsals only; the platform does not set the property and does not load these classes. */
    private void startRecordingIfRequested() throws InterruptedException {
        String directory = System.getProperty(DUMP_DIRECTORY_PROPERTY);
        if (directory != null) {
            Recording recording = new Recording(
                    config.name(),
                    RECORDER_RING_BYTES,
                    Path.of(directory),
                    MAX_DUMPS,
                    Watch.Terms.DEFAULT,
                    loop,
                    proxy,
                    sockets,
                    () -> List.of(frontend),
                    allocator::pinnedDirectMemory);
            loop.submit(recording::start).sync();
        }
    }

    private void startProxy() {
        proxy.start(config.version(1), config.seed(), maintenance.apply(config.knownRoster()), upstreams, discovery);
    }

    private void onRosterChanged(Change change, Roster roster) {
        proxy.onRosterChanged(change, roster == null ? null : maintenance.apply(roster));
    }

    // ---- Operators ---------------------------------------------------------------------------------

    private void startOperatorServer() throws IOException, InterruptedException {
        if (sharedFiles != null) {
            sharedFiles.markServing();
            loop.scheduleAtFixedRate(this::syncSharedState, SHARED_POLL_MS, SHARED_POLL_MS, TimeUnit.MILLISECONDS);
        }
        // Last, as a client that gets a reply may end the other process.
        operatorServer = new CallServer(loop, allocator, this::handleCall);
        operatorServer.bind(config.operator());
    }

    /** The address of the operator server; for tests. */
    public InetSocketAddress operatorAddress() {
        return operatorServer.address();
    }

    private String handleCall(String line) {
        String[] words = line.split("\\s+");
        if (words.length == 1 && words[0].equals("STATUS")) {
            return handingOver ? "fail it leaves" : "ok";
        }
        boolean suspend = words[0].equals("SUSPEND");
        if (words.length != 2 || !suspend && !words[0].equals("RESTORE")) {
            return "fail expected STATUS, SUSPEND ID or RESTORE ID";
        }
        if (!maintenance.knows(RosterParser.number(words[1]))) {
            return "fail no upstream has that id";
        }
        // Recorded first: a change that can't reach the other process must not be confirmed.
        if (sharedFiles != null) {
            sharedFiles.setSuspended(words[1], suspend);
        }
        setSuspended(words[1], suspend);
        return "ok";
    }

    private void setSuspended(String id, boolean suspend) {
        long number = RosterParser.number(id);
        Roster change = suspend ? maintenance.suspend(number, clock.now()) : maintenance.restore(number, clock.now());
        if (suspend) {
            suspendedIds.put(number, id);
        } else {
            suspendedIds.remove(number);
        }
        if (!change.members().isEmpty()) {
            proxy.onRosterChanged(Change.DELTA, change);
            Log.info(LOG, suspend ? "server-taken-out" : "server-put-back")
                    .addKeyValue("server", id)
                    .log("operators {} upstream {}", suspend ? "suspended" : "restored", id);
        }
    }

    /** Applies the state of another process of this balancer and shares the limit of sockets with it. */
    private void syncSharedState() {
        try {
            Set<String> recordedIds = sharedFiles.suspendedIds();
            for (String id : List.copyOf(suspendedIds.values())) {
                if (!recordedIds.remove(id)) {
                    setSuspended(id, false);
                }
            }
            recordedIds.forEach(id -> setSuspended(id, true));
            sockets.setProcessCount(sharedFiles.hasOtherProcess(false) ? 2 : 1);
        } catch (IOException | RuntimeException e) {
            Log.warn(LOG, "shared-unreadable")
                    .addKeyValue("cause", e.toString())
                    .log("failed to read the state shared by the processes of this balancer: {}", e.toString());
        }
    }

    private boolean hasSuccessor() {
        try {
            return sharedFiles != null && sharedFiles.hasOtherProcess(true);
        } catch (IOException e) {
            return false;
        }
    }

    /** Sets an observer of every response, called on the event loop; for rehearsals only. */
    public void observe(Observer observer) {
        loop.execute(() -> proxy.setObserver(observer));
    }

    /** The time in ms, by the clock of all components. */
    public double now() {
        return clock.now();
    }

    /** The address of the listener. */
    public InetSocketAddress address() {
        return frontend.address();
    }

    /**
     * Shuts down gracefully after SIGTERM; returns when the process may exit. Clients continue to use their connections
     * and may have no other balancer while another one restarts as well, so they are served normally as long as enough
     * time remains to complete the requests that have arrived. After that, their connections are closed gracefully. If
     * another process of this balancer already serves, it accepts the new connections, and every response asks the
     * client to close its connection.
     */
    public void drain() throws InterruptedException {
        double longestDeadlineMs = proxy.version().settings().classes().stream()
                .mapToDouble(ServiceClass::deadline)
                .max()
                .orElse(0);
        double startedMs = clock.now();
        double endMs = startedMs + Math.min(longestDeadlineMs, MAX_DRAIN_MS) + DRAIN_SLACK_MS;
        boolean handover = hasSuccessor();
        if (handover) {
            loop.submit(() -> {
                        handingOver = true;
                        frontend.handOver();
                    })
                    .sync();
        }
        double serveMs = Math.max(LATE_CONNECTIONS_MS, endMs - startedMs - COMPLETION_MS);
        while (clock.now() < startedMs + serveMs && !(handover && hasNoClients())) {
            Thread.sleep(DRAIN_CHECK_MS);
        }
        loop.submit(() -> beginDrain(endMs)).sync();
        boolean drained = endDrain();
        while (!drained && clock.now() < endMs) {
            Thread.sleep(DRAIN_CHECK_MS);
            drained = endDrain();
        }
        // A failure response is better than a connection that SIGKILL closes without a response.
        loop.submit(proxy::abortAll).sync();
        leaveSharedState();
    }

    /** Accepts clients until the end, as they may have no other balancer; late requests are refused in time. */
    private void beginDrain(double endMs) {
        frontend.beginDrain();
        proxy.drain(new ShutdownDeadlines(endMs - START_CUTOFF_MS, endMs - START_CUTOFF_MS, endMs));
    }

    private boolean hasNoClients() throws InterruptedException {
        return loop.submit(() -> frontend.callers() == 0).sync().getNow();
    }

    private void leaveSharedState() {
        try {
            if (sharedFiles != null) {
                sharedFiles.close();
            }
        } catch (IOException e) {
            Log.warn(LOG, "shared-not-left")
                    .addKeyValue("cause", e.toString())
                    .log("failed to leave the state shared by the processes of this balancer: {}", e.toString());
        }
    }

    /** Closes idle client connections; returns whether no connection remains. */
    public boolean endDrain() throws InterruptedException {
        return loop.submit(frontend::endDrain).sync().getNow();
    }

    /**
     * Applies a configuration that was read as the successor of the current one: the address of discovery, and the
     * settings of new requests. Requests that have arrived keep the settings under which they arrived.
     */
    public void reload(PlatformConfig changed) {
        loop.execute(() -> {
            discovery.moveTo(changed.discovery());
            Version previous = proxy.version();
            Version next = changed.version(previous.number() + 1);
            if (previous.settings().equals(next.settings())) {
                return;
            }
            frontend.acceptPreviousVersion(LATE_REQUESTS_MS);
            proxy.adopt(next, maintenance.complete());
            loop.schedule(() -> proxy.release(previous.number()), 2 * LATE_REQUESTS_MS, TimeUnit.MILLISECONDS);
            Log.info(LOG, "settings-taken")
                    .addKeyValue("version", next.number())
                    .log("applied version {} of the settings", next.number());
        });
    }

    /** The configuration of the start. */
    public PlatformConfig config() {
        return config;
    }

    /** The bytes of direct memory that buffers use; for tests. */
    public long directMemory() {
        return allocator.metric().usedDirectMemory();
    }

    /** Runs a function on the event loop, which owns the components; for tests. */
    public <T> T onLoop(BiFunction<Frontend, UpstreamClient, T> function) throws InterruptedException {
        return loop.submit(() -> function.apply(frontend, upstreams)).sync().getNow();
    }

    /** Stops immediately without a drain; for tests. */
    public void kill() {
        leaveSharedState();
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}

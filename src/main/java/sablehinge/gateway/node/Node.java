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

/** One balancer on the platform: its parts put together on one event loop thread, which owns them all. */
public final class Node {

    private static final Logger LOG = LoggerFactory.getLogger(Node.class);
    /** Netty's pool of direct memory: one arena, as there is one thread, in chunks of 512 KiB. */
    private static final int PAGE = 8_192;

    private static final int CHUNK_ORDER = 6;
    private static final int CACHED = 32;
    /** How long new connections may still come after SIGTERM, with time to spare. */
    private static final long LATE_CONNECTIONS_MS = 550;

    private static final long DRAIN_CHECK_MS = 10;
    /** SIGKILL comes no sooner than the longest deadline, 3 s at most, and 0.7 s more: less is used of it. */
    private static final double MAX_DRAIN_MS = 3_000;

    private static final double DRAIN_SLACK_MS = 550;
    /** The time that is kept of it to answer what has come, once it drains. */
    private static final double LAST_ANSWERS_MS = 1_650;

    /** Of that, the time in which nothing begins any more: hardly a request is answered sooner. */
    private static final double LAST_START_MS = 250;

    /** How often it looks at what another process of this balancer has changed. */
    private static final long LOOK_MS = 200;
    /** How long a version of the settings that was replaced may be the one by which a request is read. */
    private static final long LATE_REQUESTS_MS = 3_000;

    /** The system property that names the directory of a flight recorder's dumps; absent, there is none. */
    private static final String FLIGHT = "sablehinge.flight";

    private static final int FLIGHT_BYTES = 1 << 20;
    private static final int FLIGHT_DUMPS = 10;

    private final PlatformConfig config;
    private final EventLoop loop;
    private final Clock clock = Clock.system();
    private final RequestProxy core;
    private final UpstreamClient upstreams;
    private final Discovery discovery;
    private final Frontend frontend;
    private final Sockets sockets;
    private final PooledByteBufAllocator memory;
    private final Maintenance maintenance = new Maintenance();
    /** Null where nothing is shared with another process of this balancer. */
    private SharedFiles shared;

    private CallServer calls;
    /** The names of those that are out, by their numbers. */
    private final Map<Long, String> out = new HashMap<>();

    private boolean leaving;

    private Node(PlatformConfig config, EventLoop loop, Function<LoadBalancer.Actions, LoadBalancer> module) {
        this.config = config;
        this.loop = loop;
        memory = new PooledByteBufAllocator(true, 0, 1, PAGE, CHUNK_ORDER, CACHED, CACHED, false);
        sockets = new Sockets(config.sockets());
        core = new RequestProxy(clock, new LoopTimers(loop, clock), module);
        upstreams = new UpstreamClient(loop, clock, sockets, memory);
        discovery = new Discovery(
                loop,
                config.discovery(),
                config.knownRoster().version(),
                new RosterParser(config.zones(), config.kinds(), false),
                memory,
                this::onRosterChanged,
                Discovery.WATCH_MS);
        frontend = new Frontend(loop, sockets, memory, core);
    }

    /** Starts a balancer, which serves once this returns. */
    public static Node start(PlatformConfig config) throws ConfigException, InterruptedException {
        return start(config, LatencyWeightedBalancer::new);
    }

    /** Starts a balancer with the given module; it serves once this returns. */
    public static Node start(PlatformConfig config, Function<LoadBalancer.Actions, LoadBalancer> module)
            throws ConfigException, InterruptedException {
        EventLoop loop = ClosingEventLoops.single("node");
        Node node = new Node(config, loop, module);
        try {
            if (config.operator() != null && config.sharedDirectory() != null) {
                node.shared = new SharedFiles(config.sharedDirectory().resolve("sablehinge"));
                loop.submit(node::look).sync();
            }
            node.recordIfRequested();
            loop.submit(node::begin).sync();
            node.frontend.bind(config.listen(), config.operator() != null);
            if (config.operator() != null) {
                node.letOperatorsIn();
            }
        } catch (IOException e) {
            throw new ConfigException(e.getMessage());
        }
        // The first line loads what logging needs, which later, with no descriptor left, would fail.
        Log.info(LOG, "serves").addKeyValue("name", config.name()).log("serves as {}", config.name());
        return node;
    }

    /** For rehearsals of the platform's days; the platform itself never sets it, and loads nothing of it. */
    private void recordIfRequested() throws InterruptedException {
        String folder = System.getProperty(FLIGHT);
        if (folder != null) {
            Recording recording = new Recording(
                    config.name(),
                    FLIGHT_BYTES,
                    Path.of(folder),
                    FLIGHT_DUMPS,
                    Watch.Terms.USUAL,
                    loop,
                    core,
                    sockets,
                    () -> List.of(frontend),
                    memory::pinnedDirectMemory);
            loop.submit(recording::begin).sync();
        }
    }

    private void begin() {
        core.start(config.version(1), config.seed(), maintenance.take(config.knownRoster()), upstreams, discovery);
    }

    private void onRosterChanged(Change change, Roster roster) {
        core.onRosterChanged(change, roster == null ? null : maintenance.take(roster));
    }

    // ---- Operators ---------------------------------------------------------------------------------

    private void letOperatorsIn() throws IOException, InterruptedException {
        if (shared != null) {
            shared.ready();
            loop.scheduleAtFixedRate(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
        }
        // Last: whoever receives the confirmation may end the other process.
        calls = new CallServer(loop, memory, this::call);
        calls.bind(config.operator());
    }

    /** Where operators call; for tests. */
    public InetSocketAddress operatorAddress() {
        return calls.address();
    }

    private String call(String line) {
        String[] words = line.split("\\s+");
        if (words.length == 1 && words[0].equals("STATUS")) {
            return leaving ? "fail it leaves" : "ok";
        }
        boolean suspends = words[0].equals("SUSPEND");
        if (words.length != 2 || !suspends && !words[0].equals("RESTORE")) {
            return "fail expected STATUS, SUSPEND ID or RESTORE ID";
        }
        if (!maintenance.knows(RosterParser.number(words[1]))) {
            return "fail no upstream has that id";
        }
        // Noted first: what never reaches the other process must not be confirmed.
        if (shared != null) {
            shared.out(words[1], suspends);
        }
        turn(words[1], suspends);
        return "ok";
    }

    private void turn(String id, boolean suspends) {
        long number = RosterParser.number(id);
        Roster change = suspends ? maintenance.suspend(number, clock.now()) : maintenance.restore(number, clock.now());
        if (suspends) {
            out.put(number, id);
        } else {
            out.remove(number);
        }
        if (!change.members().isEmpty()) {
            core.onRosterChanged(Change.DELTA, change);
            Log.info(LOG, suspends ? "server-taken-out" : "server-put-back")
                    .addKeyValue("server", id)
                    .log("operators {} {}", suspends ? "took out" : "put back", id);
        }
    }

    /** Takes over the state of another process of this balancer, and makes room for it. */
    private void look() {
        try {
            Set<String> noted = shared.out();
            for (String id : List.copyOf(out.values())) {
                if (!noted.remove(id)) {
                    turn(id, false);
                }
            }
            noted.forEach(id -> turn(id, true));
            sockets.setProcessCount(shared.another(false) ? 2 : 1);
        } catch (IOException | RuntimeException e) {
            Log.warn(LOG, "shared-unreadable")
                    .addKeyValue("cause", e.toString())
                    .log("what the processes of this balancer share can't be read: {}", e.toString());
        }
    }

    private boolean hasSuccessor() {
        try {
            return shared != null && shared.another(true);
        } catch (IOException e) {
            return false;
        }
    }

    /** Names who sees every answer, on the loop; for rehearsals, none of which the platform plays. */
    public void observe(Observer observer) {
        loop.execute(() -> core.setObserver(observer));
    }

    /** The time, in ms, of the clock that all its parts read. */
    public double now() {
        return clock.now();
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return frontend.address();
    }

    /**
     * Stops as SIGTERM wants it. Callers go on using the connections that they have, and may have nowhere else to go
     * while another balancer restarts too, so they are served as before for as long as there is time to answer what has
     * come. Then their connections are closed in order. Where another process of this balancer serves already, new
     * callers are left to it, and answers ask the others to leave from the first on. Returns when the process may end.
     */
    public void drain() throws InterruptedException {
        double longest = core.version().settings().classes().stream()
                .mapToDouble(ServiceClass::deadline)
                .max()
                .orElse(0);
        double begun = clock.now();
        double latest = begun + Math.min(longest, MAX_DRAIN_MS) + DRAIN_SLACK_MS;
        boolean handsOver = hasSuccessor();
        if (handsOver) {
            loop.submit(() -> {
                        leaving = true;
                        frontend.handOver();
                    })
                    .sync();
        }
        double rest = Math.max(LATE_CONNECTIONS_MS, latest - begun - LAST_ANSWERS_MS);
        while (clock.now() < begun + rest && !(handsOver && isLeft())) {
            Thread.sleep(DRAIN_CHECK_MS);
        }
        loop.submit(() -> beginDrain(latest)).sync();
        boolean done = endDrain();
        while (!done && clock.now() < latest) {
            Thread.sleep(DRAIN_CHECK_MS);
            done = endDrain();
        }
        // What SIGKILL found unanswered would be lost; a failure is an answer.
        loop.submit(core::abortAll).sync();
        leave();
    }

    /** Callers may come until the end, as they may have nowhere else to go; the last are told so in time. */
    private void beginDrain(double latest) {
        frontend.beginDrain();
        core.drain(new ShutdownDeadlines(latest - LAST_START_MS, latest - LAST_START_MS, latest));
    }

    private boolean isLeft() throws InterruptedException {
        return loop.submit(() -> frontend.callers() == 0).sync().getNow();
    }

    private void leave() {
        try {
            if (shared != null) {
                shared.close();
            }
        } catch (IOException e) {
            Log.warn(LOG, "shared-not-left")
                    .addKeyValue("cause", e.toString())
                    .log("what the processes of this balancer share can't be left: {}", e.toString());
        }
    }

    /** Closes callers' connections that are idle; whether none is left. */
    public boolean endDrain() throws InterruptedException {
        return loop.submit(frontend::endDrain).sync().getNow();
    }

    /**
     * Takes a configuration over that was read as this one's successor: where discovery is, and the settings for what
     * arrives from now on. What has come keeps those under which it came.
     */
    public void reload(PlatformConfig changed) {
        loop.execute(() -> {
            discovery.moveTo(changed.discovery());
            Version before = core.version();
            Version next = changed.version(before.number() + 1);
            if (before.settings().equals(next.settings())) {
                return;
            }
            frontend.acceptPreviousVersion(LATE_REQUESTS_MS);
            core.adopt(next, maintenance.complete());
            loop.schedule(() -> core.release(before.number()), 2 * LATE_REQUESTS_MS, TimeUnit.MILLISECONDS);
            Log.info(LOG, "settings-taken")
                    .addKeyValue("version", next.number())
                    .log("takes version {} of its settings", next.number());
        });
    }

    /** The configuration that it was started with. */
    public PlatformConfig config() {
        return config;
    }

    /** Bytes of direct memory that its buffers take; for tests. */
    public long directMemory() {
        return memory.metric().usedDirectMemory();
    }

    /** Its parts, for tests; they are to be used on the loop only. */
    public <T> T onLoop(BiFunction<Frontend, UpstreamClient, T> look) throws InterruptedException {
        return loop.submit(() -> look.apply(frontend, upstreams)).sync().getNow();
    }

    /** Ends at once, whatever is under way; for tests. */
    public void kill() {
        leave();
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}

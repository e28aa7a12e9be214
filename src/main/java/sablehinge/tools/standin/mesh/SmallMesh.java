package sablehinge.tools.standin.mesh;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Runs control nodes and sidecars as child processes on loopback, by default three of each, with a stand-in upstream
 * and clients for each sidecar, and an operator. Closing the mesh stops everything.
 */
public final class SmallMesh implements AutoCloseable {

    /** The service of two upstreams. */
    public static final String BASALT = "basalt";
    /** The service of one upstream. */
    public static final String MARL = "marl";

    private static final int HEALTH_CHECK_TIMEOUT_MS = 1_000;
    private static final long POLL_INTERVAL_MS = 50;
    private static final int START_TIMEOUT_MS = 40_000;

    private final Path folder;
    private final Shape shape;
    private final MeshPlan plan;
    private final Commands commands;
    private final TrafficLog trafficLog = new TrafficLog();
    private final Operator operator;
    private final List<Daemon> controlNodes = new ArrayList<>();
    private final List<Daemon> sidecars = new ArrayList<>();
    private final List<HeartbeatSender> upstreams = new ArrayList<>();
    private final List<LoadClients> clients = new ArrayList<>();
    /** The calls that the runs of upstreams depend on, by machine. */
    private final Map<Integer, StandInUpstream.DependentCall> dependencies = new ConcurrentHashMap<>();

    private volatile int failureInterval;
    private volatile int unframedInterval;

    /**
     * The size of a mesh.
     *
     * @param controlNodes the initial number of control nodes
     * @param services the services of the upstreams, one for each sidecar
     * @param berths the number of requests that an upstream runs concurrently
     * @param workMs the maximum duration of a run in ms
     */
    public record Shape(int controlNodes, List<String> services, int berths, int workMs) {

        /** Three control nodes and three sidecars. */
        public static final Shape USUAL = new Shape(3, List.of(BASALT, BASALT, MARL), 12, 12);

        /** Creates a shape with an immutable copy of the services. */
        public Shape {
            services = List.copyOf(services);
        }
    }

    /** Supplies the commands that start the daemons. */
    public interface Commands {

        /** Returns the command of a process by its role, its index in the role and its number of earlier starts. */
        List<String> command(String role, int index, int start);
    }

    /** Creates a mesh of the usual shape without starting it; its files are in a temporary folder. */
    public SmallMesh(Commands commands) {
        this(commands, Shape.USUAL);
    }

    /** Creates a mesh of a shape without starting it; its files are in a temporary folder. */
    public SmallMesh(Commands commands, Shape shape) {
        this.commands = commands;
        this.shape = shape;
        ThreadLocalRandom random = ThreadLocalRandom.current();
        plan = new MeshPlan(
                "127." + random.nextInt(1, 255) + "." + random.nextInt(1, 255), shape.controlNodes(), shape.services());
        List<InetSocketAddress> core = new ArrayList<>();
        for (int i = 0; i < shape.controlNodes(); i++) {
            core.add(ClientCall.address(plan.coreControl(i)));
        }
        operator = new Operator(core);
        try {
            folder = Files.createTempDirectory("sablehinge-mesh");
            for (int i = 0; i < shape.controlNodes(); i++) {
                Files.createDirectories(data(i));
                write("core-" + i, plan.controlSettings(i, data(i).toString(), true), controlNodes);
            }
            for (int i = 0; i < plan.services().size(); i++) {
                write("sidecar-" + i, plan.sidecarSettings(i), sidecars);
            }
        } catch (IOException e) {
            throw new MeshException(
                    MeshException.Code.FILE, "cannot create the temporary folder: " + e.getMessage(), e);
        }
    }

    private Path data(int index) {
        return folder.resolve("core-" + index + ".data");
    }

    private void write(String name, String settings, List<Daemon> to) throws IOException {
        Path file = Files.writeString(folder.resolve(name + ".toml"), settings);
        to.add(new Daemon(name, file, folder.resolve(name + ".log")));
    }

    /** Returns the addresses of the mesh. */
    public MeshPlan plan() {
        return plan;
    }

    /** Returns the recorded traffic. */
    public TrafficLog trafficLog() {
        return trafficLog;
    }

    /** Returns the operator. */
    public Operator operator() {
        return operator;
    }

    /** Returns the daemon of a control node. */
    public Daemon controlNode(int index) {
        return controlNodes.get(index);
    }

    /** Returns the daemon of a sidecar. */
    public Daemon sidecar(int index) {
        return sidecars.get(index);
    }

    /** Returns a version with the usual routes, whose reads go to one service. */
    public MeshVersion version(long edition, long basedOn, String reads) {
        return new MeshVersion(
                edition,
                basedOn,
                List.of(
                        new MeshVersion.Route("/read/", TrafficLog.Kind.SAFE, List.of(reads)),
                        new MeshVersion.Route("/both/", TrafficLog.Kind.SAFE, List.of(BASALT, MARL)),
                        new MeshVersion.Route("/write/", TrafficLog.Kind.UNSAFE, List.of(BASALT)),
                        new MeshVersion.Route("/put/", TrafficLog.Kind.UPLOAD, List.of(MARL))),
                List.of(BASALT, MARL));
    }

    /** Starts all daemons and upstreams, applies a configuration, and returns when all sidecars are ready. */
    public void start(MeshVersion first) throws InterruptedException {
        restartAll(0);
        startUpstreams();
        operator.replace(first, START_TIMEOUT_MS);
        for (int i = 0; i < sidecars.size(); i++) {
            ready(i);
        }
        // Heartbeats fill the registry: after two intervals every sidecar knows every upstream.
        TimeUnit.MILLISECONDS.sleep(2 * MeshPlan.HEARTBEAT_MS);
    }

    /** Kills all daemons in random order, and returns when they have exited. */
    public void killAll() throws InterruptedException {
        List<Daemon> all = new ArrayList<>(controlNodes);
        all.addAll(sidecars);
        Collections.shuffle(all);
        all.forEach(Daemon::close);
        for (Daemon daemon : all) {
            daemon.kill();
        }
    }

    /** Starts all daemons; {@code start} is the number of earlier starts. */
    public void restartAll(int start) {
        for (int i = 0; i < controlNodes.size(); i++) {
            restart(i, start);
        }
        for (int i = 0; i < sidecars.size(); i++) {
            restartSidecar(i, start);
        }
    }

    /** Starts a sidecar; {@code start} is the number of earlier starts. */
    public void restartSidecar(int index, int start) {
        sidecars.get(index).start(commands.command("sidecar", index, start));
    }

    /** Stops all upstreams without a sign-off. */
    public void crashUpstreams() {
        upstreams.forEach(HeartbeatSender::close);
        upstreams.clear();
    }

    /** Starts an upstream on each machine, as a new incarnation. */
    public void startUpstreams() {
        for (int i = 0; i < sidecars.size(); i++) {
            upstreams.add(newUpstream(i));
        }
    }

    /** Stops the upstream of a machine without a sign-off. */
    public void crashUpstream(int index) {
        upstreams.get(index).close();
    }

    /** Shuts down the upstream of a machine gracefully; takes slightly longer than {@link MeshPlan#UNLOAD_MS}. */
    public void drainUpstream(int index) throws InterruptedException {
        upstreams.get(index).leave(MeshPlan.UNLOAD_MS);
    }

    /**
     * Makes the upstream of a machine sign off first; it serves on until it is crashed, and its last heartbeat is late.
     */
    void signOffUpstream(int index, long heartbeatDelayMs) throws InterruptedException {
        upstreams.get(index).signOffFirst(MeshPlan.UNLOAD_MS, heartbeatDelayMs);
    }

    /** Starts an upstream on a machine, as a new incarnation. */
    public void startUpstream(int index) {
        upstreams.set(index, newUpstream(index));
    }

    /** Slows the upstream of a machine by a factor. */
    public void slowUpstream(int index, int factor) {
        upstreams.get(index).upstream().setSlowdown(factor);
    }

    /**
     * Makes one of each {@code runsPerFailure} runs of an upstream fail, aborts one, and makes the others depend on a
     * call.
     */
    void setUpstreamDependency(int index, int runsPerFailure, StandInUpstream.DependentCall dependency) {
        failureInterval = runsPerFailure;
        dependencies.put(index, dependency);
        upstreams.get(index).upstream().setDependency(runsPerFailure, dependency);
    }

    /** Makes one of each {@code runsPerUnframed} responses of all upstreams end with its connection. */
    void setUnframedInterval(int runsPerUnframed) {
        unframedInterval = runsPerUnframed;
        upstreams.forEach(sender -> sender.upstream().setUnframedInterval(runsPerUnframed));
    }

    private HeartbeatSender newUpstream(int index) {
        StandInUpstream upstream = new StandInUpstream(
                new StandInUpstream.Terms(
                        "i-" + index + "-"
                                + Long.toHexString(ThreadLocalRandom.current().nextLong()),
                        plan.services().get(index),
                        ClientCall.address(plan.app(index)),
                        shape.berths(),
                        shape.workMs()),
                trafficLog);
        upstream.setDependency(failureInterval, dependencies.get(index));
        upstream.setUnframedInterval(unframedInterval);
        return new HeartbeatSender(
                upstream, ClientCall.address(plan.control(index)), MeshPlan.ZONE, MeshPlan.HEARTBEAT_MS, trafficLog);
    }

    /** Deletes the data of a control node that does not run. */
    public void wipe(int index) {
        try {
            empty(data(index));
            Files.createDirectories(data(index));
        } catch (IOException e) {
            throw new MeshException(MeshException.Code.FILE, e.getMessage(), e);
        }
    }

    /** Adds a control node without starting it; returns its index. */
    public int addControlNode() {
        int index = controlNodes.size();
        try {
            Files.createDirectories(data(index));
            write("core-" + index, plan.controlSettings(index, data(index).toString(), false), controlNodes);
        } catch (IOException e) {
            throw new MeshException(MeshException.Code.FILE, e.getMessage(), e);
        }
        operator.addControlNode(ClientCall.address(plan.coreControl(index)));
        return index;
    }

    /** Returns the number of control nodes that were created so far. */
    public int controlNodes() {
        return controlNodes.size();
    }

    /** Starts a control node with its existing data; {@code start} is the number of earlier starts. */
    public void restart(int index, int start) {
        if (start > 0) {
            try {
                Files.writeString(
                        folder.resolve("core-" + index + ".toml"),
                        plan.controlSettings(index, data(index).toString(), false));
            } catch (IOException e) {
                throw new MeshException(MeshException.Code.FILE, e.getMessage(), e);
            }
        }
        controlNodes.get(index).start(commands.command("control", index, start));
    }

    /** Waits until a sidecar reports that it is ready. */
    public void ready(int index) throws InterruptedException {
        double deadline = TrafficLog.now() + START_TIMEOUT_MS;
        while (!isReady(index)) {
            if (!sidecars.get(index).runs()) {
                throw new MeshException(
                        MeshException.Code.DAEMON,
                        "sidecar " + index + " has ended:\n"
                                + sidecars.get(index).output(),
                        null);
            }
            if (TrafficLog.now() > deadline) {
                throw new MeshException(
                        MeshException.Code.TIMEOUT,
                        "sidecar " + index + " is not ready:\n"
                                + sidecars.get(index).output(),
                        null);
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
    }

    /** Returns whether a sidecar reports that it is ready. */
    public boolean isReady(int index) {
        try {
            Message answer = ClientCall.once(
                    ClientCall.address(plan.ready(index)),
                    HEALTH_CHECK_TIMEOUT_MS,
                    "GET",
                    "/sablehinge/ready",
                    Map.of("Host", "ready"),
                    new byte[0]);
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Starts the clients of all machines; {@code everyMs} is the mean interval of the requests of a machine. */
    public void load(long everyMs) {
        List<MeshVersion.Route> routes = version(1, 0, BASALT).routes();
        for (int i = 0; i < sidecars.size(); i++) {
            LoadClients client = new LoadClients(
                    "machine-" + i,
                    ClientCall.address(plan.outbound(i)),
                    plan.services().get(i),
                    routes,
                    everyMs,
                    trafficLog);
            client.start();
            clients.add(client);
        }
    }

    /**
     * Shuts down an upstream gracefully, then its clients and its sidecar; returns whether the sidecar exits in time.
     */
    public boolean leave(int index, long withinMs) throws InterruptedException {
        upstreams.get(index).leave(MeshPlan.UNLOAD_MS);
        clients.get(index).close();
        return sidecars.get(index).end(withinMs);
    }

    /** Stops all clients and waits for the responses to their requests. */
    public void quiet() {
        clients.forEach(LoadClients::close);
    }

    /** Copies the logs and settings of all daemons to a folder. */
    public void keepLogs(Path to) {
        try (Stream<Path> files = Files.list(folder)) {
            Files.createDirectories(to);
            for (Path file :
                    files.filter(f -> f.toString().matches(".*\\.(log|toml)")).toList()) {
                Files.copy(file, to.resolve(file.getFileName()), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            }
        } catch (IOException e) {
            throw new MeshException(MeshException.Code.FILE, "cannot copy the logs: " + e.getMessage(), e);
        }
    }

    @Override
    public void close() {
        clients.forEach(LoadClients::close);
        upstreams.forEach(HeartbeatSender::close);
        sidecars.forEach(Daemon::close);
        controlNodes.forEach(Daemon::close);
        try {
            empty(folder);
        } catch (IOException e) {
            // A leftover temporary folder is harmless.
        }
    }

    private static void empty(Path from) throws IOException {
        try (Stream<Path> files = Files.walk(from)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}

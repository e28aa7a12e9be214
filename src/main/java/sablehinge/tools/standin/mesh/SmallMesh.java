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
 * Three control nodes and three sidecars as child processes on loopback, with a stand-in upstream beside each sidecar,
 * clients on each machine, and an operator. All of it ends when this is closed.
 */
public final class SmallMesh implements AutoCloseable {

    /** The service of two upstreams. */
    public static final String BASALT = "basalt";
    /** The service of one. */
    public static final String MARL = "marl";

    private static final int HEALTH_CHECK_MS = 1_000;
    private static final long AGAIN_MS = 50;
    private static final int START_MS = 40_000;

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
    /** What the upstreams' runs depend on, by machine. */
    private final Map<Integer, StandInUpstream.DependentCall> dependencies = new ConcurrentHashMap<>();

    private volatile int failsEach;

    /**
     * How large it is.
     *
     * @param controlNodes at the beginning
     * @param services those of the upstreams, one a sidecar
     * @param berths how many requests an upstream works on at once
     * @param workMs the longest that one takes
     */
    public record Shape(int controlNodes, List<String> services, int berths, int workMs) {

        /** Three control nodes and three sidecars. */
        public static final Shape USUAL = new Shape(3, List.of(BASALT, BASALT, MARL), 12, 12);

        /** A shape whose services can't be changed. */
        public Shape {
            services = List.copyOf(services);
        }
    }

    /** What starts the daemons. */
    public interface Commands {

        /** The command of a role's process, by its place among those of its role and its start, from 0. */
        List<String> command(String role, int place, int start);
    }

    /** A mesh that does not run yet, in a folder that it makes and removes. */
    public SmallMesh(Commands commands) {
        this(commands, Shape.USUAL);
    }

    /** Likewise, of another size. */
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
            throw new MeshException(MeshException.Code.FILE, "the folder can't be made: " + e.getMessage(), e);
        }
    }

    private Path data(int place) {
        return folder.resolve("core-" + place + ".data");
    }

    private void write(String name, String settings, List<Daemon> to) throws IOException {
        Path file = Files.writeString(folder.resolve(name + ".toml"), settings);
        to.add(new Daemon(name, file, folder.resolve(name + ".log")));
    }

    /** Where everything is. */
    public MeshPlan plan() {
        return plan;
    }

    /** What has been seen. */
    public TrafficLog trafficLog() {
        return trafficLog;
    }

    /** The operator. */
    public Operator operator() {
        return operator;
    }

    /** A machine of the core. */
    public Daemon controlNode(int place) {
        return controlNodes.get(place);
    }

    /** The balancer of a machine. */
    public Daemon sidecar(int place) {
        return sidecars.get(place);
    }

    /** A version of the usual routes, whose reads go to one service. */
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

    /** Starts all daemons and upstreams, has a configuration taken, and returns when all balancers are in. */
    public void start(MeshVersion first) throws InterruptedException {
        restartAll(0);
        upstreamsCome();
        operator.replace(first, START_MS);
        for (int i = 0; i < sidecars.size(); i++) {
            ready(i);
        }
        // The registry fills with the heartbeats: every balancer has heard of every upstream after two of them.
        TimeUnit.MILLISECONDS.sleep(2 * MeshPlan.HEARTBEAT_MS);
    }

    /** Ends all daemons at once, in any order, and returns when they are gone. */
    public void killAll() throws InterruptedException {
        List<Daemon> all = new ArrayList<>(controlNodes);
        all.addAll(sidecars);
        Collections.shuffle(all);
        all.forEach(Daemon::close);
        for (Daemon daemon : all) {
            daemon.kill();
        }
    }

    /** Starts all daemons, for the so-many-th time. */
    public void restartAll(int start) {
        for (int i = 0; i < controlNodes.size(); i++) {
            restart(i, start);
        }
        for (int i = 0; i < sidecars.size(); i++) {
            restartSidecar(i, start);
        }
    }

    /** Starts the balancer of a machine, for the so-many-th time. */
    public void restartSidecar(int place, int start) {
        sidecars.get(place).start(commands.command("sidecar", place, start));
    }

    /** The upstreams of all machines go without a word. */
    public void upstreamsGo() {
        upstreams.forEach(HeartbeatSender::close);
        upstreams.clear();
    }

    /** Starts an upstream on each machine, as a new incarnation. */
    public void upstreamsCome() {
        for (int i = 0; i < sidecars.size(); i++) {
            upstreams.add(newUpstream(i));
        }
    }

    /** The upstream of a machine goes without a word. */
    public void upstreamCrashes(int place) {
        upstreams.get(place).close();
    }

    /** The upstream of a machine leaves in order, which takes a little longer than it unloads. */
    public void upstreamLeaves(int place) throws InterruptedException {
        upstreams.get(place).leave(MeshPlan.UNLOAD_MS);
    }

    /** Starts an upstream on a machine, as a new incarnation. */
    public void upstreamComes(int place) {
        upstreams.set(place, newUpstream(place));
    }

    /** The upstream of a machine takes so many times as long for its work. */
    public void upstreamSlows(int place, int times) {
        upstreams.get(place).upstream().slows(times);
    }

    /** Of so many runs on a machine one fails and one is broken off, and the others depend on a call; from now on. */
    void upstreamDepends(int place, int failing, StandInUpstream.DependentCall on) {
        failsEach = failing;
        dependencies.put(place, on);
        upstreams.get(place).upstream().depends(failing, on);
    }

    private HeartbeatSender newUpstream(int place) {
        StandInUpstream upstream = new StandInUpstream(
                new StandInUpstream.Terms(
                        "i-" + place + "-"
                                + Long.toHexString(ThreadLocalRandom.current().nextLong()),
                        plan.services().get(place),
                        ClientCall.address(plan.app(place)),
                        shape.berths(),
                        shape.workMs()),
                trafficLog);
        upstream.depends(failsEach, dependencies.get(place));
        return new HeartbeatSender(
                upstream, ClientCall.address(plan.control(place)), MeshPlan.ZONE, MeshPlan.HEARTBEAT_MS, trafficLog);
    }

    /** Empties the disk of a machine of the core that does not run. */
    public void wipe(int place) {
        try {
            empty(data(place));
            Files.createDirectories(data(place));
        } catch (IOException e) {
            throw new MeshException(MeshException.Code.FILE, e.getMessage(), e);
        }
    }

    /** A further machine for the core, at an address of its own, that does not run yet; returns its place. */
    public int another() {
        int place = controlNodes.size();
        try {
            Files.createDirectories(data(place));
            write("core-" + place, plan.controlSettings(place, data(place).toString(), false), controlNodes);
        } catch (IOException e) {
            throw new MeshException(MeshException.Code.FILE, e.getMessage(), e);
        }
        operator.knows(ClientCall.address(plan.coreControl(place)));
        return place;
    }

    /** How many machines the core has had so far. */
    public int controlNodes() {
        return controlNodes.size();
    }

    /** Starts a machine of the core again, for the so-many-th time; its disk is as it was left. */
    public void restart(int place, int start) {
        if (start > 0) {
            try {
                Files.writeString(
                        folder.resolve("core-" + place + ".toml"),
                        plan.controlSettings(place, data(place).toString(), false));
            } catch (IOException e) {
                throw new MeshException(MeshException.Code.FILE, e.getMessage(), e);
            }
        }
        controlNodes.get(place).start(commands.command("control", place, start));
    }

    /** Returns when a balancer says that it is ready. */
    public void ready(int place) throws InterruptedException {
        double end = TrafficLog.now() + START_MS;
        while (!isReady(place)) {
            if (!sidecars.get(place).runs()) {
                throw new MeshException(
                        MeshException.Code.DAEMON,
                        "sidecar " + place + " has ended:\n"
                                + sidecars.get(place).output(),
                        null);
            }
            if (TrafficLog.now() > end) {
                throw new MeshException(
                        MeshException.Code.TIMEOUT,
                        "sidecar " + place + " is not ready:\n"
                                + sidecars.get(place).output(),
                        null);
            }
            TimeUnit.MILLISECONDS.sleep(AGAIN_MS);
        }
    }

    /** Whether a balancer says that it is ready. */
    public boolean isReady(int place) {
        try {
            Message answer = ClientCall.once(
                    ClientCall.address(plan.ready(place)),
                    HEALTH_CHECK_MS,
                    "GET",
                    "/sablehinge/ready",
                    Map.of("Host", "ready"),
                    new byte[0]);
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Starts the clients of all machines; each machine's send a request every so often. */
    public void load(long everyMs) {
        List<MeshVersion.Route> routes = version(1, 0, BASALT).routes();
        for (int i = 0; i < sidecars.size(); i++) {
            LoadClients one = new LoadClients(
                    "machine-" + i,
                    ClientCall.address(plan.outbound(i)),
                    plan.services().get(i),
                    routes,
                    everyMs,
                    trafficLog);
            one.start();
            clients.add(one);
        }
    }

    /** The upstream of a machine leaves in order; once it and its clients are gone, its balancer ends. */
    public boolean leave(int place, long withinMs) throws InterruptedException {
        upstreams.get(place).leave(MeshPlan.UNLOAD_MS);
        clients.get(place).close();
        return sidecars.get(place).end(withinMs);
    }

    /** Returns when all clients have stopped and what they sent has come out. */
    public void quiet() {
        clients.forEach(LoadClients::close);
    }

    /** The logs of all daemons go to another folder, for whoever wants to know why. */
    public void keepLogs(Path to) {
        try (Stream<Path> files = Files.list(folder)) {
            Files.createDirectories(to);
            for (Path file :
                    files.filter(f -> f.toString().matches(".*\\.(log|toml)")).toList()) {
                Files.copy(file, to.resolve(file.getFileName()), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            }
        } catch (IOException e) {
            throw new MeshException(MeshException.Code.FILE, "logs can't be kept: " + e.getMessage(), e);
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
            // A folder for what is not kept may stay.
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

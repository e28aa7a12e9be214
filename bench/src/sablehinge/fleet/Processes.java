package sablehinge.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import sablehinge.controlplane.node.CutControlNode;
import sablehinge.tools.standin.mesh.Daemon;
import sablehinge.tools.standin.mesh.HeartbeatSender;
import sablehinge.tools.standin.mesh.StandInUpstream;
import sablehinge.tools.standin.mesh.TrafficLog;

/** The real processes of a fleet: control nodes, and a few sidecars with a stand-in upstream each. */
final class Processes implements AutoCloseable {

    private static final Pattern RUN = Pattern.compile("\\[roles\\.(\\w+)]\\s+run = \"java ([^\"]+)\"");
    private static final Pattern IN_FORCE = Pattern.compile("at=(\\d+) .*event=configuration edition=(\\d+) ");
    private static final Pattern MEMBERS = Pattern.compile("event=standing .*members=(\\d+)");
    private static final Pattern LOST =
            Pattern.compile("event=(\\S*failed\\S*)|OutOfMemoryError" + "|OutOfDirectMemoryError|Exception");
    private static final int BERTHS = 12;
    private static final int WORK_MS = 0;
    private static final long HEARTBEAT_MS = 1_500;

    private final FleetPlan plan;
    private final Path folder;
    private final Map<String, List<String>> commands = new HashMap<>();
    private final List<Daemon> control = new ArrayList<>();
    private final List<Daemon> sidecars = new ArrayList<>();
    private final List<HeartbeatSender> upstreams = new ArrayList<>();

    /** A file that is there while the regions are cut from each other; null where they never are. */
    private Path cut;

    /** Processes that do not run yet, with the commands of the deploy file. */
    Processes(FleetPlan plan) throws IOException {
        this.plan = plan;
        folder = Files.createTempDirectory("sablehinge-fleet");
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
        while (run.find()) {
            List<String> command = new ArrayList<>();
            command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
            command.addAll(List.of(run.group(2).split(" ")));
            commands.put(run.group(1), List.copyOf(command));
        }
        for (int i = 0; i < plan.controlNodes(); i++) {
            Files.createDirectories(data(i));
            control.add(daemon("control-" + i, plan.controlSettings(i, data(i).toString(), true)));
        }
        for (int i = 0; i < plan.sidecars(); i++) {
            sidecars.add(daemon("sidecar-" + i, plan.sidecarSettings(i)));
        }
    }

    private Path data(int place) {
        return folder.resolve("control-" + place + ".data");
    }

    private Daemon daemon(String name, String settings) throws IOException {
        Path file = Files.writeString(folder.resolve(name + ".toml"), settings);
        return new Daemon(name, file, folder.resolve(name + ".log"));
    }

    /** Control nodes that are started from now on can be cut from those of the other region. */
    void makeCuttable() {
        cut = folder.resolve("cut");
    }

    /** The regions are cut from each other, or no more, as far as control nodes notice. */
    void cut(boolean lasts) throws IOException {
        if (lasts) {
            Files.createFile(cut);
        } else {
            Files.delete(cut);
        }
    }

    /** The deploy file's command, or with its settings for the JVM one that can be cut. */
    private List<String> controlCommand(int place) {
        List<String> command = commands.get("control");
        if (cut == null) {
            return command;
        }
        List<String> cuttable = new ArrayList<>(command.subList(0, command.indexOf("-jar")));
        cuttable.addAll(List.of(
                "-cp",
                "target/test-classes:target/sablehinge.jar",
                CutControlNode.class.getName(),
                cut.toString(),
                String.join(",", otherRegion(place))));
        return cuttable;
    }

    private List<String> otherRegion(int place) {
        int region = FleetPlan.regionOfZone(FleetPlan.controlZone(place));
        return IntStream.range(0, plan.controlNodes())
                .filter(other -> FleetPlan.regionOfZone(FleetPlan.controlZone(other)) != region)
                .mapToObj(plan::controlIp)
                .toList();
    }

    /** Starts all of them at once. */
    void start() {
        for (int i = 0; i < control.size(); i++) {
            control.get(i).start(controlCommand(i));
        }
        sidecars.forEach(daemon -> daemon.start(commands.get("sidecar")));
        TrafficLog trafficLog = new TrafficLog();
        for (int i = 0; i < sidecars.size(); i++) {
            StandInUpstream upstream = new StandInUpstream(
                    new StandInUpstream.Terms(
                            "i-sidecar-" + i, FleetPlan.service(0), address(plan.app(i)), BERTHS, WORK_MS),
                    trafficLog);
            upstreams.add(new HeartbeatSender(
                    upstream, address(plan.heartbeats(i)), FleetPlan.zone(i), HEARTBEAT_MS, trafficLog));
        }
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Kills a control node; its disk stays. */
    void killControl(int place) throws InterruptedException {
        control.get(place).kill();
    }

    /** Kills all sidecars; their upstreams stay. */
    void killSidecars() throws InterruptedException {
        for (Daemon daemon : sidecars) {
            daemon.kill();
        }
    }

    /** Starts a control node again. */
    void restartControl(int place) throws IOException {
        Files.writeString(
                folder.resolve("control-" + place + ".toml"),
                plan.controlSettings(place, data(place).toString(), false));
        control.get(place).start(controlCommand(place));
    }

    /** What each control node has used; null for one that does not run. */
    List<Usage> controlUsage() {
        return usage(control);
    }

    /** What each sidecar has used; null for one that does not run. */
    List<Usage> sidecarUsage() {
        return usage(sidecars);
    }

    /** Processor time of all sidecars, in ms, by the names of their threads. */
    Map<String, Double> threadsOfSidecars() {
        Map<String, Double> threads = new TreeMap<>();
        for (Daemon daemon : sidecars) {
            if (daemon.runs()) {
                Usage.threads(daemon.pid()).forEach((name, ms) -> threads.merge(name, ms, Double::sum));
            }
        }
        return threads;
    }

    private static List<Usage> usage(List<Daemon> daemons) {
        List<Usage> usage = new ArrayList<>();
        daemons.forEach(daemon -> usage.add(daemon.runs() ? Usage.of(daemon.pid()) : null));
        return usage;
    }

    /** Bytes of a control node's files. */
    long stateBytes(int place) {
        try (Stream<Path> files = Files.walk(data(place))) {
            return files.filter(Files::isRegularFile)
                    .mapToLong(file -> file.toFile().length())
                    .sum();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** When each sidecar had an edition in force, in ms since 1970 by its log; NaN where it has not. */
    double[] inForceAt(long edition) {
        double[] times = new double[sidecars.size()];
        for (int i = 0; i < times.length; i++) {
            times[i] = Double.NaN;
            Matcher line = IN_FORCE.matcher(sidecars.get(i).output());
            while (line.find()) {
                if (Long.parseLong(line.group(2)) >= edition && Double.isNaN(times[i])) {
                    times[i] = Double.parseDouble(line.group(1));
                }
            }
        }
        return times;
    }

    /** Voters of the control plane, as any of its nodes last reported. */
    int members() {
        int members = 0;
        for (Daemon daemon : control) {
            Matcher line = MEMBERS.matcher(daemon.output());
            while (line.find()) {
                members = Math.max(members, Integer.parseInt(line.group(1)));
            }
        }
        return members;
    }

    /** Lines of all logs that tell of a failure, at most so many of each. */
    List<String> failures(int most) {
        List<String> failures = new ArrayList<>();
        List<Daemon> all = new ArrayList<>(control);
        all.addAll(sidecars);
        for (Daemon daemon : all) {
            if (!daemon.runs()) {
                failures.add("a process has ended by itself or was killed");
            }
            daemon.output()
                    .lines()
                    .filter(line -> LOST.matcher(line).find())
                    .limit(most)
                    .forEach(failures::add);
        }
        return failures;
    }

    @Override
    public void close() {
        upstreams.forEach(HeartbeatSender::close);
        sidecars.forEach(Daemon::close);
        control.forEach(Daemon::close);
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (IOException e) {
            // A folder for what is not kept may stay.
        }
    }
}

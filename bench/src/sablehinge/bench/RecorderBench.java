package sablehinge.bench;

import ch.qos.logback.classic.Level;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.UnixDomainSocketAddress;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import jdk.jfr.Event;
import jdk.jfr.Recording;
import jdk.jfr.StackTrace;
import sablehinge.dataplane.proxy.TraceEvent;
import sablehinge.gateway.recorder.FlightRecorder;
import sablehinge.gateway.recorder.Ring;
import sablehinge.testing.Logs;
import sablehinge.testing.OperatorStage;
import sablehinge.testing.StandIn;
import sablehinge.torture.StallBench;

/**
 * Run by {@code bench/run recorder [ROUNDS [PLAYS]]}, 0 plays for the cost alone: what the flight recorder costs a
 * balancer that has one core, beside the same one without it and with JDK Flight Recorder, and what its watch finds of
 * seeded stalls.
 */
public final class RecorderBench {

    private static final Path TASKSET = Path.of("/usr/bin/taskset");
    private static final int CONNECTIONS = 64;
    private static final long ROUND_MS = 400;
    private static final long WARM_UP_MS = 15_000;
    private static final long CALLS = 20_000_000;
    private static final int STARTS = 5;
    private static final double STEADY = 2_000;
    private static final String SECTION = "[recorder]\ndirectory = \"flight\"\n";

    private RecorderBench() {}

    /** The same, as an event of JDK Flight Recorder. */
    @StackTrace(false)
    static final class Traced extends Event {
        int code;
        int connection;
        long exchange;
        long value;
    }

    /** A balancer as a process of its own on one core, and where it is. */
    private static final class Balancer implements AutoCloseable {
        final Path folder = Files.createTempDirectory("recorder-bench");
        final Process process;
        final InetSocketAddress address;
        final UnixDomainSocketAddress admin = UnixDomainSocketAddress.of(folder.resolve("sablehinge-state/admin.sock"));

        Balancer(List<StandIn> servers, boolean recorded, int core) throws Exception {
            int port;
            try (ServerSocket free = new ServerSocket(0)) {
                port = free.getLocalPort();
            }
            address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            StringBuilder text = new StringBuilder("[[listener]]\naddress = \"127.0.0.1:" + port + "\"\n"
                    + "[[class]]\nname = \"look-up\"\neffect = \"safe\"\ndeadline = \"10s\"\n"
                    + "[[class]]\nname = \"credit-spend\"\ndeadline = \"10s\"\n");
            for (int i = 0; i < servers.size(); i++) {
                text.append("[[upstream]]\nid = \"s")
                        .append(i)
                        .append("\"\naddress = \"")
                        .append(servers.get(i).address())
                        .append("\"\n");
            }
            process = launch(
                    Files.writeString(folder.resolve("operator.toml"), text + (recorded ? SECTION : "")),
                    core,
                    List.of());
        }

        /** Has another core from now on, if there is a way to. */
        void moveTo(int core) throws IOException, InterruptedException {
            if (Files.isExecutable(TASKSET)) {
                new ProcessBuilder(
                                TASKSET.toString(),
                                "-a",
                                "-p",
                                "-c",
                                Integer.toString(core),
                                Long.toString(process.pid()))
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .start()
                        .waitFor();
            }
        }

        JsonNode admin(String method, String target) throws IOException {
            return OperatorStage.admin(admin, null, method, target, "");
        }

        /** CPU seconds that its threads have used, those of the compiler aside. */
        double cpu() throws IOException {
            double nanos = 0;
            try (DirectoryStream<Path> threads =
                    Files.newDirectoryStream(Path.of("/proc/" + process.pid() + "/task"))) {
                for (Path thread : threads) {
                    String name = Files.readString(thread.resolve("comm"));
                    nanos += name.startsWith("C1 ") || name.startsWith("C2 ")
                            ? 0
                            : Double.parseDouble(Files.readString(thread.resolve("schedstat"))
                                    .split(" ")[0]);
                }
            }
            return nanos / 1e9;
        }

        long events() throws IOException {
            return admin("GET", "/config/status")
                    .path("recorder")
                    .path("events")
                    .asLong();
        }

        @Override
        public void close() throws IOException {
            process.destroyForcibly().onExit().join();
            delete(folder);
        }
    }

    /** Starts a balancer on one core, if there is a way to, and returns once it serves. */
    private static Process launch(Path file, int core, List<String> flags) throws IOException {
        List<String> command = new ArrayList<>();
        if (Files.isExecutable(TASKSET)) {
            command.addAll(List.of(TASKSET.toString(), "-c", Integer.toString(core)));
        }
        command.addAll(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC", "-Xmx64m"));
        command.addAll(flags);
        command.addAll(
                List.of("-cp", "target/sablehinge.jar", "sablehinge.cli.Main", "serve", "--operator", file.toString()));
        Path log = file.resolveSibling("log");
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start();
        while (!Files.readString(log).contains("serves as")) {
            if (!process.isAlive()) {
                throw new IOException("it has ended: " + Files.readString(log));
            }
            LockSupport.parkNanos(2_000_000);
        }
        return process;
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            Path[] paths = files.sorted(Comparator.reverseOrder()).toArray(Path[]::new);
            for (Path path : paths) {
                Files.deleteIfExists(path);
            }
        }
    }

    private static double median(List<Double> values) {
        double[] sorted =
                values.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        return sorted[sorted.length / 2];
    }

    /** Prints the table and the JSON line. */
    public static void main(String[] arguments) throws Exception {
        int rounds = arguments.length > 0 ? Integer.parseInt(arguments[0]) : 80;
        long plays = arguments.length > 1 ? Long.parseLong(arguments[1]) : 2_000;
        Logs.level(Level.WARN);
        ObjectNode json = JsonMapper.builder().build().createObjectNode();
        cost(rounds, plays > 0 ? 5 : 1, json);
        perEvent(json);
        if (plays > 0) {
            starts(json);
            StallBench.run(plays, json);
        }
        json.put("cores", Runtime.getRuntime().availableProcessors());
        System.out.println(json);
        boolean held = json.path("overhead_ratio").asDouble() >= 0.97
                && json.path("detected").asInt() == json.path("seeded").asInt()
                && json.path("false_alarms").asInt() == 0;
        System.exit(held ? 0 : 1);
    }

    /** Throughput and latency by turns: one balancer with it, one without, and another without. */
    private static void cost(int rounds, int turns, ObjectNode json) throws Exception {
        List<StandIn> servers = List.of(new StandIn(), new StandIn());
        try (Balancer with = new Balancer(servers, true, 0);
                Balancer without = new Balancer(servers, false, 1);
                Balancer again = new Balancer(servers, false, 2)) {
            List<Balancer> all = List.of(without, with, again);
            List<double[]> rates = new ArrayList<>();
            List<double[]> work = new ArrayList<>();
            double eventsPerSecond = 0;
            warmUp(all);
            servers.forEach(server -> server.seen.clear());
            for (int i = 0; i < rounds; i++) {
                // No two cores of a machine do the same in a second: each balancer has each of them in turn.
                for (int which = 0; which < all.size(); which++) {
                    all.get(which).moveTo((which + i) % all.size());
                }
                double[] round = new double[all.size()];
                double[] perCpu = new double[all.size()];
                for (int turn = 0; turn < all.size(); turn++) {
                    // Who is first changes, as the machine's clock rate drifts.
                    int which = Math.floorMod(turn + i, all.size());
                    try (ClosedLoop load = new ClosedLoop(all.get(which).address, CONNECTIONS)) {
                        load.rate(100);
                        long before = which == 1 ? with.events() : 0;
                        long begun = System.nanoTime();
                        double cpu = all.get(which).cpu();
                        round[which] = load.rate(ROUND_MS);
                        perCpu[which] = round[which]
                                * ((System.nanoTime() - begun) / 1e9)
                                / (all.get(which).cpu() - cpu);
                        if (which == 1) {
                            eventsPerSecond = (with.events() - before) / ((System.nanoTime() - begun) / 1e9);
                        }
                        if (load.others() > 0) {
                            throw new IllegalStateException(load.others() + " answers were not 200");
                        }
                    }
                    servers.forEach(server -> server.seen.clear());
                }
                rates.add(round);
                work.add(perCpu);
            }
            List<Double> added = new ArrayList<>();
            for (int i = 0; i < turns; i++) {
                double[] p99 = {steady(without, servers), steady(with, servers)};
                added.add((p99[1] - p99[0]) * 1e3);
            }
            long dumped = System.nanoTime();
            if (with.admin("POST", "/recorder/dump").path("status").asInt() != 200) {
                throw new IllegalStateException("no dump");
            }
            double dumpMs = (System.nanoTime() - dumped) / 1e6;
            // Requests to a second of the balancer's own CPU: what it can do if it has the core to itself,
            // whatever else the machine does meanwhile.
            double ratio = median(work.stream().map(r -> r[1] / r[0]).toList());
            double control = median(work.stream().map(r -> r[2] / r[0]).toList());
            json.put("overhead_ratio", round(ratio, 3));
            json.put("control_ratio", round(control, 3));
            json.put(
                    "wall_ratio",
                    round(median(rates.stream().map(r -> r[1] / r[0]).toList()), 3));
            json.put(
                    "wall_control",
                    round(median(rates.stream().map(r -> r[2] / r[0]).toList()), 3));
            json.put(
                    "rate_without",
                    Math.round(median(rates.stream().map(r -> r[0]).toList())));
            json.put(
                    "rate_with", Math.round(median(rates.stream().map(r -> r[1]).toList())));
            json.put("added_p99_us", Math.round(median(added)));
            json.put("events_per_s", Math.round(eventsPerSecond));
            json.put("ring_mb", 1);
            json.put("dump_ms", round(dumpMs, 1));
            json.put(
                    "alarms_on_sockets",
                    with.admin("GET", "/config/status")
                            .path("recorder")
                            .path("alarms")
                            .asInt());
            System.out.printf(
                    Locale.ROOT,
                    "%-44s %10d /s%n%-44s %10d /s, per second of CPU %.3f (%.3f to "
                            + "%.3f)%n%-44s %10s     per second of CPU %.3f%n",
                    "served without",
                    json.path("rate_without").asInt(),
                    "served with the recorder",
                    json.path("rate_with").asInt(),
                    ratio,
                    work.stream().mapToDouble(r -> r[1] / r[0]).min().orElse(0),
                    work.stream().mapToDouble(r -> r[1] / r[0]).max().orElse(0),
                    "another one without",
                    "",
                    control);
            Files.readAllLines(with.folder.resolve("log")).stream()
                    .filter(line -> line.contains("recorder: "))
                    .forEach(System.out::println);
            System.out.printf(
                    Locale.ROOT,
                    "%-44s %10.0f us (%d requests a second, five turns)%n",
                    "added at p99",
                    median(added),
                    (int) STEADY);
            System.out.printf(
                    Locale.ROOT,
                    "%-44s %10.0f /s%n%-44s %10.1f ms%n",
                    "events",
                    eventsPerSecond,
                    "a dump of 1 MiB, asked for and written",
                    dumpMs);
        } finally {
            servers.forEach(StandIn::close);
        }
    }

    /** All at once, each on its own core. */
    private static void warmUp(List<Balancer> all) throws InterruptedException {
        List<ClosedLoop> loads = new ArrayList<>();
        for (Balancer one : all) {
            loads.add(new ClosedLoop(one.address, CONNECTIONS));
        }
        loads.get(0).rate(WARM_UP_MS);
        loads.forEach(ClosedLoop::close);
    }

    /** The 99th percentile at a steady rate, in ms. */
    private static double steady(Balancer balancer, List<StandIn> servers) throws Exception {
        Callers callers = new Callers(balancer.address, STEADY);
        TimeUnit.SECONDS.sleep(4);
        double[] latencies = callers.stop(2_000).stream()
                .filter(one -> one.status == 200)
                .mapToDouble(Callers.One::latencyMillis)
                .sorted()
                .toArray();
        servers.forEach(server -> server.seen.clear());
        return latencies[(int) (latencies.length * 0.99)];
    }

    private static double round(double value, int digits) {
        return Math.round(value * Math.pow(10, digits)) / Math.pow(10, digits);
    }

    /** One event into the ring, and one into JDK Flight Recorder, in ns. */
    private static void perEvent(ObjectNode json) throws Exception {
        FlightRecorder recorder = new FlightRecorder(new Ring(1 << 20), System::nanoTime);
        double ring = 0;
        for (int pass = 0; pass < 3; pass++) {
            long begun = System.nanoTime();
            for (long i = 0; i < CALLS; i++) {
                recorder.note(TraceEvent.FIRST_BYTE, (int) i, i, i);
            }
            ring = (System.nanoTime() - begun) / (double) CALLS;
        }
        double jfr = 0;
        try (Recording recording = new Recording()) {
            recording.enable(Traced.class);
            recording.setToDisk(false);
            recording.setMaxSize(1 << 20);
            recording.start();
            for (int pass = 0; pass < 3; pass++) {
                long begun = System.nanoTime();
                for (long i = 0; i < CALLS; i++) {
                    Traced event = new Traced();
                    event.code = 7;
                    event.connection = (int) i;
                    event.exchange = i;
                    event.value = i;
                    event.commit();
                }
                jfr = (System.nanoTime() - begun) / (double) CALLS;
            }
        }
        json.put("ring_ns", round(ring, 1));
        json.put("jfr_ns", round(jfr, 1));
        System.out.printf(
                Locale.ROOT, "%-44s %10.1f ns, in JDK Flight Recorder %.1f ns%n", "an event in the ring", ring, jfr);
    }

    private record Started(double millis, double mib) {}

    /** Start and memory of processes: plain, with the recorder, with JDK Flight Recorder. */
    private static void starts(ObjectNode json) throws Exception {
        String[] names = {"plain", "recorder", "jfr"};
        List<List<Started>> all = List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        for (int i = 0; i < STARTS; i++) {
            for (int kind = 0; kind < names.length; kind++) {
                all.get(kind).add(start(kind == 1, kind == 2));
            }
        }
        for (int kind = 0; kind < names.length; kind++) {
            double millis = median(all.get(kind).stream().map(Started::millis).toList());
            double mib = median(all.get(kind).stream().map(Started::mib).toList());
            json.put("start_ms_" + names[kind], Math.round(millis));
            json.put("rss_mib_" + names[kind], round(mib, 1));
            System.out.printf(
                    Locale.ROOT,
                    "%-44s %10.0f ms, %.1f MiB resident (middle of %d)%n",
                    "start of a process, " + names[kind],
                    millis,
                    mib,
                    STARTS);
        }
    }

    private static Started start(boolean recorder, boolean jfr) throws Exception {
        Path folder = Files.createTempDirectory("recorder-bench");
        Path file = Files.writeString(
                folder.resolve("operator.toml"),
                """
                [[listener]]
                address = "127.0.0.1:0"
                [[class]]
                name = "tile"
                [[upstream]]
                id = "a"
                address = "127.0.0.1:1"
                """
                        + (recorder ? SECTION : ""));
        long begun = System.nanoTime();
        Process process =
                launch(file, 0, jfr ? List.of("-XX:StartFlightRecording=settings=none,maxsize=1m") : List.of());
        double millis = (System.nanoTime() - begun) / 1e6;
        try {
            TimeUnit.MILLISECONDS.sleep(1_000);
            double kib = Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                    .filter(line -> line.startsWith("VmRSS"))
                    .mapToDouble(line -> Double.parseDouble(line.replaceAll("[^0-9]", "")))
                    .findFirst()
                    .orElse(0);
            return new Started(millis, kib / 1_024);
        } finally {
            process.destroyForcibly().waitFor();
            delete(folder);
        }
    }
}

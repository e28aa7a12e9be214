package sablehinge.held;

import ch.qos.logback.classic.Level;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import sablehinge.held.Flow.End;
import sablehinge.testing.Logs;

/**
 * Run by {@code bench/run held [PLAYS [SECONDS [RATE [TRICKLE]]]]}: long answers, slow callers and small pieces through
 * the platform's balancer as a process with little CPU, by turns 1, 0.5 and 0.3 of a core, shared with busy neighbours;
 * 1,024 descriptors and the platform's flags. An answer is held back if it stands still for over 2 s while its upstream
 * has written more and its caller reads.
 */
public final class HeldBench {

    private static final int AT_ONCE = 4;
    private static final int SERVERS = 3;
    /** A refusal within this time had no attempt before it. */
    private static final double AT_ONCE_MS = 30;

    private static final int[] NEIGHBOURS = {0, 1, 2};
    private static final String[] CORES = {"1", "0.5", "0.3"};
    private static final double TIMEOUT_MS = 15_000;
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"exec (java .*) -jar (\\S+) serve\"$");

    private HeldBench() {}

    /** What a play came to. */
    private record Played(int place, int requested, Map<End, Integer> ends, int atOnce, int held, List<String> dumps) {

        double good() {
            return (double) ends.getOrDefault(End.IN_TIME, 0) / requested;
        }

        double share(End end) {
            return (double) ends.getOrDefault(end, 0) / requested;
        }
    }

    /** Prints a line for each play, and the JSON line. */
    public static void main(String[] arguments) throws Exception {
        int plays = arguments.length > 0 ? Integer.parseInt(arguments[0]) : 50;
        double seconds = arguments.length > 1 ? Double.parseDouble(arguments[1]) : 12;
        double rate = arguments.length > 2 ? Double.parseDouble(arguments[2]) : 120;
        double trickle = arguments.length > 3 ? Double.parseDouble(arguments[3]) : 0.06;
        Logs.level(Level.WARN);
        ExecutorService players = Executors.newFixedThreadPool(AT_ONCE);
        AtomicInteger cores = new AtomicInteger();
        ThreadLocal<Integer> core = ThreadLocal.withInitial(cores::getAndIncrement);
        List<Future<Played>> all = new ArrayList<>();
        for (int i = 0; i < plays; i++) {
            int place = i;
            all.add(players.submit(() -> play(place, core.get(), seconds, rate, trickle)));
        }
        System.out.printf(
                Locale.ROOT,
                "%5s %5s %6s %8s %8s %8s %8s %8s %8s %5s %s%n",
                "play",
                "cores",
                "asked",
                "in time",
                "late",
                "refused",
                "at once",
                "failed",
                "broken",
                "held",
                "dumps");
        List<Played> done = new ArrayList<>();
        for (Future<Played> one : all) {
            Played played = one.get();
            done.add(played);
            System.out.printf(
                    Locale.ROOT,
                    "%5d %5s %6d %8.3f %8.3f %8.3f %8.3f %8.3f %8.3f %5d %s%n",
                    played.place,
                    CORES[played.place % CORES.length],
                    played.requested,
                    played.good(),
                    played.share(End.LATE),
                    played.share(End.REFUSED),
                    (double) played.atOnce / played.requested,
                    played.share(End.FAILED),
                    played.share(End.BROKEN) + played.share(End.OPEN),
                    played.held,
                    played.dumps);
        }
        players.shutdown();
        ObjectNode json = JsonMapper.builder()
                .build()
                .createObjectNode()
                .put("plays", plays)
                .put("held", done.stream().mapToInt(Played::held).sum())
                .put("seconds", seconds)
                .put("rate", rate)
                .put("trickle", trickle)
                .put("cores", Runtime.getRuntime().availableProcessors());
        ArrayNode by = json.putArray("by_cores");
        for (int i = 0; i < CORES.length; i++) {
            int kind = i;
            double[] good = done.stream()
                    .filter(one -> one.place % CORES.length == kind)
                    .mapToDouble(Played::good)
                    .sorted()
                    .toArray();
            if (good.length > 0) {
                by.addObject()
                        .put("core", CORES[i])
                        .put("plays", good.length)
                        .put("smallest", round(good[0]))
                        .put("middle", round(good[good.length / 2]));
            }
        }
        System.out.println(json);
        System.exit(json.path("held").asInt() == 0 ? 0 : 1);
    }

    private static double round(double value) {
        return Math.round(value * 1_000) / 1_000.0;
    }

    private static Played play(int place, int core, double seconds, double rate, double trickle) throws Exception {
        Path folder = Files.createTempDirectory("held");
        MultiThreadIoEventLoopGroup loops =
                new MultiThreadIoEventLoopGroup(2, new DefaultThreadFactory("play", true), NioIoHandler.newFactory());
        List<Process> processes = new ArrayList<>();
        try (ServerSocket unresponsive = new ServerSocket(0, 64, InetAddress.getLoopbackAddress())) {
            Map<String, Flow> flows = new ConcurrentHashMap<>();
            Upstreams upstreams = new Upstreams((EventLoop) loops.next(), SERVERS, flows, place);
            InetSocketAddress address = free();
            Path config = Files.writeString(
                    folder.resolve("node.json"), config(address, unresponsive, upstreams.addresses(), place));
            for (int i = 0; i < NEIGHBOURS[place % NEIGHBOURS.length]; i++) {
                processes.add(
                        new ProcessBuilder("taskset", "-c", Integer.toString(core), "sh", "-c", "while :; do :; done")
                                .start());
            }
            processes.add(balancer(folder, config, core));
            awaitHealth(address, processes.get(processes.size() - 1));
            Day day = new Day((EventLoop) loops.next(), address, rate, trickle, flows, 1_000L + place);
            TimeUnit.MILLISECONDS.sleep((long) (seconds * 1_000));
            List<Flow> all = day.stop(TIMEOUT_MS);
            Map<End, Integer> ends = new EnumMap<>(End.class);
            all.forEach(flow -> ends.merge(flow.end, 1, Integer::sum));
            int atOnce = (int) all.stream()
                    .filter(flow -> flow.end == End.REFUSED && flow.tookMillis < AT_ONCE_MS)
                    .count();
            return new Played(
                    place,
                    all.size(),
                    ends,
                    atOnce,
                    all.stream().mapToInt(flow -> flow.held).sum(),
                    dumps(folder));
        } finally {
            processes.forEach(Process::destroyForcibly);
            for (Process one : processes) {
                one.waitFor();
            }
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
            keepOrDelete(folder);
        }
    }

    private static InetSocketAddress free() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        }
    }

    private static Process balancer(Path folder, Path config, int core) throws IOException {
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("deploy/balancer.toml has no run line of the form that is expected");
        }
        List<String> command = new ArrayList<>(List.of("taskset", "-c", Integer.toString(core)));
        command.addAll(List.of(run.group(1).split(" ")));
        command.add("-Dsablehinge.flight=" + folder.resolve("flight"));
        command.addAll(List.of("-jar", run.group(2), "serve"));
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("log").toFile());
        builder.environment().put("PROXY_CONFIG", config.toString());
        return builder.start();
    }

    private static void awaitHealth(InetSocketAddress address, Process process) throws IOException {
        while (true) {
            try {
                new Socket(address.getAddress(), address.getPort()).close();
                return;
            } catch (IOException e) {
                if (!process.isAlive()) {
                    throw new IOException("the balancer has ended", e);
                }
                LockSupport.parkNanos(5_000_000);
            }
        }
    }

    /** The kinds of alarms that were dumped. */
    private static List<String> dumps(Path folder) throws IOException {
        List<String> names = new ArrayList<>();
        Path flight = folder.resolve("flight");
        if (Files.isDirectory(flight)) {
            try (DirectoryStream<Path> files = Files.newDirectoryStream(flight)) {
                files.forEach(file -> names.add(file.getFileName().toString().replaceAll("^\\d+-|\\.flight$", "")));
            }
        }
        return names;
    }

    /** What was dumped stays, for who wants to know why. */
    private static void keepOrDelete(Path folder) throws IOException {
        if (!dumps(folder).isEmpty()) {
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }

    private static String config(
            InetSocketAddress address, ServerSocket discovery, List<InetSocketAddress> servers, int seed) {
        StringBuilder known = new StringBuilder();
        for (int i = 0; i < servers.size(); i++) {
            known.append(i == 0 ? "" : ",")
                    .append(
                            """
                    {"id":"s-%d","addr":"127.0.0.1:%d","zone":"a","kind":"m","cell":%d,"state":"up",
                     "weight":1.0,"started_ms":0}"""
                                    .formatted(i, servers.get(i).getPort(), i));
        }
        return """
                {"name":"n0","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"%x",
                 "limits":{"sockets":1024},"known":{"version":1,"full":true,"servers":[%s]},
                 "settings":{"position":0,"siblings":1,"tier":0,"stages":["front"],"zone":0,
                 "zones":["a"],"machineTypes":["m"],"registryMode":"subscribe",
                 "familyInfo":{"passesDeadline":true},"callers":{"marksRetry":false},
                 "worthBy":"request","overShareWorth":1,"weightKind":"silent",
                 "stats":{"how":"silent","fields":[]},"tenants":[],"services":[
                 {"name":"tile","aim":800,"deadline":2000,"worth":1,"lateValue":0.5,
                  "idempotency":"idempotent","streamed":false},
                 {"name":"order","aim":800,"deadline":2000,"worth":1,"lateValue":0.5,
                  "idempotency":"at_most_once","streamed":false}],
                 "limits":{"attemptsCap":4,"maxOpen":1000,"cancel":true,"parallelTries":false,
                 "probes":false,"peers":false,"retryAfter":true,"maxRetryAfter":2000,
                 "connectTimeout":100,"connIdle":30000,"streamsPerConn":1},
                 "rules":{"graceToAnswer":20,"drainGrace":2000,"askEvery":2000,
                 "startCapacity":0.2,"warmUp":20000,"fallMultiple":3,"tipAfter":1500},
                 "goal":{"whole":1,"worstWindow":0,"worstClass":0,"worstTenant":0},
                 "prices":{"crossZone":0,"probe":0,"waste":0,"lateFail":0,"connection":0,
                 "handshake":0,"peer":0,"registryMode":0}}}
                """
                .formatted(address.getPort(), discovery.getLocalPort(), 31 + seed, known);
    }
}

package sablehinge.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import sablehinge.testing.OperatorStage;
import sablehinge.testing.StandIn.Plan;
import sablehinge.testing.StandIn.Seen;

/**
 * Changes under load. The packed program runs in a process of its own between callers at 1,700 requests a second and
 * stand-in servers. Versions that follow each other share no server and differ in their deadlines, so that what reaches
 * the servers shows which version each attempt belongs to; callers say which one answered. Half of the changes are bad
 * in one of six ways.
 */
final class ConfigBench {

    private static final double RATE = 1_700;
    private static final String[] BAD = {
        "port taken", "no server reached", "servers fail", "not confirmed", "rolled back", "file refused"
    };

    private final SplittableRandom random;
    private final OperatorStage stage = new OperatorStage(5);
    private final Map<Integer, Set<Integer>> servers = new HashMap<>();
    private final Map<Integer, Double> deadlines = new HashMap<>();
    private final Map<String, int[]> outcomes = new java.util.TreeMap<>();
    private final List<Double> applies = new ArrayList<>();
    private final List<Double> undos = new ArrayList<>();
    private final Map<Integer, Long> undoneAt = new HashMap<>();
    private UnixDomainSocketAddress admin;
    private int port;
    private int deadline = 2_000;

    private ConfigBench(long seed) throws Exception {
        random = new SplittableRandom(seed);
    }

    /** Arguments: how many changes (200), seconds of quiet before (20), the seed (1). */
    public static void main(String[] args) throws Exception {
        int changes = args.length > 0 ? Integer.parseInt(args[0]) : 200;
        int quiet = args.length > 1 ? Integer.parseInt(args[1]) : 20;
        long seed = args.length > 2 ? Long.parseLong(args[2]) : 1;
        new ConfigBench(seed).run(changes, quiet, seed);
        System.exit(0);
    }

    private String text(String more, int... places) {
        // Another deadline for each version, so that the time an attempt may take tells them apart.
        deadline = 2_000 + (deadline - 2_000 + 10) % 4_000;
        return stage.text("127.0.0.1:" + port, more, places)
                .replace("deadline = \"10s\"", "deadline = \"" + deadline + "ms\"");
    }

    private JsonNode ask(String method, String target, String body) throws Exception {
        return OperatorStage.admin(admin, null, method, target, body);
    }

    private void run(int changes, int quiet, long seed) throws Exception {
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        SplittableRandom faults = random.split();
        for (int i = 0; i < 5; i++) {
            boolean fails = i == 4;
            stage.servers.get(i).plan = seen -> {
                synchronized (faults) {
                    // One in a hundred fails, so that there are retries to be mixed up.
                    return new Plan(fails || faults.nextInt(100) == 0 ? 500 : 200, 2 + faults.nextInt(8));
                }
            };
        }
        Files.writeString(stage.file, text("", 0, 1));
        servers.put(1, Set.of(0, 1));
        deadlines.put(1, (double) deadline);
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-Xmx256m",
                        "-jar",
                        "target/sablehinge.jar",
                        "serve",
                        "--operator",
                        stage.file.toString())
                .redirectErrorStream(true)
                .redirectOutput(Path.of("target/bench-config.log").toFile())
                .start();
        try (ServerSocket taken = new ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
            admin = UnixDomainSocketAddress.of(stage.folder.resolve("sablehinge-state/admin.sock"));
            awaitStart(process);
            Callers warm = new Callers(new InetSocketAddress("127.0.0.1", port), RATE);
            TimeUnit.SECONDS.sleep(10);
            List<Callers.One> warmed = warm.stop(12_000);
            Callers calm = new Callers(new InetSocketAddress("127.0.0.1", port), RATE);
            TimeUnit.SECONDS.sleep(quiet);
            List<Callers.One> before = calm.stop(12_000);
            stage.servers.forEach(server -> server.seen.clear());
            Callers busy = new Callers(new InetSocketAddress("127.0.0.1", port), RATE);
            long begun = System.nanoTime();
            TimeUnit.SECONDS.sleep(2);
            int good = 0;
            for (int i = 0; i < changes; i++) {
                // Every second one is bad, so that both kinds follow both.
                if (i % 2 == 0) {
                    change(good++, "good", taken.getLocalPort());
                } else {
                    change(good, BAD[(i / 2) % BAD.length], taken.getLocalPort());
                }
            }
            TimeUnit.SECONDS.sleep(1);
            List<Callers.One> during = busy.stop(12_000);
            double seconds = (System.nanoTime() - begun) / 1e9;
            JsonNode status = ask("GET", "/config/status", "");
            report(before, during, seconds, changes, seed, warmed.size(), status);
        } finally {
            process.destroy();
            process.waitFor(20, TimeUnit.SECONDS);
            process.destroyForcibly();
            stage.close();
        }
    }

    private void awaitStart(Process process) throws Exception {
        while (true) {
            try {
                if (ask("GET", "/config/status", "").path("current").asInt() == 1) {
                    return;
                }
            } catch (java.io.IOException e) {
                if (!process.isAlive()) {
                    throw new IllegalStateException("the program ended; see target/bench-config.log", e);
                }
                TimeUnit.MILLISECONDS.sleep(20);
            }
        }
    }

    private void change(int good, String kind, int taken) throws Exception {
        int[] places = good % 2 == 0 ? new int[] {2, 3} : new int[] {0, 1};
        String guard = "[change]\nleast-count = 50\nready-within = \"200ms\"\n";
        String text =
                switch (kind) {
                    case "port taken" -> text(guard, places).replace(":" + port + "\"", ":" + taken + "\"");
                    case "no server reached" ->
                        text(guard, places).replaceAll("(address = \"127.0.0.1:)(?!" + port + "\")[0-9]+", "$1" + 1);
                    case "servers fail" -> text(guard, 4);
                    case "file refused" -> text(guard, places) + "[limitz]\n";
                    default -> text(guard, places);
                };
        if (kind.equals("no server reached")) {
            text = text.replaceFirst(
                    "address = \"127.0.0.1:1\"\ncell = " + places[1], "address = \"127.0.0.1:2\"\ncell = " + places[1]);
        }
        int[] count = outcomes.computeIfAbsent(kind, name -> new int[3]);
        count[0]++;
        JsonNode staged = ask("POST", "/config/stage", text);
        if (staged.path("status").asInt() != 200) {
            count[2]++;
            if (!kind.equals("file refused")) {
                throw new IllegalStateException(kind + ": " + staged);
            }
            return;
        }
        int version = staged.path("version").asInt();
        Set<Integer> own = new HashSet<>();
        for (int place : kind.equals("servers fail") ? new int[] {4} : places) {
            own.add(place);
        }
        servers.put(version, own);
        deadlines.put(version, (double) deadline);
        long begun = System.nanoTime();
        JsonNode applied = ask(
                "POST",
                "/config/apply?version=" + version + (kind.equals("not confirmed") ? "&confirm_within_ms=250" : ""),
                "");
        double took = (System.nanoTime() - begun) / 1e6;
        boolean onTrial = applied.path("status").asInt() == 200;
        if (onTrial) {
            applies.add(took);
        }
        if (kind.equals("good")) {
            if (!onTrial || ask("POST", "/config/confirm", "").path("status").asInt() != 200) {
                throw new IllegalStateException("a good change failed: " + applied + ask("GET", "/config/status", ""));
            }
            count[1]++;
            return;
        }
        TimeUnit.MILLISECONDS.sleep(50);
        if (kind.equals("rolled back")) {
            ask("POST", "/config/rollback", "");
        }
        JsonNode status = ask("GET", "/config/status", "");
        for (int i = 0;
                i < 2_000 && !status.path("change").path("phase").asText().equals("none");
                i++) {
            TimeUnit.MILLISECONDS.sleep(5);
            status = ask("GET", "/config/status", "");
        }
        JsonNode last = status.path("past").get(status.path("past").size() - 1);
        if (last.path("version").asInt() != version
                || !last.path("outcome").asText().equals("undone")) {
            throw new IllegalStateException(kind + " was not undone: " + last);
        }
        count[2]++;
        undos.add(status.path("last_undo_ms").asDouble());
        undoneAt.put(version, last.path("at_ms").asLong());
    }

    private static double quantile(List<Double> values, double share) {
        double[] sorted =
                values.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        return sorted.length == 0 ? 0 : sorted[(int) Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1)];
    }

    private static double p99(List<Callers.One> all) {
        return quantile(
                all.stream()
                        .filter(one -> one.status != 0)
                        .map(Callers.One::latencyMillis)
                        .toList(),
                0.99);
    }

    private static double round(double value) {
        return Math.round(value * 1_000) / 1_000.0;
    }

    private void report(
            List<Callers.One> before,
            List<Callers.One> during,
            double seconds,
            int changes,
            long seed,
            int warmed,
            JsonNode status) {
        Map<String, List<int[]>> seen = new HashMap<>();
        Map<String, Double> longest = new HashMap<>();
        for (int place = 0; place < stage.servers.size(); place++) {
            for (Seen one : stage.servers.get(place).seen) {
                seen.computeIfAbsent(one.txn(), txn -> new ArrayList<>()).add(new int[] {place});
                longest.merge(one.txn(), one.remaining(), Math::max);
            }
        }
        long mixed = 0;
        long lost = 0;
        long twice = 0;
        long retried = 0;
        Map<Integer, Long> lastSent = new HashMap<>();
        Map<Integer, Integer> statuses = new java.util.TreeMap<>();
        for (Callers.One one : during) {
            statuses.merge(one.status, 1, Integer::sum);
            List<int[]> attempts = seen.getOrDefault(one.txn(), List.of());
            lost += one.status == 0 ? 1 : 0;
            twice += one.unsafe && attempts.size() > 1 ? 1 : 0;
            retried += attempts.size() > 1 ? 1 : 0;
            if (one.status == 0) {
                continue;
            }
            Set<Integer> own = servers.getOrDefault(one.version, Set.of());
            boolean foreign = attempts.stream().anyMatch(place -> !own.contains(place[0]));
            // Within the deadline of its version, and longer than any one that is shorter by a step would
            // allow
            // where it arrived at once: the first attempt leaves within 10 ms of a request's arrival.
            boolean otherTime = longest.getOrDefault(one.txn(), 0.0) * 1_000 > deadlines.getOrDefault(one.version, 0.0);
            mixed += foreign || otherTime || one.version == 0 ? 1 : 0;
            lastSent.merge(one.version, one.sentWallMillis, Math::max);
        }
        // From outside: how long after its undoing a version still took requests; from inside: what it took.
        List<Double> undoTimes = new ArrayList<>();
        int index = 0;
        for (Map.Entry<Integer, Long> undone : new java.util.TreeMap<>(undoneAt).entrySet()) {
            double outside =
                    lastSent.containsKey(undone.getKey()) ? lastSent.get(undone.getKey()) - undone.getValue() : 0;
            undoTimes.add(Math.max(outside, undos.get(index++)));
        }
        System.out.printf("%-18s %8s %10s %8s%n", "change", "applied", "confirmed", "refused or undone");
        outcomes.forEach(
                (kind, count) -> System.out.printf("%-18s %8d %10d %8d%n", kind, count[0], count[1], count[2]));
        System.out.printf(
                "%d requests in %.1f s, statuses %s, %d sent more than once%n",
                during.size(), seconds, statuses, retried);
        ObjectNode json = new JsonMapper().createObjectNode();
        json.put("requests", during.size())
                .put("mixed", mixed)
                .put("lost", lost)
                .put("twice", twice)
                .put("retried", retried)
                .put("changes", changes)
                .put("undo_p99_ms", round(quantile(undoTimes, 0.99)))
                .put("undo_max_ms", round(quantile(undoTimes, 1)))
                .put("apply_p99_ms", round(quantile(applies, 0.99)))
                .put("rps", round(during.size() / seconds))
                .put("latency_p99_ms_quiet", round(p99(before)))
                .put("latency_p99_ms_applying", round(p99(during)))
                .put("versions_left", status.path("versions_at_work").asInt())
                .put("warm_up_requests", warmed)
                .put("cores", Runtime.getRuntime().availableProcessors())
                .put("seed", seed);
        System.out.println(json.toString().toLowerCase(Locale.ROOT));
    }
}

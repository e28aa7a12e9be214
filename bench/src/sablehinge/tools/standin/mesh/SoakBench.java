package sablehinge.tools.standin.mesh;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;

/**
 * {@code bench/run soak}: meshes of real processes under series of signals, restarts and changes that overlap, with
 * clients that use their connections until the process is gone. The same seed gives the same schedule. Ends with 1 if a
 * rule was broken or a run could not be played, with 3 if the machine was too busy to judge a run and nothing else was
 * found.
 */
final class SoakBench {

    private static final int FEW = 11;
    private static final int MANY = 80;
    /** Each so-many-th seed has many processes. */
    private static final int MANY_EACH = 10;

    private static final int BROKEN = 1;
    private static final int USAGE = 2;
    private static final int BUSY = 3;

    private int seeds = 5;
    private long first = 1;
    private int seconds = 20;
    /** As many for each run; 0 for those that the seed has. */
    private int processes;

    private Path logs;
    private Path program;

    private SoakBench() {}

    /** Arguments: see {@code usage}. */
    public static void main(String[] args) throws Exception {
        SoakBench bench = new SoakBench();
        try {
            bench.read(args);
        } catch (IllegalArgumentException e) {
            System.err.println("soak: " + e.getMessage() + "\nusage: soak [--seeds N] [--first SEED] [--seconds S] "
                    + "[--processes P] [--logs FOLDER] [--program JAR]");
            System.exit(USAGE);
        }
        System.exit(bench.run());
    }

    private void read(String[] args) {
        if (args.length % 2 != 0) {
            throw new IllegalArgumentException("a value is missing");
        }
        for (int i = 0; i < args.length; i += 2) {
            String value = args[i + 1];
            switch (args[i]) {
                case "--seeds" -> seeds = Integer.parseInt(value);
                case "--first" -> first = Long.parseLong(value);
                case "--seconds" -> seconds = Integer.parseInt(value);
                case "--processes" -> processes = Integer.parseInt(value);
                case "--logs" -> logs = Path.of(value);
                case "--program" -> program = Path.of(value);
                default -> throw new IllegalArgumentException("unknown: " + args[i]);
            }
        }
    }

    private int run() throws IOException, InterruptedException {
        SmallMesh.Commands commands = program == null ? DeployCommands.ofBuild() : DeployCommands.of(program);
        System.out.printf(
                Locale.ROOT,
                "%6s %9s %7s %8s %7s %7s %7s %8s  %s%n",
                "seed",
                "processes",
                "work ms",
                "requests",
                "served",
                "signals",
                "changes",
                "stall ms",
                "found");
        ObjectNode json = JsonNodeFactory.instance.objectNode().put("seeds", seeds);
        ArrayNode found = JsonNodeFactory.instance.arrayNode();
        int[] sums = new int[4];
        int busy = 0;
        int failed = 0;
        int most = 0;
        for (long seed = first; seed < first + seeds; seed++) {
            int count = processes > 0 ? processes : seed % MANY_EACH == 0 ? MANY : FEW;
            SoakRun.Result result = SoakRun.play(SoakSchedule.draw(seed, seconds, count), commands, logs);
            print(result);
            result.findings().forEach(one -> add(found, result, one));
            sums[0] += result.requests();
            sums[1] += result.served();
            sums[2] += result.signals();
            sums[3] += result.changes();
            busy += result.isBusy() ? 1 : 0;
            failed += result.failure() == null ? 0 : 1;
            most = Math.max(most, result.processes());
        }
        json.put("requests", sums[0])
                .put("served", sums[1])
                .put("signals", sums[2])
                .put("changes", sums[3]);
        json.put("processes", most)
                .put("broken", found.size())
                .put("failed", failed)
                .put("busy", busy);
        json.set("findings", found);
        System.out.println(json);
        return found.size() + failed > 0 ? BROKEN : busy > 0 ? BUSY : 0;
    }

    private static void print(SoakRun.Result result) {
        String found = result.failure() != null
                ? "not played: " + result.failure()
                : result.findings().size() + (result.isBusy() ? ", the machine was too busy" : "");
        System.out.printf(
                Locale.ROOT,
                "%6d %9d %7d %8d %7d %7d %7d %8.0f  %s%n",
                result.seed(),
                result.processes(),
                result.workMs(),
                result.requests(),
                result.served(),
                result.signals(),
                result.changes(),
                result.longestStallMs(),
                found);
        result.findings()
                .forEach(one -> System.out.printf(
                        Locale.ROOT,
                        "    %s machine %d at %.3f ms: %s%n",
                        one.rule(),
                        one.machine(),
                        one.at(),
                        one.words()));
    }

    private void add(ArrayNode found, SoakRun.Result result, SoakFinding one) {
        found.addObject()
                .put("seed", result.seed())
                .put("rule", one.rule())
                .put("at_ms", one.at())
                .put("words", one.words())
                .put(
                        "logs",
                        logs == null
                                ? ""
                                : logs.resolve("seed-" + result.seed()).toString());
    }
}

package sablehinge.tools.standin.mesh;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import sablehinge.torture.Mutant;

/**
 * {@code bench/run soak}: meshes of real processes under series of signals, restarts and changes that overlap, with
 * clients that use their connections until the process is gone. The same seed gives the same schedule. Ends with 1 if a
 * rule was broken or a run could not be played, with 3 if the machine was too busy to judge a run and nothing else was
 * found.
 */
final class SoakBench {

    private static final String PROGRAM = "target/sablehinge.jar";
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
    /** Whether upstreams also sign off first, and end responses with their connection. */
    private boolean signOffs;
    /** Whether balancers with a fault are played, in place of the sound ones. */
    private boolean faults;

    private SoakBench() {}

    /** Arguments: see {@code usage}. */
    public static void main(String[] args) throws Exception {
        SoakBench bench = new SoakBench();
        try {
            bench.read(args);
        } catch (IllegalArgumentException e) {
            System.err.println("soak: " + e.getMessage() + "\nusage: soak [--seeds N] [--first SEED] [--seconds S] "
                    + "[--processes P] [--logs FOLDER] [--program JAR] [--faults true] [--sign-offs true]");
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
                case "--faults" -> faults = Boolean.parseBoolean(value);
                case "--sign-offs" -> signOffs = Boolean.parseBoolean(value);
                case "--program" -> program = Path.of(value);
                default -> throw new IllegalArgumentException("unknown: " + args[i]);
            }
        }
    }

    private int run() throws IOException, InterruptedException {
        SmallMesh.Commands commands = program == null ? DeployCommands.ofBuild() : DeployCommands.of(program);
        printHead();
        if (faults) {
            return runFaults(commands);
        }
        SoakTotals totals = new SoakTotals(logs);
        for (long seed = first; seed < first + seeds; seed++) {
            int count = processes > 0 ? processes : seed % MANY_EACH == 0 ? MANY : FEW;
            SoakRun.Result result = SoakRun.play(schedule(seed, count), commands, logs);
            print(result);
            totals.add(result);
        }
        System.out.println(totals.json());
        return totals.isBroken() ? BROKEN : totals.wasBusy() ? BUSY : 0;
    }

    private SoakSchedule schedule(long seed, int count) {
        SoakSchedule schedule = SoakSchedule.draw(seed, seconds, count);
        return signOffs ? schedule.withSignOffs(seconds) : schedule;
    }

    /** Plays the first seed with each fault; fails if one is not found. */
    private int runFaults(SmallMesh.Commands sound) throws IOException, InterruptedException {
        int found = 0;
        SoakSchedule schedule = schedule(first, processes > 0 ? processes : FEW);
        for (Mutant fault : FaultyCommands.FAULTS) {
            try (FaultyCommands commands = new FaultyCommands(sound, PROGRAM, fault)) {
                SoakRun.Result result = SoakRun.play(schedule, commands, logs);
                Map<String, Long> rules = result.findings().stream()
                        .collect(Collectors.groupingBy(SoakFinding::rule, TreeMap::new, Collectors.counting()));
                found += rules.isEmpty() ? 0 : 1;
                System.out.printf(
                        Locale.ROOT, "%-64s %s%n", fault.name(), rules.isEmpty() ? "NOT FOUND" : rules.toString());
            }
        }
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("seed", first).put("faults", FaultyCommands.FAULTS.size()).put("faults_found", found);
        System.out.println(json);
        return found == FaultyCommands.FAULTS.size() ? 0 : BROKEN;
    }

    private static void printHead() {
        System.out.printf(
                Locale.ROOT,
                "%6s %9s %7s %8s %7s %7s %7s %7s %7s %8s %8s  %s%n",
                "seed",
                "processes",
                "work ms",
                "requests",
                "served",
                "signals",
                "changes",
                "endings",
                "excused",
                "stall ms",
                "heard ms",
                "found");
    }

    private static void print(SoakRun.Result result) {
        String found = result.failure() != null
                ? "not played: " + result.failure()
                : result.findings().size() + (result.isBusy() ? ", the machine was too busy" : "");
        System.out.printf(
                Locale.ROOT,
                "%6d %9d %7d %8d %7d %7d %7d %7d %7d %8.0f %8.0f  %s%n",
                result.seed(),
                result.processes(),
                result.workMs(),
                result.requests(),
                result.served(),
                result.signals(),
                result.changes(),
                result.report().endings(),
                result.report().excused().values().stream()
                        .mapToInt(Integer::intValue)
                        .sum(),
                result.longestStallMs(),
                result.report().heardAfterMs(),
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
}

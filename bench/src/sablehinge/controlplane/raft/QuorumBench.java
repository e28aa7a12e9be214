package sablehinge.controlplane.raft;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ForkJoinPool;
import sablehinge.torture.MutantLoader;

/**
 * Plays the agreement of the core and the agreed state through schedules by chance and through all orders of a few
 * steps, and shows that faults put into copies of the real classes are found. What breaks is cut down to a short
 * script, which {@code --play FILE} plays again.
 */
public final class QuorumBench {

    private static final int USUAL = 510_000;
    private static final int USUAL_DEPTH = 4;
    /** Steps of which every order is played for a fault that is not found by chance. */
    private static final int HUNTED_DEPTH = 3;

    private static final int MAX_THREADS = 4;
    private static final int SHOWN = 3;
    /** Schedules by chance that a fault is looked for in, before all orders. */
    private static final int MAX_HUNTED = 20_000;

    private static final double NANOS_PER_S = 1e9;

    private QuorumBench() {}

    /**
     * Arguments: how many schedules by chance, how many steps of which every order is played, and a part of the names
     * of the faults that are put in; or {@code --play} and a file.
     */
    public static void main(String[] arguments) throws Exception {
        if (arguments.length > 0 && arguments[0].equals("--play")) {
            play(arguments);
            return;
        }
        int most = arguments.length > 0 ? Integer.parseInt(arguments[0]) : USUAL;
        int depth = arguments.length > 1 ? Integer.parseInt(arguments[1]) : USUAL_DEPTH;
        List<Fault> faults = Faults.ALL.stream()
                .filter(fault -> arguments.length < 3 || fault.name().contains(arguments[2]))
                .toList();
        int threads = Math.min(MAX_THREADS, Runtime.getRuntime().availableProcessors());
        // What is parallel inside of it runs on its threads.
        boolean good = new ForkJoinPool(threads)
                .submit(() -> measure(most, depth, faults, threads))
                .get();
        System.exit(good ? 0 : 1);
    }

    private static void play(String[] arguments) throws IOException {
        if (arguments.length != 2) {
            throw new IllegalArgumentException("expected --play and one file");
        }
        Script script;
        try {
            script = Script.parse(Files.readAllLines(Path.of(arguments[1])));
        } catch (IllegalArgumentException e) {
            System.err.println(arguments[1] + ": " + e.getMessage());
            System.exit(2);
            return;
        }
        System.out.print(script.describe());
        System.exit(script.breach() == null ? 0 : 1);
    }

    private static boolean measure(int most, int depth, List<Fault> faults, int threads) throws Exception {
        long begun = System.nanoTime();
        ScheduleTotals byChance = new ScheduleTotals();
        List<Script> broken = new ArrayList<>(Hunt.byChance(1, most, SHOWN, byChance));
        double chanceTook = seconds(begun);
        long orderBegun = System.nanoTime();
        ScheduleTotals inOrder = new ScheduleTotals();
        if (depth > 0) {
            broken.addAll(EveryOrder.all(depth, inOrder));
        }
        System.out.printf(
                "%-10s %10s %12s %10s %12s %10s %10s %8s%n",
                "schedules", "", "events", "leaders", "committed", "promised", "members", "seconds");
        print("by chance", byChance, chanceTook);
        print("in order", inOrder, seconds(orderBegun));
        long stuck = broken.stream()
                .filter(script -> script.breach().contains(Calm.LIVENESS))
                .count();
        for (Script script : broken) {
            System.out.printf(
                    "%nBROKEN, cut down from %d steps:%n%s",
                    script.steps().size(), script.shortened().describe());
        }
        int found = hunt(faults, Math.min(most, MAX_HUNTED), Math.min(depth, HUNTED_DEPTH));
        ObjectNode json = JsonMapper.builder().build().createObjectNode();
        json.put("schedules", byChance.schedules.sum() + inOrder.schedules.sum());
        json.put("violations", broken.size() - stuck);
        json.put("liveness_violations", stuck);
        json.put("mutants", faults.size());
        json.put("mutants_found", found);
        json.put("beyond", byChance.beyond.sum());
        json.put("in_order", inOrder.schedules.sum());
        json.put("events", byChance.steps.sum() + inOrder.steps.sum());
        json.put("seconds", Math.round(seconds(begun) * 10) / 10.0);
        json.put("threads", threads);
        System.out.println(json);
        return broken.isEmpty() && found == faults.size();
    }

    /** Looks for each of the faults and tells how it was found; how many were. */
    private static int hunt(List<Fault> faults, int most, int depth) throws Exception {
        System.out.printf(
                "%n%-58s %-10s %8s %6s %-12s %s%n", "fault put in", "point", "seconds", "steps", "found by", "");
        int found = 0;
        for (Fault fault : faults) {
            long from = System.nanoTime();
            String[] how = (String[]) MutantLoader.of(fault.mutant(), Path.of("src/main/java"))
                    .loadClass(Hunt.class.getName())
                    .getMethod("hunt", String.class, int.class, int.class)
                    .invoke(null, fault.point().focus().name(), most, depth);
            found += how == null ? 0 : 1;
            System.out.printf(
                    Locale.ROOT,
                    "%-58s %-10s %8.1f %6s %-12s %s%n",
                    fault.name(),
                    fault.point(),
                    seconds(from),
                    how == null ? "" : how[2],
                    how == null ? "NOT FOUND" : how[3],
                    how == null ? "" : how[1].replaceFirst("^seed \\d+, [0-9.]+ ms[,:] ", ""));
            if (faults.size() == 1 && how != null) {
                System.out.println(how[0]);
            }
        }
        return found;
    }

    private static void print(String name, ScheduleTotals totals, double seconds) {
        System.out.printf(
                Locale.ROOT,
                "%-10s %10d %12d %10d %12d %10d %10d %8.1f%n",
                name,
                totals.schedules.sum(),
                totals.steps.sum(),
                totals.timing.sum(),
                totals.committed.sum(),
                totals.acknowledged.sum(),
                totals.changes.sum(),
                seconds);
    }

    private static double seconds(long since) {
        return (System.nanoTime() - since) / NANOS_PER_S;
    }
}

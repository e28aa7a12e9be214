package sablehinge.dataplane.budget;

import java.util.Locale;

/**
 * Run by {@code bench/run chain}: value kept and attempts made at the last tier, with budgets and without, over the
 * same drawn chains of three tiers in virtual time. Its figures don't depend on the machine.
 */
public final class ChainBench {

    private static final int SEEDS = 20;
    private static final int REQUESTS = 5_000;

    private ChainBench() {}

    private record Sums(double kept, double mean, int most, int dead) {}

    private static Sums play(boolean budgets, double load, double slow, double errors) {
        double kept = 0;
        double mean = 0;
        int most = 0;
        int dead = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            Chain chain = new Chain(new Chain.Plan(seed, 3, 2, budgets, load, slow, errors, 0.01, 0, REQUESTS)).play();
            kept += chain.kept() / SEEDS;
            mean += chain.meanLeaves() / SEEDS;
            most = Math.max(most, chain.mostLeaves());
            dead += chain.deadSent;
        }
        return new Sums(kept, mean, most, dead);
    }

    public static void main(String[] arguments) {
        Locale.setDefault(Locale.ROOT);
        Object[][] cases = {
            {"usual", 0.6, 1.0, 0.01},
            {"slow x1.3", 0.6, 1.3, 0.01},
            {"slow x2", 0.6, 2.0, 0.01},
            {"slow x3", 0.6, 3.0, 0.01},
            {"load x2.5", 1.5, 1.0, 0.01},
            {"errors 0.5", 0.3, 1.0, 0.5},
            {"errors 0.9", 0.3, 1.0, 0.9}
        };
        StringBuilder json =
                new StringBuilder("{\"bound\":" + Chain.BOUND + ",\"requests\":" + SEEDS * REQUESTS * cases.length * 2);
        System.out.printf(
                "%-11s %14s %14s %14s %14s%n", "case", "kept without", "kept with", "attempts w/o", "attempts with");
        for (Object[] one : cases) {
            Sums without = play(false, (double) one[1], (double) one[2], (double) one[3]);
            Sums with = play(true, (double) one[1], (double) one[2], (double) one[3]);
            System.out.printf(
                    "%-11s %14.3f %14.3f %8.2f to %2d %8.2f to %2d%n",
                    one[0], without.kept(), with.kept(), without.mean(), without.most(), with.mean(), with.most());
            json.append(String.format(
                    ",\"%s\":{\"worth_kept_without\":%.4f,\"worth_kept_with\":%.4f,"
                            + "\"amplification_without\":%.3f,\"amplification_with\":%.3f,\"attempts_max\":%d,"
                            + "\"dead_sent\":%d}",
                    one[0], without.kept(), with.kept(), without.mean(), with.mean(), with.most(), with.dead()));
        }
        System.out.println(json.append('}'));
    }
}

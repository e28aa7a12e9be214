package sablehinge.dataplane.budget;

import java.util.Locale;

/**
 * Run by {@code bench/run chain}. Compares the value served in time and the attempts at the last tier with and without
 * budgets, over the same random chains of three tiers in virtual time. The figures do not depend on the machine.
 */
public final class ChainBench {

    private static final int SEEDS = 20;
    private static final int REQUESTS = 5_000;

    private ChainBench() {}

    private record Totals(double keptValueShare, double meanAttempts, int maxAttempts, int sentAfterDeadline) {}

    private static Totals simulate(boolean budgets, double load, double slowFactor, double errorRate) {
        double keptValueShare = 0;
        double meanAttempts = 0;
        int maxAttempts = 0;
        int sentAfterDeadline = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            Chain chain = new Chain(new Chain.Plan(seed, 3, 2, budgets, load, slowFactor, errorRate, 0.01, 0, REQUESTS))
                    .run();
            keptValueShare += chain.keptValueShare() / SEEDS;
            meanAttempts += chain.meanLastTierAttempts() / SEEDS;
            maxAttempts = Math.max(maxAttempts, chain.maxLastTierAttempts());
            sentAfterDeadline += chain.sentAfterDeadline;
        }
        return new Totals(keptValueShare, meanAttempts, maxAttempts, sentAfterDeadline);
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
        for (Object[] parameters : cases) {
            Totals without = simulate(false, (double) parameters[1], (double) parameters[2], (double) parameters[3]);
            Totals with = simulate(true, (double) parameters[1], (double) parameters[2], (double) parameters[3]);
            System.out.printf(
                    "%-11s %14.3f %14.3f %8.2f to %2d %8.2f to %2d%n",
                    parameters[0],
                    without.keptValueShare(),
                    with.keptValueShare(),
                    without.meanAttempts(),
                    without.maxAttempts(),
                    with.meanAttempts(),
                    with.maxAttempts());
            json.append(String.format(
                    ",\"%s\":{\"worth_kept_without\":%.4f,\"worth_kept_with\":%.4f,"
                            + "\"amplification_without\":%.3f,\"amplification_with\":%.3f,\"attempts_max\":%d,"
                            + "\"dead_sent\":%d}",
                    parameters[0],
                    without.keptValueShare(),
                    with.keptValueShare(),
                    without.meanAttempts(),
                    with.meanAttempts(),
                    with.maxAttempts(),
                    with.sentAfterDeadline()));
        }
        System.out.println(json.append('}'));
    }
}

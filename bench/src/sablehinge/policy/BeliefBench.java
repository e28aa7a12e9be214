package sablehinge.policy;

import java.util.Locale;

/**
 * Run by {@code bench/run belief [SEEDS]}: measures in virtual time, over many seeds, whether the balancer continues to
 * refuse requests after an overload has ended. Compares a balancer that is notified of an answer only when it is
 * complete with one that is notified when it begins. The servers have a capacity of 800 requests per second and are 40
 * times slower for two seconds.
 */
public final class BeliefBench {

    private static final double SLOW_FROM_MS = 3_000;
    private static final double SLOW_TO_MS = 5_000;
    private static final double END_MS = 35_000;

    private BeliefBench() {}

    public static void main(String[] arguments) {
        Locale.setDefault(Locale.ROOT);
        int seeds = arguments.length > 0 ? Integer.parseInt(arguments[0]) : 40;
        System.out.printf(
                "%5s %10s %9s %-10s %9s %10s %10s %10s %9s%n",
                "rate", "long share", "up to ms", "told at", "0 to 3 s", "5 to 10 s", "20 to 35 s", "worst", "stuck");
        int[] stuck = new int[2];
        double[] worst = new double[2];
        int runs = 0;
        for (double rate : new double[] {5, 20, 100, 400}) {
            for (double[] body :
                    new double[][] {{0, 0}, {0.1, 1_000}, {0.1, 1_600}, {0.2, 1_600}, {0.3, 1_600}, {0.4, 1_600}}) {
                for (int reportsStart = 0; reportsStart < 2; reportsStart++) {
                    double[] sums = new double[3];
                    double maxLast = 0;
                    int stuckSeeds = 0;
                    for (long seed = 1; seed <= seeds; seed++) {
                        ServerSimulation simulation = new ServerSimulation(new ServerSimulation.Parameters(
                                        seed,
                                        rate,
                                        body[0],
                                        body[1],
                                        reportsStart == 1,
                                        40,
                                        SLOW_FROM_MS,
                                        SLOW_TO_MS,
                                        END_MS))
                                .run();
                        sums[0] += simulation.refusedShare(0, 3) / seeds;
                        sums[1] += simulation.refusedShare(5, 10) / seeds;
                        double last = simulation.refusedShare(20, 33);
                        sums[2] += last / seeds;
                        maxLast = Math.max(maxLast, last);
                        stuckSeeds += last > 0.1 ? 1 : 0;
                        runs++;
                    }
                    stuck[reportsStart] += stuckSeeds;
                    worst[reportsStart] = Math.max(worst[reportsStart], maxLast);
                    System.out.printf(
                            "%5.0f %10.2f %9.0f %-10s %9.3f %10.3f %10.3f %10.3f %5d/%d%n",
                            rate,
                            body[0],
                            body[1],
                            reportsStart == 1 ? "beginning" : "end",
                            sums[0],
                            sums[1],
                            sums[2],
                            maxLast,
                            stuckSeeds,
                            seeds);
                }
            }
        }
        System.out.printf(
                "{\"plays\":%d,\"stuck_told_at_end\":%d,\"stuck_told_at_beginning\":%d,"
                        + "\"worst_told_at_end\":%.4f,\"worst_told_at_beginning\":%.4f}%n",
                runs, stuck[0], stuck[1], worst[0], worst[1]);
    }
}

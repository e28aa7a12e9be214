package sablehinge.policy;

import java.util.Locale;

/**
 * Run by {@code bench/run belief [SEEDS]}: whether the module goes on refusing when what it refused for is over, from
 * many starts in virtual time: as it was, notified of an answer when it was complete, and as it is, notified when one
 * begins. Servers can do 800 requests a second; for two seconds they are 40 times slower.
 */
public final class BeliefBench {

    private static final double FROM = 3_000;
    private static final double TO = 5_000;
    private static final double END = 35_000;

    private BeliefBench() {}

    public static void main(String[] arguments) {
        Locale.setDefault(Locale.ROOT);
        int seeds = arguments.length > 0 ? Integer.parseInt(arguments[0]) : 40;
        System.out.printf(
                "%5s %10s %9s %-10s %9s %10s %10s %10s %9s%n",
                "rate", "long share", "up to ms", "told at", "0 to 3 s", "5 to 10 s", "20 to 35 s", "worst", "stuck");
        int[] stuck = new int[2];
        double[] worst = new double[2];
        int plays = 0;
        for (double rate : new double[] {5, 20, 100, 400}) {
            for (double[] body :
                    new double[][] {{0, 0}, {0.1, 1_000}, {0.1, 1_600}, {0.2, 1_600}, {0.3, 1_600}, {0.4, 1_600}}) {
                for (int announced = 0; announced < 2; announced++) {
                    double[] sums = new double[3];
                    double most = 0;
                    int here = 0;
                    for (long seed = 1; seed <= seeds; seed++) {
                        Plant plant = new Plant(
                                        new Plant.Plan(seed, rate, body[0], body[1], announced == 1, 40, FROM, TO, END))
                                .play();
                        sums[0] += plant.refusedShare(0, 3) / seeds;
                        sums[1] += plant.refusedShare(5, 10) / seeds;
                        double last = plant.refusedShare(20, 33);
                        sums[2] += last / seeds;
                        most = Math.max(most, last);
                        here += last > 0.1 ? 1 : 0;
                        plays++;
                    }
                    stuck[announced] += here;
                    worst[announced] = Math.max(worst[announced], most);
                    System.out.printf(
                            "%5.0f %10.2f %9.0f %-10s %9.3f %10.3f %10.3f %10.3f %5d/%d%n",
                            rate,
                            body[0],
                            body[1],
                            announced == 1 ? "beginning" : "end",
                            sums[0],
                            sums[1],
                            sums[2],
                            most,
                            here,
                            seeds);
                }
            }
        }
        System.out.printf(
                "{\"plays\":%d,\"stuck_told_at_end\":%d,\"stuck_told_at_beginning\":%d,"
                        + "\"worst_told_at_end\":%.4f,\"worst_told_at_beginning\":%.4f}%n",
                plays, stuck[0], stuck[1], worst[0], worst[1]);
    }
}

package sablehinge.controlplane.raft;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.function.LongUnaryOperator;
import java.util.stream.LongStream;

/** The search for a schedule that breaks something, with the same outcome every time. */
public final class Hunt {

    /** Seeds that are played beside each other before the least of those that broke counts. */
    private static final int BATCH = 512;

    /** Scripts that are shortened, of which the shortest is reported. */
    private static final int WEIGHED = 3;

    private Hunt() {}

    /** Plays schedules by chance from a seed on; of the first that broke something, at most {@code shown}. */
    static List<Script> byChance(long first, int most, int shown, ScheduleTotals totals) {
        return byChance(number -> first + number, most, shown, totals);
    }

    /** Plays those that turn on something. */
    static List<Script> byChance(Focus focus, int most, int shown, ScheduleTotals totals) {
        return byChance(focus::seed, most, shown, totals);
    }

    private static List<Script> byChance(LongUnaryOperator seeds, int most, int shown, ScheduleTotals totals) {
        for (long from = 0; from < most; from += BATCH) {
            List<Script> broken = LongStream.range(from, Math.min(most, from + BATCH))
                    .parallel()
                    .map(seeds)
                    .mapToObj(seed -> RandomScheduler.breaking(seed, totals))
                    .filter(Objects::nonNull)
                    .toList();
            if (!broken.isEmpty()) {
                return broken.subList(0, Math.min(shown, broken.size()));
            }
        }
        return List.of();
    }

    /**
     * Plays schedules until one breaks something, by chance first and then in every order.
     *
     * @param focus the name of what they turn on
     * @param most schedules by chance
     * @param depth steps of which every order is played; 0 for none
     * @return the shortened script, what it breaks, its steps, and how it was found; null if nothing broke
     */
    public static String[] hunt(String focus, int most, int depth) {
        ScheduleTotals totals = new ScheduleTotals();
        List<Script> broken = byChance(Focus.valueOf(focus), most, WEIGHED, totals);
        boolean byChance = !broken.isEmpty();
        if (broken.isEmpty() && depth > 0) {
            broken = EveryOrder.all(depth, totals);
        }
        if (broken.isEmpty()) {
            return null;
        }
        Script script = broken.stream()
                .map(Script::shortened)
                .min(Comparator.comparingInt(one -> one.steps().size()))
                .orElseThrow();
        String how = byChance ? "seed " + script.seed() : "in order";
        String steps = Integer.toString(script.steps().size());
        return new String[] {script.toString(), script.breach(), steps, how};
    }
}

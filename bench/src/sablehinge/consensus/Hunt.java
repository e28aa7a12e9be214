package sablehinge.consensus;

import java.util.List;
import java.util.Objects;
import java.util.function.LongUnaryOperator;
import java.util.stream.LongStream;

/** The search for a schedule that breaks something, with the same outcome every time. */
public final class Hunt {

    /** Seeds that are played beside each other before the least of those that broke counts. */
    private static final int BATCH = 512;

    private Hunt() {
    }

    /** Plays schedules by chance from a seed on; of the first that broke something, at most {@code shown}. */
    static List<Script> byChance(long first, int most, int shown, Tally tally) {
        return byChance(number -> first + number, most, shown, tally);
    }

    /** Plays those that turn on something. */
    static List<Script> byChance(Focus focus, int most, int shown, Tally tally) {
        return byChance(focus::seed, most, shown, tally);
    }

    private static List<Script> byChance(LongUnaryOperator seeds, int most, int shown, Tally tally) {
        for (long from = 0; from < most; from += BATCH) {
            List<Script> broken = LongStream.range(from, Math.min(most, from + BATCH)).parallel().map(seeds)
                    .mapToObj(seed -> RandomScheduler.breaking(seed, tally)).filter(Objects::nonNull)
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
        Tally tally = new Tally();
        List<Script> broken = byChance(Focus.valueOf(focus), most, 1, tally);
        String how = broken.isEmpty() ? "in order" : "seed " + broken.get(0).seed();
        if (broken.isEmpty() && depth > 0) {
            broken = EveryOrder.all(depth, tally);
        }
        if (broken.isEmpty()) {
            return null;
        }
        Script script = broken.get(0).shortened();
        String steps = Integer.toString(script.steps().size());
        return new String[] {script.toString(), script.breach(), steps, how};
    }
}

package sablehinge.gateway.rollout;

import java.util.Arrays;

/** Counts answers by their outcome in buckets of a second, over the last {@value #SECONDS} seconds. */
public final class OutcomeShares {

    /** How an answer ended. */
    public enum Outcome {
        SERVED,
        REFUSED,
        FAILED
    }

    /** The longest span that can be requested, in seconds. */
    public static final int SECONDS = 60;

    private static final double MS = 1_000;

    private final long[][] counts = new long[SECONDS][Outcome.values().length];
    private final long[] second = new long[SECONDS];

    /** Creates empty counts. */
    public OutcomeShares() {
        Arrays.fill(second, Long.MIN_VALUE);
    }

    /** Counts an answer given at a time, in ms; a time before the newest bucket's counts there. */
    public void count(double now, Outcome outcome) {
        long at = (long) Math.floor(now / MS);
        int slot = (int) Math.floorMod(at, (long) SECONDS);
        if (second[slot] != at) {
            second[slot] = at;
            Arrays.fill(counts[slot], 0);
        }
        counts[slot][outcome.ordinal()]++;
    }

    /** Answers of an outcome in the last so many seconds, the present one counted. */
    public long of(double now, int seconds, Outcome outcome) {
        long at = (long) Math.floor(now / MS);
        long sum = 0;
        for (int i = 0; i < SECONDS; i++) {
            if (second[i] > at - seconds && second[i] <= at) {
                sum += counts[i][outcome.ordinal()];
            }
        }
        return sum;
    }

    /** All answers in the last so many seconds. */
    public long all(double now, int seconds) {
        long sum = 0;
        for (Outcome outcome : Outcome.values()) {
            sum += of(now, seconds, outcome);
        }
        return sum;
    }
}

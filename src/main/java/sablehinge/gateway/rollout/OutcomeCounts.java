package sablehinge.gateway.rollout;

import java.util.Arrays;

/** Counts responses by outcome in one-second buckets, over the last {@value #MAX_WINDOW_SECONDS} seconds. */
public final class OutcomeCounts {

    /** How a request ended. */
    public enum Outcome {
        SERVED,
        REFUSED,
        FAILED
    }

    /** The longest window that can be queried. */
    public static final int MAX_WINDOW_SECONDS = 60;

    private static final double MS_PER_SECOND = 1_000;

    private final long[][] counts = new long[MAX_WINDOW_SECONDS][Outcome.values().length];
    private final long[] bucketSecond = new long[MAX_WINDOW_SECONDS];

    /** Creates empty counts. */
    public OutcomeCounts() {
        Arrays.fill(bucketSecond, Long.MIN_VALUE);
    }

    /** Adds one response sent at {@code nowMs}. */
    public void add(double nowMs, Outcome outcome) {
        long currentSecond = (long) Math.floor(nowMs / MS_PER_SECOND);
        int slot = (int) Math.floorMod(currentSecond, (long) MAX_WINDOW_SECONDS);
        if (bucketSecond[slot] != currentSecond) {
            bucketSecond[slot] = currentSecond;
            Arrays.fill(counts[slot], 0);
        }
        counts[slot][outcome.ordinal()]++;
    }

    /** The number of responses with an outcome in the last {@code seconds} seconds, the current one included. */
    public long count(double nowMs, int seconds, Outcome outcome) {
        long currentSecond = (long) Math.floor(nowMs / MS_PER_SECOND);
        long sum = 0;
        for (int i = 0; i < MAX_WINDOW_SECONDS; i++) {
            if (bucketSecond[i] > currentSecond - seconds && bucketSecond[i] <= currentSecond) {
                sum += counts[i][outcome.ordinal()];
            }
        }
        return sum;
    }

    /** The number of all responses in the last {@code seconds} seconds. */
    public long total(double nowMs, int seconds) {
        long sum = 0;
        for (Outcome outcome : Outcome.values()) {
            sum += count(nowMs, seconds, outcome);
        }
        return sum;
    }
}

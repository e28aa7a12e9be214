package sablehinge.tools.replay.statistics;

import java.util.Arrays;

/**
 * Events over time, in slices that grow as the time does, so that a second and a year both fit. The slices are complete
 * multiples of their width since 1970.
 */
public final class RateMeter {

    private final int most;
    private long[] counts;
    private long first = Long.MIN_VALUE;
    private int used;
    private double width = 1_000;

    /** Rates in so many slices at most. */
    public RateMeter(int most) {
        this.most = most;
        counts = new long[most];
    }

    /** Counts an event; {@code time} in ms since 1970. Times may come in any order. */
    public void add(double time) {
        long slice = (long) Math.floor(time / width);
        if (used == 0) {
            first = slice;
        }
        while (Math.max(slice, first + used - 1) - Math.min(slice, first) >= most) {
            widen();
            slice = (long) Math.floor(time / width);
        }
        if (slice < first) {
            int by = (int) (first - slice);
            System.arraycopy(counts, 0, counts, by, used);
            Arrays.fill(counts, 0, by, 0);
            first = slice;
            used += by;
        }
        used = Math.max(used, (int) (slice - first) + 1);
        counts[(int) (slice - first)]++;
    }

    private void widen() {
        long half = Math.floorDiv(first, 2);
        long[] wider = new long[most];
        for (int i = 0; i < used; i++) {
            wider[(int) (Math.floorDiv(first + i, 2) - half)] += counts[i];
        }
        used = used == 0 ? 0 : (int) (Math.floorDiv(first + used - 1, 2) - half) + 1;
        first = half;
        counts = wider;
        width *= 2;
    }

    /** How wide a slice is, in ms. */
    public double width() {
        return width;
    }

    /** When the first slice begins, in ms since 1970. */
    public double from() {
        return used == 0 ? 0 : first * width;
    }

    /** The events of each slice. */
    public long[] counts() {
        return Arrays.copyOf(counts, used);
    }

    /** The same in so many slices at most, for a plot: neighbours put together. */
    public long[] counts(int slices) {
        int together = Math.max(1, (used + slices - 1) / slices);
        long[] sums = new long[(used + together - 1) / together];
        for (int i = 0; i < used; i++) {
            sums[i / together] += counts[i];
        }
        return sums;
    }

    /** The most events in one slice. */
    public long peak() {
        return Arrays.stream(counts, 0, used).max().orElse(0);
    }
}

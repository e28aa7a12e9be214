package sablehinge.tools.replay.statistics;

import java.util.Arrays;

/**
 * Counts events per time slice. The slices widen as the time range grows, so that a second and a year both fit. Slices
 * start at multiples of their width since the epoch.
 */
public final class RateMeter {

    private final int maxSlices;
    private long[] counts;
    private long firstSlice = Long.MIN_VALUE;
    private int sliceCount;
    private double widthMs = 1_000;

    /** Creates a meter with at most {@code maxSlices} slices. */
    public RateMeter(int maxSlices) {
        this.maxSlices = maxSlices;
        counts = new long[maxSlices];
    }

    /** Counts an event at {@code timeMs}, in milliseconds since the epoch. Times may be added in any order. */
    public void add(double timeMs) {
        long slice = (long) Math.floor(timeMs / widthMs);
        if (sliceCount == 0) {
            firstSlice = slice;
        }
        while (Math.max(slice, firstSlice + sliceCount - 1) - Math.min(slice, firstSlice) >= maxSlices) {
            widen();
            slice = (long) Math.floor(timeMs / widthMs);
        }
        if (slice < firstSlice) {
            int shift = (int) (firstSlice - slice);
            System.arraycopy(counts, 0, counts, shift, sliceCount);
            Arrays.fill(counts, 0, shift, 0);
            firstSlice = slice;
            sliceCount += shift;
        }
        sliceCount = Math.max(sliceCount, (int) (slice - firstSlice) + 1);
        counts[(int) (slice - firstSlice)]++;
    }

    private void widen() {
        long firstWide = Math.floorDiv(firstSlice, 2);
        long[] wideCounts = new long[maxSlices];
        for (int i = 0; i < sliceCount; i++) {
            wideCounts[(int) (Math.floorDiv(firstSlice + i, 2) - firstWide)] += counts[i];
        }
        sliceCount = sliceCount == 0 ? 0 : (int) (Math.floorDiv(firstSlice + sliceCount - 1, 2) - firstWide) + 1;
        firstSlice = firstWide;
        counts = wideCounts;
        widthMs *= 2;
    }

    /** Width of a slice in milliseconds. */
    public double width() {
        return widthMs;
    }

    /** Start of the first slice in milliseconds since the epoch. */
    public double from() {
        return sliceCount == 0 ? 0 : firstSlice * widthMs;
    }

    /** Number of events in each slice. */
    public long[] counts() {
        return Arrays.copyOf(counts, sliceCount);
    }

    /** Number of events in each of at most {@code maxGroups} groups of adjacent slices, for a plot. */
    public long[] counts(int maxGroups) {
        int slicesPerGroup = Math.max(1, (sliceCount + maxGroups - 1) / maxGroups);
        long[] sums = new long[(sliceCount + slicesPerGroup - 1) / slicesPerGroup];
        for (int i = 0; i < sliceCount; i++) {
            sums[i / slicesPerGroup] += counts[i];
        }
        return sums;
    }

    /** Maximum number of events in one slice. */
    public long peak() {
        return Arrays.stream(counts, 0, sliceCount).max().orElse(0);
    }
}

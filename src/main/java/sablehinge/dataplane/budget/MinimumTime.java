package sablehinge.dataplane.budget;

/**
 * Learns how little time the tier below can do with: a low quantile of the latency of what it served, by steps that are
 * as likely up as down at the quantile (Robbins and Monro, 1951). While nothing is served it sinks, so that a time when
 * all was slow is not believed for ever.
 */
public final class MinimumTime {

    /** Share of calls that are served faster. */
    static final double QUANTILE = 0.05;

    private static final double STEP = 0.05;
    private static final int FIRST = 20;
    /** It halves in so many ms without a sample. */
    private static final double HALVING_MS = 2_000;

    private double value;
    private int seen;
    private double at;

    /** A call was served in so many ms. */
    public void recordServed(double now, double elapsed) {
        at = now;
        seen++;
        if (seen == 1) {
            value = elapsed;
        }
        value *= 1 + STEP * (elapsed > value ? QUANTILE : QUANTILE - 1);
    }

    /** The time in ms under which a call is not sent; 0 while too little is known. */
    public double value(double now) {
        return seen < FIRST ? 0 : value * Math.pow(0.5, Math.max(0, now - at) / HALVING_MS);
    }
}

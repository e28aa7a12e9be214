package sablehinge.dataplane.budget;

/**
 * Estimates the minimum time that the tier below needs: a low quantile of the latency of served calls, by steps whose
 * expected value at the quantile is zero (Robbins and Monro, 1951). The estimate decays while no call is served, so
 * that a slow period does not block calls permanently.
 */
public final class MinimumTime {

    /** Share of calls that are faster than the estimate. */
    static final double QUANTILE = 0.05;

    private static final double STEP_SHARE = 0.05;
    private static final int MIN_SAMPLES = 20;
    /** Half-life of the estimate in milliseconds without a sample. */
    private static final double HALVING_MS = 2_000;

    private double value;
    private int samples;
    private double lastSampleAt;

    /** Records a served call and its latency in milliseconds. */
    public void recordServed(double now, double elapsedMs) {
        lastSampleAt = now;
        samples++;
        if (samples == 1) {
            value = elapsedMs;
        }
        value *= 1 + STEP_SHARE * (elapsedMs > value ? QUANTILE : QUANTILE - 1);
    }

    /** Time in milliseconds below which a call is not sent; 0 until there are enough samples. */
    public double value(double now) {
        return samples < MIN_SAMPLES ? 0 : value * Math.pow(0.5, Math.max(0, now - lastSampleAt) / HALVING_MS);
    }
}

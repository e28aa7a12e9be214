package sablehinge.meter;

/** How much is asked for lately, in requests a second: an average that fades. */
public final class Demand {

    private static final double FADE_MS = 2_000;
    private double rate;
    private double at = Double.NaN;

    /** One request more. */
    public void count(double now) {
        rate = rate(now) + 1_000 / FADE_MS;
    }

    /** The rate at a time. */
    public double rate(double now) {
        if (!Double.isNaN(at)) {
            rate *= Math.exp((at - now) / FADE_MS);
        }
        at = now;
        return rate;
    }
}

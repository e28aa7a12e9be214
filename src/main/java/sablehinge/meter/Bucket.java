package sablehinge.meter;

/** One balancer's part of a tenant's quota: tokens that come with time, up to a bound. */
public final class Bucket {

    private static final double MS = 1_000;
    private double tokens = Double.NaN;
    private double perMs;
    private double most;
    private double filledAt;

    /**
     * Sets its part of the quota; tokens beyond the new bound are lost, and a greater one brings none at once.
     *
     * @param perSecond tokens that come in a second
     * @param bound tokens that it holds at most
     */
    public void set(double now, double perSecond, double bound) {
        fill(now);
        perMs = perSecond / MS;
        most = Math.max(1, bound);
        // A new one begins with half: its process may have spent the other half before it began anew.
        tokens = Double.isNaN(tokens) ? most / 2 : Math.min(tokens, most);
    }

    private void fill(double now) {
        if (!Double.isNaN(tokens)) {
            tokens = Math.min(most, tokens + (now - filledAt) * perMs);
        }
        filledAt = now;
    }

    /** Takes a token; false if there is none. */
    public boolean take(double now) {
        fill(now);
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /** In how many ms there will be a token; infinite where none comes. */
    public double next() {
        return tokens >= 1 ? 0 : perMs == 0 ? Double.POSITIVE_INFINITY : (1 - tokens) / perMs;
    }
}

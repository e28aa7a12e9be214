package sablehinge.mesh.quota;

/** A token bucket for a part of a quota. */
public final class Bucket {

    private static final double MS = 1_000;
    private final double initialShare;
    private double tokens = Double.NaN;
    private double perMs;
    private double capacity;
    private double refilledAt;

    /**
     * Creates a bucket.
     *
     * @param initialShare the share of the capacity that is available at first; the rest may have been spent by an
     *     earlier process
     */
    public Bucket(double initialShare) {
        this.initialShare = initialShare;
    }

    /**
     * Sets the bucket's part of the quota. Tokens above a lower capacity are discarded; a higher capacity adds none
     * immediately.
     */
    public void set(double now, Quota quota) {
        refill(now);
        perMs = quota.perSecond() / MS;
        capacity = Math.max(1, quota.burst());
        tokens = Double.isNaN(tokens) ? capacity * initialShare : Math.min(tokens, capacity);
    }

    private void refill(double now) {
        if (!Double.isNaN(tokens)) {
            tokens = Math.max(tokens, Math.min(capacity, tokens + (now - refilledAt) * perMs));
        }
        refilledAt = now;
    }

    /** Adds tokens taken from the pool, which may exceed the capacity. */
    public void add(int count) {
        tokens += count;
    }

    /** Takes up to the given number of tokens and returns the number taken. */
    public int take(double now, int count) {
        refill(now);
        int taken = (int) Math.max(0, Math.min(count, tokens));
        tokens -= taken;
        return taken;
    }

    /** Releases the tokens above a reserve for other balancers and returns their number. */
    public int releaseAbove(double now, double reserve) {
        return take(now, (int) Math.max(0, available(now) - reserve));
    }

    /** Adds tokens released by other balancers. Tokens above the capacity are discarded. */
    public void restore(double now, int count) {
        refill(now);
        tokens = Math.max(tokens, Math.min(capacity, tokens + count));
    }

    /** The bucket's part of the quota. */
    Quota quota() {
        return new Quota(perMs * MS, capacity);
    }

    /** The number of available tokens. */
    double available(double now) {
        refill(now);
        return tokens;
    }

    /** Milliseconds until a token is available; infinite if the bucket is not refilled. */
    public double msUntilToken() {
        return tokens >= 1 ? 0 : perMs == 0 ? Double.POSITIVE_INFINITY : (1 - tokens) / perMs;
    }
}

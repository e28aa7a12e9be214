package sablehinge.mesh.quota;

/** A part of a quota: tokens that come with time, up to a bound. */
public final class Bucket {

    private static final double MS = 1_000;
    private final double first;
    private double tokens = Double.NaN;
    private double perMs;
    private double most;
    private double filledAt;

    /** A bucket that begins with a part of its bound: its process may have spent the rest before it began. */
    public Bucket(double first) {
        this.first = first;
    }

    /** Sets its part of the quota; tokens beyond the new bound are lost, and a greater one brings none at once. */
    public void set(double now, Quota part) {
        fill(now);
        perMs = part.perSecond() / MS;
        most = Math.max(1, part.burst());
        tokens = Double.isNaN(tokens) ? most * first : Math.min(tokens, most);
    }

    private void fill(double now) {
        if (!Double.isNaN(tokens)) {
            tokens = Math.max(tokens, Math.min(most, tokens + (now - filledAt) * perMs));
        }
        filledAt = now;
    }

    /** Adds tokens that were taken elsewhere; they may lie above the bound. */
    public void add(int count) {
        tokens += count;
    }

    /** Takes up to so many tokens, and tells how many there were. */
    public int take(double now, int count) {
        fill(now);
        int taken = (int) Math.max(0, Math.min(count, tokens));
        tokens -= taken;
        return taken;
    }

    /** Gives up what is above so many tokens, for others to have, and tells how many those are. */
    public int releaseAbove(double now, double kept) {
        return take(now, (int) Math.max(0, left(now) - kept));
    }

    /** Adds tokens that others gave up; what is above the bound is lost. */
    public void restore(double now, int count) {
        fill(now);
        tokens = Math.max(tokens, Math.min(most, tokens + count));
    }

    /** Its part of the quota. */
    Quota part() {
        return new Quota(perMs * MS, most);
    }

    /** How many tokens there are. */
    double left(double now) {
        fill(now);
        return tokens;
    }

    /** In how many ms there will be a token; infinite where none comes. */
    public double msUntilToken() {
        return tokens >= 1 ? 0 : perMs == 0 ? Double.POSITIVE_INFINITY : (1 - tokens) / perMs;
    }
}

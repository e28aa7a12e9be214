package sablehinge.dataplane.http1;

/**
 * Limits how long a pooled connection may have been idle and still carry a request. Its peer may have dropped it
 * without a sign, or with one that is still on its way; a request written to it is then answered with a reset, and may
 * have run. This guards against upstreams, and middleboxes on the way to them, that forget connections sooner than they
 * announce. It does harm if connections are expensive and breaks have another cause, such as an upstream that crashes
 * often: each such break makes this balancer open more connections for some seconds.
 */
final class Freshness {

    /** Idle time that needs no further evidence, ms: about the time between the calls of a sequential batch. */
    static final double DEFAULT_MAX_IDLE_FOR_UNSAFE_MS = 50;
    /** A reset later than this after the write was caused by the request and not by the idle connection, ms. */
    static final double IMMEDIATE_RESET_MS = 50;
    /** Growth of the limit in a second without a break: a factor of ten takes about ten seconds. */
    private static final double GROWTH_PER_SECOND = 1.25;

    private final double maxIdleMs;
    private final double maxIdleForUnsafeMs;
    private double trustedIdleMs;

    Freshness(double maxIdleMs, double maxIdleForUnsafeMs) {
        this.maxIdleMs = maxIdleMs;
        this.maxIdleForUnsafeMs = maxIdleForUnsafeMs;
        trustedIdleMs = maxIdleMs;
    }

    /**
     * Whether a connection that was idle for the given ms may carry a request. A request that must not be repeated is
     * lost with its connection, which costs more than a new connection, so it gets only one that was idle briefly.
     */
    boolean mayUse(double idleMs, boolean resendable) {
        return idleMs <= (resendable ? trustedIdleMs : Math.min(maxIdleForUnsafeMs, trustedIdleMs));
    }

    /** A connection that was idle for the given ms was reset immediately after a request was written. */
    void onReset(double idleMs) {
        trustedIdleMs = Math.max(maxIdleForUnsafeMs, Math.min(trustedIdleMs, idleMs / 2));
    }

    /** Raises the limit; called once a second. */
    void recover() {
        trustedIdleMs = Math.min(maxIdleMs, trustedIdleMs * GROWTH_PER_SECOND);
    }
}

package sablehinge.dataplane.http1;

/**
 * How long a kept connection may have rested and still be trusted with a request. Its other end may have given it up
 * with no sign, or with one that is still on its way: what is written then is a reset, and may have run. Guards against
 * upstreams, and all between, that forget connections sooner than they say. Does harm where connections are dear and
 * breaks have another cause, such as an upstream that crashes often: each such break makes this balancer open more of
 * them for some seconds.
 */
final class Freshness {

    /** A rest that needs no trust: about what a batch of calls one after another leaves between them. */
    static final double YOUNG_MS = 50;
    /** A reset later than this after the write has befallen the request and not the connection. */
    static final double AT_ONCE_MS = 50;
    /** Growth of the trust in a second without a break: back to ten times after some ten seconds. */
    private static final double RECOVERY = 1.25;

    private final double longest;
    private final double young;
    private double trusted;

    Freshness(double longest, double young) {
        this.longest = longest;
        this.young = young;
        trusted = longest;
    }

    /**
     * Whether a connection that has rested for so long may carry a request. One that must not be sent again is lost
     * with its connection, which costs more than a new one does: it gets one that is young.
     */
    boolean trusts(double rested, boolean resendable) {
        return rested <= (resendable ? trusted : Math.min(young, trusted));
    }

    /** A connection broke under a request as soon as it had been written, after resting for so long. */
    void broke(double rested) {
        trusted = Math.max(young, Math.min(trusted, rested / 2));
    }

    /** A second has passed. */
    void recover() {
        trusted = Math.min(longest, trusted * RECOVERY);
    }
}

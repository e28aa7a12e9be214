package sablehinge.mesh.retrybudget;

/**
 * The rule on arrivals beyond the first (RULES, BUDGET), and how what it grants to a service is divided.
 *
 * <p>Within some window the arrivals beyond the first may be {@code ratio} times the requests of that window, of the
 * one before or of the one half before, whichever holds the most, and {@code slack}. Of the slack, a part is reserved,
 * as integer tokens that each belong to one balancer; one is what the pool may have out and in hand together; one drips
 * into the pool; the rest stays unused. Each request brings the pool half of the ratio: however demand lies, what came
 * in the window and in the half before it is at most twice what the fullest of the three windows holds, so an arrival
 * may lag half a window behind the request that paid it.
 *
 * @param ratio arrivals beyond the first for a request
 * @param windowMs the window
 * @param slack arrivals beyond the first in a window without any request
 */
public record RetryBudgetRule(double ratio, double windowMs, double slack) {

    /** The most time from when a further try is granted until it arrives, in ms. */
    static final double LAG_MS = 2_500;

    private static final double RESERVED = 0.15;
    private static final double BOUND = 0.25;
    private static final double DRIP = 0.45;

    /** What a request brings the pool. */
    double income() {
        return ratio / 2;
    }

    /** The most that the pool may have in hand and out together. */
    double bound() {
        return BOUND * slack;
    }

    /** What comes to the pool in a ms without any request. */
    double drip() {
        return DRIP * slack / (windowMs + LAG_MS);
    }

    /** For how long a reserved token that was used is out of use, in ms. */
    double rest() {
        return windowMs + LAG_MS;
    }

    /**
     * The reserved tokens of one balancer: the parts of all places among so many add up to what is reserved, and where
     * there are more balancers than tokens some have none.
     */
    int reserved(int place, int among) {
        int all = (int) (RESERVED * slack);
        return all * (place + 1) / among - all * place / among;
    }
}

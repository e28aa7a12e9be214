package sablehinge.mesh.retrybudget;

/**
 * The rule for extra arrivals, that is, arrivals of a request after its first one (RULES, BUDGET), and the division of
 * what the rule grants to a service.
 *
 * <p>In any window, the number of extra arrivals may be at most {@code ratio} times the requests of that window, of the
 * previous window or of the window half a length earlier, whichever holds the most, plus {@code slack}. One part of the
 * slack is reserved as whole tokens, each assigned to one balancer. A second part bounds the tokens that the pool holds
 * and has granted. A third part drips into the pool. The rest stays unused. Each request adds half of the ratio to the
 * pool: for any distribution of demand, the requests of a window and of the half window before it are at most twice
 * those of the fullest of the three windows, so an extra arrival may lag half a window behind the request that paid for
 * it.
 *
 * @param ratio extra arrivals per request
 * @param windowMs the length of the window in milliseconds
 * @param slack extra arrivals allowed in a window without any request
 */
public record RetryBudgetRule(double ratio, double windowMs, double slack) {

    /** Maximum time from the grant of a retry until it arrives, in milliseconds. */
    static final double MAX_ARRIVAL_LAG_MS = 2_500;

    private static final double RESERVED_SHARE = 0.15;
    private static final double BOUND_SHARE = 0.25;
    private static final double DRIP_SHARE = 0.45;

    /** Tokens that a request adds to the pool. */
    double tokensPerRequest() {
        return ratio / 2;
    }

    /** Maximum of the tokens that the pool holds and has granted, together. */
    double bound() {
        return BOUND_SHARE * slack;
    }

    /** Tokens added to the pool per millisecond, independent of requests. */
    double dripPerMs() {
        return DRIP_SHARE * slack / (windowMs + MAX_ARRIVAL_LAG_MS);
    }

    /** Time in milliseconds until a used reserved token is available again. */
    double reservedRecoveryMs() {
        return windowMs + MAX_ARRIVAL_LAG_MS;
    }

    /**
     * The number of reserved tokens of one balancer. The shares of all {@code count} balancers add up to the reserved
     * total; if there are more balancers than tokens, some have none.
     */
    int reserved(int index, int count) {
        int total = (int) (RESERVED_SHARE * slack);
        return total * (index + 1) / count - total * index / count;
    }
}

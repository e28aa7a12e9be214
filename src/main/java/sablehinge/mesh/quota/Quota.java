package sablehinge.mesh.quota;

/**
 * The division of a tenant's quota. One part is divided evenly among the balancers and needs no request to the leader,
 * so a partitioned balancer can continue to use its share. The rest is a pool on the leader, from which a balancer that
 * has run out of tokens takes what it needs. If the pool is empty, the leader reclaims unused tokens from all
 * balancers. Tokens are only transferred, so no token is available twice.
 *
 * @param perSecond requests per second over all balancers
 * @param burst additional requests that may arrive at once, over all balancers
 */
public record Quota(double perSecond, double burst) {

    /** The share of the quota that is divided evenly among all balancers. */
    public static final double EVEN_SHARE = 0.6;

    /**
     * The quota of a tenant under a rule that counts requests in windows (RULES, QUOTA). Half of the rule's tolerance
     * above the tenant's own limits stays unused, as a reserve for requests in transit while shares change and for
     * restarts.
     *
     * @param perS the tenant's requests per second
     * @param tenantBurst the tenant's additional requests in a burst
     * @param windowS the length of the window in seconds
     * @param excess the tolerated excess over the limits, as a share of them
     * @param slack the tolerated excess in requests
     */
    public static Quota of(double perS, double tenantBurst, double windowS, double excess, double slack) {
        return new Quota(perS, tenantBurst + (excess * (perS * windowS + tenantBurst) + slack) / 2);
    }

    /** The evenly divided share of one of the given number of balancers. */
    public Quota even(int balancers) {
        return new Quota(perSecond * EVEN_SHARE / balancers, burst * EVEN_SHARE / balancers);
    }

    /** The part that forms the pool on the leader. */
    public Quota pool() {
        return new Quota(perSecond * (1 - EVEN_SHARE), burst * (1 - EVEN_SHARE));
    }
}

package sablehinge.mesh.quota;

/**
 * How a tenant's quota is divided. One part is divided evenly and held without asking, so that a balancer that is cut
 * off goes on with it; the rest is a pool on the leader, from which a balancer that has run out takes what it needs at
 * once. Where the pool is dry, the leader reclaims unused tokens from all. Tokens only move, so nothing is ever out
 * twice.
 *
 * @param perSecond requests a second over all balancers
 * @param burst requests above that which may come at once, over all balancers
 */
public record Quota(double perSecond, double burst) {

    /** The part that is divided evenly among all balancers. */
    public static final double EVEN_SHARE = 0.6;

    /**
     * The quota of a tenant under a rule that counts within windows (RULES, QUOTA). Half of what the rule grants above
     * the tenant's own figures stays unused: what is on its way while parts change, and restarts.
     *
     * @param perS the tenant's requests a second
     * @param tenantBurst the tenant's requests on top
     * @param windowS the window
     * @param excess the share above the figures that is not yet a breach
     * @param slack likewise in requests
     */
    public static Quota of(double perS, double tenantBurst, double windowS, double excess, double slack) {
        return new Quota(perS, tenantBurst + (excess * (perS * windowS + tenantBurst) + slack) / 2);
    }

    /** The even part of one of so many balancers. */
    public Quota even(int balancers) {
        return new Quota(perSecond * EVEN_SHARE / balancers, burst * EVEN_SHARE / balancers);
    }

    /** The pool. */
    public Quota pool() {
        return new Quota(perSecond * (1 - EVEN_SHARE), burst * (1 - EVEN_SHARE));
    }
}

package sablehinge.meter;

import java.util.HashMap;
import java.util.Map;

/**
 * Hands out the parts of tenants' quotas that follow demand. A part of each quota is divided evenly and held
 * without asking ({@link #EVEN}); what is left is lent by one who holds the duty, for a time, in proportion to
 * what is asked for where. What is out never exceeds the whole: a part that was lowered counts as out until
 * its holder says that it has given it back, or its time is over.
 */
public final class Shares {

    /** The part of a quota that is divided evenly among all balancers, cut off or not. */
    public static final double EVEN = 0.6;
    /** For how long a part is lent, counted by its holder from when it asked, in ms. */
    public static final double LENT_MS = 3_000;
    /** How much longer it counts as out with whoever lent it. */
    private static final double LONGER = 1.2;
    /** Requests a second below which a demand isn't told from none. */
    private static final double LEAST = 0.05;

    /** By tenant and then by balancer. */
    private final Map<String, Map<String, Lent>> lent = new HashMap<>();
    private double beganAt = Double.NEGATIVE_INFINITY;
    private boolean clean;

    private static final class Lent {
        double held;
        double sent;
        double demand;
        double until;

        double out(double now) {
            return now > until ? 0 : Math.max(held, sent);
        }
    }

    /**
     * Takes the duty over.
     *
     * @param nothingOut whether it is known that nothing was ever lent
     */
    public void begin(double now, boolean nothingOut) {
        lent.clear();
        beganAt = now;
        clean = nothingOut;
    }

    /** A balancer tells how much is asked of it of a tenant a second, and what part it holds. */
    public void told(double now, String node, String tenant, double demand, double held) {
        Lent one = lent.computeIfAbsent(tenant, t -> new HashMap<>()).computeIfAbsent(node, n -> new Lent());
        one.demand = demand;
        one.held = held;
        one.until = now + LENT_MS * LONGER;
    }

    /** What a balancer may hold of a tenant's quota from now on, beside its even part. */
    public double lend(double now, String node, String tenant) {
        Map<String, Lent> ofTenant = lent.get(tenant);
        Lent own = ofTenant == null ? null : ofTenant.get(node);
        if (own == null) {
            return 0;
        }
        double out = 0;
        double asked = 0;
        for (Lent one : ofTenant.values()) {
            asked += now > one.until ? 0 : one.demand;
            out += one == own ? 0 : one.out(now);
        }
        double whole = 1 - EVEN;
        double wanted = asked < LEAST ? 0 : whole * own.demand / asked;
        // Who was lent something by the one before and has not told yet may still hold it.
        double free = !clean && now < beganAt + LENT_MS * LONGER ? own.held : Math.max(0, whole - out);
        own.sent = Math.min(wanted, free);
        own.until = now + LENT_MS * LONGER;
        return own.sent;
    }

    /** Forgets whose time is long over. */
    public void expire(double now) {
        lent.values().forEach(of -> of.values().removeIf(one -> now > one.until + LENT_MS));
        lent.values().removeIf(Map::isEmpty);
    }
}

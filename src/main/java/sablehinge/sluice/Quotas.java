package sablehinge.sluice;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sablehinge.aqueduct.Configuration;
import sablehinge.meter.Bucket;
import sablehinge.meter.Demand;
import sablehinge.meter.Shares;
import sablehinge.penstock.Ask;

/** This balancer's parts of the tenants' quotas. */
final class Quotas {

    /** What may arrive above the quota in a window (RULES, QUOTA), of which a part is left unused. */
    private final double windowS;
    private final double excess;
    private final double slack;
    private final Map<String, Metered> metered = new HashMap<>();
    private double lentUntil = Double.NEGATIVE_INFINITY;
    private int balancers = 1;

    private static final class Metered {
        Configuration.Tenant tenant;
        final Bucket bucket = new Bucket();
        final Demand demand = new Demand();
        double lent;
    }

    /** Parts within a rule's window in seconds, excess as a share, and slack in requests. */
    Quotas(double windowS, double excess, double slack) {
        this.windowS = windowS;
        this.excess = excess;
        this.slack = slack;
    }

    /** Takes the tenants of a configuration over. */
    void adopt(double now, List<Configuration.Tenant> tenants) {
        Map<String, Metered> before = new HashMap<>(metered);
        metered.clear();
        for (Configuration.Tenant tenant : tenants) {
            if (tenant.perSecond() > 0) {
                Metered one = before.getOrDefault(tenant.name(), new Metered());
                one.tenant = tenant;
                metered.put(tenant.name(), one);
                refill(now, one);
            }
        }
    }

    private void refill(double now, Metered one) {
        double part = Shares.EVEN / balancers + (now < lentUntil ? one.lent : 0);
        Configuration.Tenant tenant = one.tenant;
        // Half of what the rule grants above the quota stays unused: what is on its way when parts change.
        double bound = tenant.burst() + (excess * (tenant.perSecond() * windowS + tenant.burst()) + slack) / 2;
        one.bucket.set(now, part * tenant.perSecond(), part * bound);
    }

    /** Takes a request of a tenant; 0 if it may go on, else how many ms until another might. */
    double take(double now, Configuration.Tenant tenant) {
        Metered one = metered.get(tenant.name());
        if (one == null) {
            return 0;
        }
        one.demand.count(now);
        if (lentUntil < now && one.lent > 0) {
            one.lent = 0;
            refill(now, one);
        }
        return one.bucket.take(now) ? 0 : Math.max(1, one.bucket.next());
    }

    /** What to tell of them, in an order that {@link #lent} is given back in. */
    List<Ask.Metered> told(double now) {
        List<Ask.Metered> told = new ArrayList<>(metered.size());
        metered.values().forEach(one -> told.add(new Ask.Metered(one.tenant.name(),
                (float) one.demand.rate(now), now < lentUntil ? (float) one.lent : 0)));
        return told;
    }

    /**
     * Parts that were lent.
     *
     * @param asked what was told when they were asked for
     * @param askedAt when that was
     */
    void lent(double now, double askedAt, List<Ask.Metered> asked, List<Float> parts, int size) {
        lentUntil = askedAt + Shares.LENT_MS;
        balancers = Math.max(1, size);
        for (int i = 0; i < Math.min(asked.size(), parts.size()); i++) {
            Metered one = metered.get(asked.get(i).tenant());
            if (one != null) {
                one.lent = parts.get(i);
            }
        }
        metered.values().forEach(one -> refill(now, one));
    }
}

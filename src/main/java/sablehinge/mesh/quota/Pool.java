package sablehinge.mesh.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The leader's pools of all tenants' quotas. */
public final class Pool {

    /**
     * Interval in milliseconds between reclaims of unused tokens from balancers, after which returned tokens are
     * ignored.
     */
    private static final double RECLAIM_INTERVAL_MS = 100;

    private final Map<String, Bucket> buckets = new HashMap<>();
    private final Map<String, Double> reclaimedAt = new HashMap<>();

    /** Starts a term as leader. Every pool starts empty because the previous leader may have granted all tokens. */
    public void begin() {
        buckets.clear();
        reclaimedAt.clear();
    }

    /** Sets the current quotas by tenant and drops the pools of all other tenants. */
    public void adopt(double now, Map<String, Quota> quotas) {
        buckets.keySet().retainAll(quotas.keySet());
        reclaimedAt.keySet().retainAll(quotas.keySet());
        quotas.forEach((tenant, quota) ->
                buckets.computeIfAbsent(tenant, name -> new Bucket(0)).set(now, quota.pool()));
    }

    /**
     * A tenant's pool.
     *
     * @param quota refill rate and capacity of the pool
     * @param available number of available tokens
     */
    public record Line(String tenant, Quota quota, double available) {}

    /** All pools, sorted by tenant name. */
    public List<Line> lines(double now) {
        List<Line> lines = new ArrayList<>(buckets.size());
        buckets.forEach((tenant, bucket) -> lines.add(new Line(tenant, bucket.quota(), bucket.available(now))));
        lines.sort(Comparator.comparing(Line::tenant));
        return lines;
    }

    /** Takes up to the given number of tokens from a tenant's pool and returns the number taken. */
    public int take(double now, String tenant, int count) {
        Bucket bucket = buckets.get(tenant);
        return bucket == null ? 0 : bucket.take(now, count);
    }

    /**
     * Starts a reclaim of a tenant's unused tokens from the balancers, unless one started recently; true if started.
     */
    public boolean startReclaim(double now, String tenant) {
        Double lastReclaimAt = reclaimedAt.get(tenant);
        if (!buckets.containsKey(tenant) || lastReclaimAt != null && now - lastReclaimAt < RECLAIM_INTERVAL_MS) {
            return false;
        }
        reclaimedAt.put(tenant, now);
        return true;
    }

    /** Adds tokens that a balancer returns. They are ignored unless a reclaim started recently. */
    public void returnTokens(double now, String tenant, int count) {
        Double lastReclaimAt = reclaimedAt.get(tenant);
        if (lastReclaimAt != null && now - lastReclaimAt < RECLAIM_INTERVAL_MS) {
            buckets.get(tenant).restore(now, count);
        }
    }
}

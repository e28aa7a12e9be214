package sablehinge.mesh.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The leader's pools of all tenants' quotas. */
public final class Pool {

    /** Unused tokens are reclaimed from other balancers again after so many ms, and no answer counts later. */
    private static final double PULL_MS = 100;

    private final Map<String, Bucket> buckets = new HashMap<>();
    private final Map<String, Double> pulledAt = new HashMap<>();

    /** Begins as leader: the one before may have given all out, so every pool begins empty. */
    public void begin() {
        buckets.clear();
        pulledAt.clear();
    }

    /** Sets the quotas that are in force, by tenant; those of others are gone. */
    public void adopt(double now, Map<String, Quota> quotas) {
        buckets.keySet().retainAll(quotas.keySet());
        pulledAt.keySet().retainAll(quotas.keySet());
        quotas.forEach((tenant, quota) ->
                buckets.computeIfAbsent(tenant, name -> new Bucket(0)).set(now, quota.pool()));
    }

    /**
     * A tenant's pool.
     *
     * @param quota what comes into it, and the most that it holds
     * @param left in it
     */
    public record Line(String tenant, Quota quota, double left) {}

    /** All pools, in the order of the tenants' names. */
    public List<Line> lines(double now) {
        List<Line> lines = new ArrayList<>(buckets.size());
        buckets.forEach((tenant, bucket) -> lines.add(new Line(tenant, bucket.part(), bucket.left(now))));
        lines.sort(Comparator.comparing(Line::tenant));
        return lines;
    }

    /** Gives up to so many tokens of a tenant's pool. */
    public int take(double now, String tenant, int count) {
        Bucket bucket = buckets.get(tenant);
        return bucket == null ? 0 : bucket.take(now, count);
    }

    /** Whether unused tokens of a tenant's quota are to be reclaimed from balancers now. */
    public boolean startReclaim(double now, String tenant) {
        Double last = pulledAt.get(tenant);
        if (!buckets.containsKey(tenant) || last != null && now - last < PULL_MS) {
            return false;
        }
        pulledAt.put(tenant, now);
        return true;
    }

    /** A balancer returns so many tokens; they count only soon after they were reclaimed. */
    public void returnTokens(double now, String tenant, int count) {
        Double last = pulledAt.get(tenant);
        if (last != null && now - last < PULL_MS) {
            buckets.get(tenant).restore(now, count);
        }
    }
}

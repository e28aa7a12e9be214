package sablehinge.dataplane.sidecar;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ObjIntConsumer;
import sablehinge.common.settings.LocalSettings;
import sablehinge.mesh.quota.Bucket;
import sablehinge.mesh.quota.Quota;
import sablehinge.mesh.routing.Configuration;

/** This balancer's even parts of the tenants' quotas, and what it takes from the pools beside them. */
final class Quotas {

    /** How long an answer from the pool is waited for, and how long an empty pool is not requested again, ms. */
    private static final double POOL_TIMEOUT_MS = 60;

    private static final double EMPTY_MS = 100;
    private static final double FIRST = 0.5;
    /** Claims fade over this time, in ms; tokens are requested a share of it ahead, and some are kept. */
    private static final double FADE_MS = 1_000;

    private static final double AHEAD = 0.1;
    private static final int MAX_AT_ONCE = 20;
    private static final double KEPT = 0.5;
    /** Balancers that are assumed until a complete roster shows how many there are. */
    private static final int ASSUMED_BALANCERS = 16;
    /**
     * For so long after another leader has begun, in ms, no fewer are reckoned with than before it: who is cut off from
     * it may be on no roster of its, and goes on with its part.
     */
    static final double HELD_MS = 48_000;

    private final LocalSettings.Bounds bounds;
    private final ObjIntConsumer<String> pool;
    private final Map<String, TenantMeter> metered = new HashMap<>();
    private int least = ASSUMED_BALANCERS;
    /** Whether the last roster was complete; one that is not begins another leader's. */
    private boolean wasComplete;

    private int held = 1;
    private double heldUntil = Double.NEGATIVE_INFINITY;
    private int balancers = ASSUMED_BALANCERS;

    /** What became of a request's claim on its tenant's quota. */
    enum Claim {
        GRANTED,
        REQUESTED,
        REFUSED
    }

    private static final class TenantMeter {
        Quota quota;
        final Bucket bucket = new Bucket(FIRST);
        double requestedAt = Double.NEGATIVE_INFINITY;
        double emptyUntil = Double.NEGATIVE_INFINITY;
        boolean requested;
        double claims;
        double claimedAt;

        double claims(double now) {
            return claims * Math.exp((claimedAt - now) / FADE_MS);
        }
    }

    /** Parts within the rule's bounds; {@code pool} asks for tokens, and {@link #given} brings them. */
    Quotas(LocalSettings.Bounds bounds, ObjIntConsumer<String> pool) {
        this.bounds = bounds;
        this.pool = pool;
    }

    /** Takes the tenants of a configuration over. */
    void adopt(double now, List<Configuration.Tenant> tenants) {
        Map<String, TenantMeter> before = new HashMap<>(metered);
        metered.clear();
        for (Configuration.Tenant tenant : tenants) {
            if (tenant.perSecond() > 0) {
                TenantMeter one = before.getOrDefault(tenant.name(), new TenantMeter());
                one.quota = Quota.of(
                        tenant.perSecond(),
                        tenant.burst(),
                        bounds.quotaWindowS(),
                        bounds.quotaExcess(),
                        bounds.quotaSlack());
                one.bucket.set(now, one.quota.even(balancers));
                metered.put(tenant.name(), one);
            }
        }
    }

    /**
     * Among how many balancers the even part is divided; to be set before the tenants that come with the same update,
     * as the first tokens are a part of the even part. A leader that has just begun has heard of few; until its roster
     * is complete, and for {@link #HELD_MS} at least, no fewer are reckoned with than the last complete one before it
     * held: all of them may still hold their parts.
     *
     * @param size balancers on the roster
     * @param complete whether all that live are on it
     */
    void divide(double now, int size, boolean complete) {
        if (wasComplete && !complete) {
            held = now < heldUntil ? Math.max(held, least) : least;
            heldUntil = now + HELD_MS;
        }
        wasComplete = complete;
        if (complete) {
            least = Math.max(1, size);
        }
        int among = Math.max(now < heldUntil ? Math.max(held, least) : least, size);
        if (among != balancers) {
            balancers = among;
            metered.values().forEach(one -> one.bucket.set(now, one.quota.even(balancers)));
        }
    }

    /** Claims a request's token; one that was requested is claimed again a little later. */
    Claim claim(double now, Configuration.Tenant tenant) {
        TenantMeter one = metered.get(tenant.name());
        if (one != null) {
            one.claims = one.claims(now) + (one.requested ? 0 : 1);
            one.claimedAt = now;
        }
        if (one == null || one.bucket.take(now, 1) == 1) {
            return Claim.GRANTED;
        }
        if (now < one.emptyUntil) {
            return Claim.REFUSED;
        }
        if (!one.requested) {
            one.requested = true;
            one.requestedAt = now;
            pool.accept(tenant.name(), (int) Math.max(1, Math.min(MAX_AT_ONCE, AHEAD * one.claims(now))));
        } else if (now - one.requestedAt > POOL_TIMEOUT_MS) {
            // Nobody answers: what the even part brings has to do.
            one.requested = false;
            one.emptyUntil = now + EMPTY_MS;
            return Claim.REFUSED;
        }
        return Claim.REQUESTED;
    }

    /** In how many ms a token comes by itself. */
    double next(Configuration.Tenant tenant) {
        TenantMeter one = metered.get(tenant.name());
        return one == null ? 0 : Math.max(1, one.bucket.msUntilToken());
    }

    /** Gives up what its own requests are not likely to need of a tenant's quota, for others to have. */
    int lend(double now, String tenant) {
        TenantMeter one = metered.get(tenant);
        return one == null ? 0 : one.bucket.releaseAbove(now, 1 + KEPT * one.claims(now));
    }

    /** The pool has answered. */
    void given(double now, String tenant, int count) {
        TenantMeter one = metered.get(tenant);
        if (one != null && one.requested) {
            one.requested = false;
            one.bucket.add(count);
            if (count == 0) {
                one.emptyUntil = now + EMPTY_MS;
            }
        }
    }
}

package sablehinge.dataplane.sidecar;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ObjIntConsumer;
import sablehinge.common.settings.LocalSettings;
import sablehinge.mesh.quota.Bucket;
import sablehinge.mesh.quota.Quota;
import sablehinge.mesh.routing.Configuration;

/** The tenants' quotas at this sidecar: an even part of each quota, plus tokens requested from the tenant's pool. */
final class Quotas {

    /** How long a request waits for the pool's response, and how long an empty pool is not requested again. */
    private static final double POOL_TIMEOUT_MS = 60;

    private static final double EMPTY_POOL_BACKOFF_MS = 100;
    private static final double INITIAL_TOKENS_SHARE = 0.5;
    /**
     * The time constant of the decaying count of claims; the share of that count requested in advance, and the share
     * retained when tokens are lent.
     */
    private static final double CLAIM_DECAY_MS = 1_000;

    private static final double PREFETCH_SHARE = 0.1;
    private static final int MAX_TOKENS_PER_REQUEST = 20;
    private static final double RETAINED_SHARE = 0.5;
    /** The number of sidecars assumed until a complete registry shows the actual number. */
    private static final int ASSUMED_BALANCERS = 16;
    /**
     * For this time after a leader change the assumed number of sidecars does not decrease: a sidecar that is
     * partitioned from the new leader may be missing in its registry and still use its part.
     */
    static final double LEADER_CHANGE_HOLD_MS = 48_000;

    private final LocalSettings.Bounds bounds;
    private final ObjIntConsumer<String> pool;
    private final Map<String, TenantMeter> meters = new HashMap<>();
    private int lastCompleteCount = ASSUMED_BALANCERS;
    /** Whether the last registry was complete. An incomplete meter after it marks a leader change. */
    private boolean wasComplete;

    private int heldCount = 1;
    private double holdUntil = Double.NEGATIVE_INFINITY;
    private int balancers = ASSUMED_BALANCERS;

    /** The result of a request's claim on its tenant's quota. */
    enum Claim {
        GRANTED,
        REQUESTED,
        REFUSED
    }

    private static final class TenantMeter {
        Quota quota;
        final Bucket bucket = new Bucket(INITIAL_TOKENS_SHARE);
        double requestedAt = Double.NEGATIVE_INFINITY;
        double emptyUntil = Double.NEGATIVE_INFINITY;
        boolean requested;
        double claims;
        double claimedAt;

        double claims(double now) {
            return claims * Math.exp((claimedAt - now) / CLAIM_DECAY_MS);
        }
    }

    /**
     * Creates quotas within the bounds of the rule; {@code pool} requests tokens, which arrive through
     * {@link #addTokens}.
     */
    Quotas(LocalSettings.Bounds bounds, ObjIntConsumer<String> pool) {
        this.bounds = bounds;
        this.pool = pool;
    }

    /** Adopts the tenants of a configuration. */
    void adopt(double now, List<Configuration.Tenant> tenants) {
        Map<String, TenantMeter> before = new HashMap<>(meters);
        meters.clear();
        for (Configuration.Tenant tenant : tenants) {
            if (tenant.perSecond() > 0) {
                TenantMeter meter = before.getOrDefault(tenant.name(), new TenantMeter());
                meter.quota = Quota.of(
                        tenant.perSecond(),
                        tenant.burst(),
                        bounds.quotaWindowS(),
                        bounds.quotaExcess(),
                        bounds.quotaSlack());
                meter.bucket.set(now, meter.quota.even(balancers));
                meters.put(tenant.name(), meter);
            }
        }
    }

    /**
     * Sets the number of sidecars among which the quotas are divided evenly. To be called before {@link #adopt} for the
     * same update, as the initial tokens are a share of the even part. A new leader knows few sidecars at first: until
     * its registry is complete, and for at lastCompleteCount {@link #LEADER_CHANGE_HOLD_MS}, the number does not fall
     * below that of the last complete registry before it, as all those sidecars may still use their parts.
     *
     * @param size the number of sidecars in the registry
     * @param complete whether the registry contains all live sidecars
     */
    void divide(double now, int size, boolean complete) {
        if (wasComplete && !complete) {
            heldCount = now < holdUntil ? Math.max(heldCount, lastCompleteCount) : lastCompleteCount;
            holdUntil = now + LEADER_CHANGE_HOLD_MS;
        }
        wasComplete = complete;
        if (complete) {
            lastCompleteCount = Math.max(1, size);
        }
        int newCount = Math.max(now < holdUntil ? Math.max(heldCount, lastCompleteCount) : lastCompleteCount, size);
        if (newCount != balancers) {
            balancers = newCount;
            meters.values().forEach(meter -> meter.bucket.set(now, meter.quota.even(balancers)));
        }
    }

    /** Claims a token for a request. After {@link Claim#REQUESTED} the caller repeats the claim a little later. */
    Claim claim(double now, Configuration.Tenant tenant) {
        TenantMeter meter = meters.get(tenant.name());
        if (meter != null) {
            meter.claims = meter.claims(now) + (meter.requested ? 0 : 1);
            meter.claimedAt = now;
        }
        if (meter == null || meter.bucket.take(now, 1) == 1) {
            return Claim.GRANTED;
        }
        if (now < meter.emptyUntil) {
            return Claim.REFUSED;
        }
        if (!meter.requested) {
            meter.requested = true;
            meter.requestedAt = now;
            pool.accept(tenant.name(), (int)
                    Math.max(1, Math.min(MAX_TOKENS_PER_REQUEST, PREFETCH_SHARE * meter.claims(now))));
        } else if (now - meter.requestedAt > POOL_TIMEOUT_MS) {
            // The pool does not respond: use only the tokens of the even part.
            meter.requested = false;
            meter.emptyUntil = now + EMPTY_POOL_BACKOFF_MS;
            return Claim.REFUSED;
        }
        return Claim.REQUESTED;
    }

    /** The time in ms until the even part yields the next token. */
    double msUntilNextToken(Configuration.Tenant tenant) {
        TenantMeter meter = meters.get(tenant.name());
        return meter == null ? 0 : Math.max(1, meter.bucket.msUntilToken());
    }

    /**
     * Lends the tokens of a tenant that local requests are not likely to need to other sidecars; returns their number.
     */
    int lend(double now, String tenant) {
        TenantMeter meter = meters.get(tenant);
        return meter == null ? 0 : meter.bucket.releaseAbove(now, 1 + RETAINED_SHARE * meter.claims(now));
    }

    /** Handles the response of a pool. */
    void addTokens(double now, String tenant, int count) {
        TenantMeter meter = meters.get(tenant);
        if (meter != null && meter.requested) {
            meter.requested = false;
            meter.bucket.add(count);
            if (count == 0) {
                meter.emptyUntil = now + EMPTY_POOL_BACKOFF_MS;
            }
        }
    }
}

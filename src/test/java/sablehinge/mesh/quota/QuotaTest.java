package sablehinge.mesh.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the shares of quotas at balancers and the pool on the leader. */
class QuotaTest {

    private final Bucket bucket = new Bucket(0.5);
    private final Pool pool = new Pool();

    @Test
    void bucketStartsHalfFullAndRefillsToItsCapacity() {
        bucket.set(0, new Quota(10, 8));
        assertEquals(4, bucket.take(0, 100));
        assertEquals(100, bucket.msUntilToken(), 1e-6);
        assertEquals(0, bucket.take(99, 1));
        assertEquals(1, bucket.take(100, 1));
        assertEquals(8, bucket.take(100_000, 100));
    }

    @Test
    void lowerCapacityDiscardsTokensAndHigherCapacityAddsNoneImmediately() {
        bucket.set(0, new Quota(10, 20));
        bucket.set(0, new Quota(10, 4));
        bucket.set(0, new Quota(10, 100));
        assertEquals(4, bucket.take(0, 100));
        bucket.set(0, new Quota(0, 100));
        assertEquals(Double.POSITIVE_INFINITY, bucket.msUntilToken());
    }

    @Test
    void tokensFromThePoolMayExceedTheCapacity() {
        bucket.set(0, new Quota(10, 2));
        bucket.add(3);
        assertEquals(4, bucket.take(50, 100));
    }

    /** The previous leader may have granted all tokens. */
    @Test
    void poolStartsEmptyWithEachLeader() {
        Map<String, Quota> quotas = Map.of("t", new Quota(100, 50));
        pool.adopt(0, quotas);
        assertEquals(0, pool.take(0, "t", 5));
        assertEquals(5, pool.take(1_000, "t", 5));
        pool.begin();
        pool.adopt(1_000, quotas);
        assertEquals(0, pool.take(1_000, "t", 5));
        assertEquals(0, pool.take(1_000, "other", 5));
    }

    /** Balancers without tokens request some from the pool, and the leader changes now and then. */
    @Test
    void admitsNoMoreThanTheRuleAllowsInAnyWindow() {
        SplittableRandom random = new SplittableRandom(20_261_202);
        double perS = 40;
        double burst = 40;
        double windowS = 5;
        Quota quota = Quota.of(perS, burst, windowS, 0.1, 20);
        double allowed = (perS * windowS + burst) * 1.1 + 20;
        for (int run = 0; run < 20; run++) {
            Bucket[] shares = new Bucket[11];
            for (int i = 0; i < shares.length; i++) {
                shares[i] = new Bucket(0.5);
                shares[i].set(0, quota.even(shares.length));
            }
            pool.begin();
            pool.adopt(0, Map.of("t", quota));
            double[] times = new double[4_000];
            int admitted = 0;
            for (double now = 0; now < 20_000; now += 2) {
                if (random.nextInt(2_000) == 0) {
                    pool.begin();
                    pool.adopt(now, Map.of("t", quota));
                }
                // Half of the time, all requests of the tenant arrive at one balancer.
                Bucket local = shares[now % 8_000 < 4_000 ? 3 : random.nextInt(shares.length)];
                if (local.take(now, 1) == 0) {
                    local.add(pool.take(now, "t", 1 + random.nextInt(4)));
                    if (local.take(now, 1) == 0) {
                        reclaim(now, shares, local);
                        continue;
                    }
                }
                times[admitted++] = now;
            }
            for (int first = 0, last = 0; last < admitted; last++) {
                while (times[last] - times[first] > windowS * 1_000) {
                    first++;
                }
                assertTrue(last - first + 1 <= allowed, last - first + 1 + " in a window of run " + run);
            }
            // Nearly the whole quota of the tenant is used.
            assertTrue(admitted > 0.95 * perS * 20, "only " + admitted);
        }
    }

    private void reclaim(double now, Bucket[] shares, Bucket requester) {
        if (pool.startReclaim(now, "t")) {
            for (Bucket other : shares) {
                pool.returnTokens(now, "t", other == requester ? 0 : other.releaseAbove(now, 1));
            }
        }
    }

    @Test
    void returnedTokensCountOnceAndOnlyShortlyAfterAReclaim() {
        pool.adopt(0, Map.of("t", new Quota(10, 20)));
        pool.returnTokens(0, "t", 5);
        assertEquals(0, pool.take(0, "t", 9), "no reclaim was started");
        assertTrue(pool.startReclaim(0, "t"));
        assertFalse(pool.startReclaim(99, "t"), "a reclaim was started just before");
        assertFalse(pool.startReclaim(0, "other"));
        pool.returnTokens(0, "t", 500);
        assertEquals(8, pool.take(0, "t", 99), "tokens above the capacity are discarded");
        pool.returnTokens(100, "t", 5);
        assertEquals(0, pool.take(100, "t", 9), "returned too late");
        bucket.set(0, new Quota(10, 20));
        assertEquals(7, bucket.releaseAbove(0, 2.5));
        assertEquals(0, bucket.releaseAbove(0, 2.5));
        assertEquals(3, bucket.take(0, 9));
    }

    /**
     * The even share of one balancer is about a tenth of that part of the quota; the shares of the other balancers must
     * be reclaimed.
     */
    @Test
    void tenantWithASingleBalancerGetsNearlyItsWholeQuota() {
        Quota quota = Quota.of(40, 40, 5, 0.1, 20);
        Bucket[] shares = new Bucket[11];
        for (int i = 0; i < shares.length; i++) {
            shares[i] = new Bucket(0);
            shares[i].set(0, quota.even(shares.length));
        }
        pool.adopt(0, Map.of("t", quota));
        int admitted = 0;
        for (double now = 0; now < 20_000; now += 5) {
            shares[0].add(shares[0].take(now, 1) == 1 ? 1 : pool.take(now, "t", 4));
            int taken = shares[0].take(now, 1);
            admitted += taken;
            if (taken == 0) {
                reclaim(now, shares, shares[0]);
            }
        }
        assertTrue(admitted > 0.95 * 40 * 20, "only " + admitted);
    }
}

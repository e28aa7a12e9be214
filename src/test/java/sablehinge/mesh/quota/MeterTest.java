package sablehinge.mesh.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The parts of quotas: what a balancer may let through, and what the pool gives. */
class MeterTest {

    private final Bucket bucket = new Bucket(0.5);
    private final Pool pool = new Pool();

    @Test
    void aBucketBeginsHalfFullAndFillsUpToItsBound() {
        bucket.set(0, new Quota(10, 8));
        assertEquals(4, bucket.take(0, 100));
        assertEquals(100, bucket.msUntilToken(), 1e-6);
        assertEquals(0, bucket.take(99, 1));
        assertEquals(1, bucket.take(100, 1));
        assertEquals(8, bucket.take(100_000, 100));
    }

    @Test
    void aSmallerPartLosesWhatIsBeyondItAndAGreaterOneBringsNothingAtOnce() {
        bucket.set(0, new Quota(10, 20));
        bucket.set(0, new Quota(10, 4));
        bucket.set(0, new Quota(10, 100));
        assertEquals(4, bucket.take(0, 100));
        bucket.set(0, new Quota(0, 100));
        assertEquals(Double.POSITIVE_INFINITY, bucket.msUntilToken());
    }

    @Test
    void whatWasTakenFromThePoolMayLieAboveTheBoundAndIsNotLost() {
        bucket.set(0, new Quota(10, 2));
        bucket.add(3);
        assertEquals(4, bucket.take(50, 100));
    }

    /** Whoever had the singleton role before may have given all out. */
    @Test
    void aPoolBeginsEmptyWithEachWhoTakesTheDutyOver() {
        Map<String, Quota> quotas = Map.of("t", new Quota(100, 50));
        pool.adopt(0, quotas);
        assertEquals(0, pool.take(0, "t", 5));
        assertEquals(5, pool.take(1_000, "t", 5));
        pool.begin();
        pool.adopt(1_000, quotas);
        assertEquals(0, pool.take(1_000, "t", 5));
        assertEquals(0, pool.take(1_000, "other", 5));
    }

    /** Balancers that come to run out ask the pool; the singleton role changes hands now and then. */
    @Test
    void overAnyWindowNoMoreGoesThroughThanTheRuleGrants() {
        SplittableRandom random = new SplittableRandom(20_261_202);
        double perS = 40;
        double burst = 40;
        double windowS = 5;
        Quota quota = Quota.of(perS, burst, windowS, 0.1, 20);
        double granted = (perS * windowS + burst) * 1.1 + 20;
        for (int run = 0; run < 20; run++) {
            Bucket[] even = new Bucket[11];
            for (int i = 0; i < even.length; i++) {
                even[i] = new Bucket(0.5);
                even[i].set(0, quota.even(even.length));
            }
            pool.begin();
            pool.adopt(0, Map.of("t", quota));
            double[] times = new double[4_000];
            int through = 0;
            for (double now = 0; now < 20_000; now += 2) {
                if (random.nextInt(2_000) == 0) {
                    pool.begin();
                    pool.adopt(now, Map.of("t", quota));
                }
                // Half of the time all that the tenant asks comes at one.
                Bucket own = even[now % 8_000 < 4_000 ? 3 : random.nextInt(even.length)];
                if (own.take(now, 1) == 0) {
                    own.add(pool.take(now, "t", 1 + random.nextInt(4)));
                    if (own.take(now, 1) == 0) {
                        pull(now, even, own);
                        continue;
                    }
                }
                times[through++] = now;
            }
            for (int first = 0, last = 0; last < through; last++) {
                while (times[last] - times[first] > windowS * 1_000) {
                    first++;
                }
                assertTrue(last - first + 1 <= granted, last - first + 1 + " in a window of run " + run);
            }
            // And of what the tenant owns, nearly all goes through.
            assertTrue(through > 0.95 * perS * 20, "only " + through);
        }
    }

    private void pull(double now, Bucket[] even, Bucket by) {
        if (pool.startReclaim(now, "t")) {
            for (Bucket other : even) {
                pool.returnTokens(now, "t", other == by ? 0 : other.releaseAbove(now, 1));
            }
        }
    }

    @Test
    void whatIsGivenUpCountsOnceAndOnlySoonAfterItWasAskedFor() {
        pool.adopt(0, Map.of("t", new Quota(10, 20)));
        pool.returnTokens(0, "t", 5);
        assertEquals(0, pool.take(0, "t", 9), "nobody was asked");
        assertTrue(pool.startReclaim(0, "t"));
        assertFalse(pool.startReclaim(99, "t"), "they were asked just now");
        assertFalse(pool.startReclaim(0, "other"));
        pool.returnTokens(0, "t", 500);
        assertEquals(8, pool.take(0, "t", 99), "above its bound nothing is kept");
        pool.returnTokens(100, "t", 5);
        assertEquals(0, pool.take(100, "t", 9), "too late");
        bucket.set(0, new Quota(10, 20));
        assertEquals(7, bucket.releaseAbove(0, 2.5));
        assertEquals(0, bucket.releaseAbove(0, 2.5));
        assertEquals(3, bucket.take(0, 9));
    }

    /** Its even part at the balancer of its clients is a tenth of it; the others' are of no use there. */
    @Test
    void aTenantWhoseRequestsAllComeAtOneBalancerGetsNearlyItsWholeQuota() {
        Quota quota = Quota.of(40, 40, 5, 0.1, 20);
        Bucket[] even = new Bucket[11];
        for (int i = 0; i < even.length; i++) {
            even[i] = new Bucket(0);
            even[i].set(0, quota.even(even.length));
        }
        pool.adopt(0, Map.of("t", quota));
        int through = 0;
        for (double now = 0; now < 20_000; now += 5) {
            even[0].add(even[0].take(now, 1) == 1 ? 1 : pool.take(now, "t", 4));
            int taken = even[0].take(now, 1);
            through += taken;
            if (taken == 0) {
                pull(now, even, even[0]);
            }
        }
        assertTrue(through > 0.95 * 40 * 20, "only " + through);
    }
}

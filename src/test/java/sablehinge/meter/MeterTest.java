package sablehinge.meter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The parts of quotas: what a balancer may let through, and what it is lent. */
class MeterTest {

    private static final double WHOLE = 1 - Shares.EVEN;
    private final Bucket bucket = new Bucket();
    private final Shares shares = new Shares();

    private int taken(double now) {
        int taken = 0;
        while (bucket.take(now)) {
            taken++;
        }
        return taken;
    }

    @Test
    void aBucketBeginsHalfFullAndFillsUpToItsBound() {
        bucket.set(0, 10, 8);
        assertEquals(4, taken(0));
        assertEquals(100, bucket.next(), 1e-6);
        assertFalse(bucket.take(99));
        assertTrue(bucket.take(100));
        assertEquals(8, taken(100_000));
    }

    @Test
    void aSmallerPartLosesWhatIsBeyondItAndAGreaterOneBringsNothingAtOnce() {
        bucket.set(0, 10, 20);
        bucket.set(0, 10, 4);
        bucket.set(0, 10, 100);
        assertEquals(4, taken(0));
        bucket.set(0, 0, 100);
        assertEquals(Double.POSITIVE_INFINITY, bucket.next());
    }

    @Test
    void whatIsLentFollowsWhatIsAskedFor() {
        shares.begin(0, true);
        shares.told(0, "a", "t", 30, 0);
        shares.told(0, "b", "t", 10, 0);
        assertEquals(WHOLE * 3 / 4, shares.lend(0, "a", "t"), 1e-9);
        assertEquals(WHOLE / 4, shares.lend(0, "b", "t"), 1e-9);
        assertEquals(0, shares.lend(0, "c", "t"));
        assertEquals(0, shares.lend(0, "a", "other"));
    }

    @Test
    void aPartThatWasLoweredCountsAsOutUntilItIsGivenBackOrItsTimeIsOver() {
        shares.begin(0, true);
        shares.told(0, "a", "t", 30, 0);
        assertEquals(WHOLE, shares.lend(0, "a", "t"), 1e-9);
        shares.told(10, "b", "t", 30, 0);
        assertEquals(0, shares.lend(10, "b", "t"), 1e-9);
        shares.told(20, "a", "t", 30, WHOLE);
        assertEquals(WHOLE / 2, shares.lend(20, "a", "t"), 1e-9);
        assertEquals(0, shares.lend(30, "b", "t"), 1e-9);
        shares.told(40, "a", "t", 30, WHOLE / 2);
        assertEquals(WHOLE / 2, shares.lend(40, "b", "t"), 1e-9);
        shares.told(10_000, "b", "t", 30, WHOLE / 2);
        assertEquals(WHOLE, shares.lend(10_000, "b", "t"), 1e-9);
    }

    @Test
    void whoTakesTheDutyOverLendsNothingNewUntilWhatWasLentBeforeIsOver() {
        shares.begin(0, false);
        shares.told(0, "a", "t", 30, WHOLE / 4);
        assertEquals(WHOLE / 4, shares.lend(0, "a", "t"), 1e-9);
        shares.told(Shares.LENT_MS, "b", "t", 30, 0);
        assertEquals(0, shares.lend(Shares.LENT_MS, "b", "t"), 1e-9);
        shares.told(2 * Shares.LENT_MS, "b", "t", 30, 0);
        assertEquals(WHOLE, shares.lend(2 * Shares.LENT_MS, "b", "t"), 1e-9);
    }

    /** Answers get lost and come late, demands change, the duty changes hands. */
    @Test
    void whatIsOutNeverExceedsTheWhole() {
        SplittableRandom random = new SplittableRandom(20_261_202);
        for (int run = 0; run < 50; run++) {
            shares.begin(0, true);
            double[] held = new double[4];
            double[] until = new double[4];
            double now = 0;
            for (int step = 0; step < 1_000; step++) {
                now += random.nextDouble() * 400;
                if (random.nextInt(100) == 0) {
                    shares.begin(now, false);
                }
                int node = random.nextInt(held.length);
                String name = "n" + node;
                double askedAt = now - random.nextDouble() * 300;
                shares.told(now, name, "t", random.nextInt(3) * 10, now < until[node] ? held[node] : 0);
                double lent = shares.lend(now, name, "t");
                if (random.nextInt(4) > 0) {
                    held[node] = lent;
                    until[node] = askedAt + Shares.LENT_MS;
                }
                double out = 0;
                for (int i = 0; i < held.length; i++) {
                    out += now < until[i] ? held[i] : 0;
                }
                assertTrue(out <= WHOLE + 1e-6, "out " + out + " at step " + step + " of run " + run);
            }
        }
    }
}

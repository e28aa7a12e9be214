package sablehinge.dataplane.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Random chains in virtual time: what budgets hold, and what they keep. */
class ChainTest {

    private static Chain.Plan drawn(long seed, boolean budgets, double strips) {
        SplittableRandom random = new SplittableRandom(seed);
        return new Chain.Plan(
                seed,
                2 + random.nextInt(4),
                1 + random.nextInt(3),
                budgets,
                0.3 + 2.2 * random.nextDouble(),
                1.3 + 1.7 * random.nextDouble(),
                0.2 * random.nextDouble(),
                0.1 * random.nextDouble(),
                strips,
                1_000);
    }

    /** 100 chains of 1,000 requests. */
    @Test
    void attemptsAreBoundedWhateverIsDrawn() {
        int requests = 0;
        for (long seed = 1; seed <= 100; seed++) {
            Chain chain = new Chain(drawn(seed, true, 0)).play();
            String what = chain.plan.toString();
            assertTrue(chain.mostLeaves() <= Chain.BOUND, () -> chain.mostLeaves() + " attempts: " + what);
            assertEquals(0, chain.unsafeTwice, what);
            assertEquals(0, chain.deadSent, what);
            assertTrue(chain.requested.stream().allMatch(one -> one.answers == 1), what);
            requests += chain.requested.size();
        }
        assertEquals(100_000, requests);
    }

    /** A tier that strips the header costs the exact bound, and no more than what is stated. */
    @Test
    void whereTheHeaderIsStrippedTheStatedBoundHolds() {
        for (long seed = 1; seed <= 40; seed++) {
            Chain chain = new Chain(drawn(seed, true, 0.3)).play();
            int tiers = chain.plan.tiers();
            // At each hop a stripped call has one attempt, and an attempt makes so many calls.
            double stated = Chain.BOUND * Math.pow(chain.plan.calls(), tiers - 1);
            for (Chain.TestRequest one : chain.requested) {
                assertTrue(one.leaves <= (one.stripped ? stated : Chain.BOUND), chain.plan.toString());
            }
            assertEquals(0, chain.unsafeTwice + chain.deadSent, chain.plan.toString());
        }
    }

    /** The check is one that can fail: without budgets attempts multiply. */
    @Test
    void withoutBudgetsAttemptsMultiply() {
        Chain.Plan plan = new Chain.Plan(5, 3, 1, false, 0.3, 1, 0.9, 0, 0, 1_000);
        Chain without = new Chain(plan).play();
        Chain with = new Chain(new Chain.Plan(5, 3, 1, true, 0.3, 1, 0.9, 0, 0, 1_000)).play();
        assertTrue(without.mostLeaves() > Chain.BOUND, "only " + without.mostLeaves());
        assertTrue(with.mostLeaves() <= Chain.BOUND && with.meanLeaves() < without.meanLeaves());
    }
}

package sablehinge.dataplane.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests attempt budgets in random chains of tiers in virtual time. */
class ChainTest {

    private static Chain.Plan randomPlan(long seed, boolean budgets, double stripRate) {
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
                stripRate,
                1_000);
    }

    /** 100 chains of 1,000 requests. */
    @Test
    void boundsAttemptsInRandomChains() {
        int requests = 0;
        for (long seed = 1; seed <= 100; seed++) {
            Chain chain = new Chain(randomPlan(seed, true, 0)).run();
            String description = chain.plan.toString();
            assertTrue(
                    chain.maxLastTierAttempts() <= Chain.BOUND,
                    () -> chain.maxLastTierAttempts() + " attempts: " + description);
            assertEquals(0, chain.unsafeTwice, description);
            assertEquals(0, chain.sentAfterDeadline, description);
            assertTrue(chain.requests.stream().allMatch(request -> request.answers == 1), description);
            requests += chain.requests.size();
        }
        assertEquals(100_000, requests);
    }

    /** A tier that strips the header loses the exact bound, but a stated higher bound holds. */
    @Test
    void holdsTheStatedBoundIfHeadersAreStripped() {
        for (long seed = 1; seed <= 40; seed++) {
            Chain chain = new Chain(randomPlan(seed, true, 0.3)).run();
            int tiers = chain.plan.tiers();
            // At each hop a stripped call has one attempt, and an attempt makes up to the planned number of calls.
            double statedBound = Chain.BOUND * Math.pow(chain.plan.calls(), tiers - 1);
            for (Chain.TestRequest request : chain.requests) {
                assertTrue(
                        request.lastTierAttempts <= (request.stripped ? statedBound : Chain.BOUND),
                        chain.plan.toString());
            }
            assertEquals(0, chain.unsafeTwice + chain.sentAfterDeadline, chain.plan.toString());
        }
    }

    /** Shows that the check can fail: without budgets, attempts multiply. */
    @Test
    void attemptsMultiplyWithoutBudgets() {
        Chain.Plan plan = new Chain.Plan(5, 3, 1, false, 0.3, 1, 0.9, 0, 0, 1_000);
        Chain without = new Chain(plan).run();
        Chain with = new Chain(new Chain.Plan(5, 3, 1, true, 0.3, 1, 0.9, 0, 0, 1_000)).run();
        assertTrue(without.maxLastTierAttempts() > Chain.BOUND, "only " + without.maxLastTierAttempts());
        assertTrue(with.maxLastTierAttempts() <= Chain.BOUND
                && with.meanLastTierAttempts() < without.meanLastTierAttempts());
    }
}

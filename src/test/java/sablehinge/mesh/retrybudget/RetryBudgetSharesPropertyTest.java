package sablehinge.mesh.retrybudget;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;

/** Checks that no window holds more extra arrivals than the rule grants, under random faults. */
class RetryBudgetSharesPropertyTest {

    private static final RetryBudgetRule RULE = new RetryBudgetRule(0.2, 10_000, 62);

    @Property(tries = 30, seed = "20261202", shrinking = ShrinkingMode.OFF)
    void noWindowExceedsRuleUnderRandomFaults(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SimulatedMesh mesh = new SimulatedMesh(seed, 1 + random.nextInt(16), RULE);
        mesh.lossRate = random.nextInt(3) * 0.1;
        mesh.duplicationRate = random.nextInt(3) * 0.1;
        mesh.maxTransitMs = new double[] {2, 2, 20, 300}[random.nextInt(4)];
        mesh.maxArrivalLagMs = 50 + random.nextDouble() * (RetryBudgetRule.MAX_ARRIVAL_LAG_MS - 50);
        // Few requests that keep retrying use up the slack; many requests use up the share earned by the ratio.
        boolean lowDemand = random.nextBoolean();
        mesh.maxAttempts = lowDemand ? 60 : 4;
        mesh.repeatsRefusedRetries = lowDemand;
        mesh.neverArrivingShare = random.nextDouble() * 0.1;
        for (int phase = 0; phase < 40; phase++) {
            injectFault(mesh, random, lowDemand ? 0.02 : 1);
            mesh.run(100 + random.nextInt(1_200));
        }
        assertTrue(mesh.excess() <= 0, "above the limit by " + mesh.excess());
        assertTrue(mesh.extraArrivals() > 0 || mesh.denied == 0, "no tokens were granted");
    }

    /** With a low failure rate, hardly any retry is refused, also if runs repeat their calls. */
    @Test
    void refusesAtMostTwoPercentAndFollowsDemandWithinOneSecondWithoutFaults() {
        for (int balancers : new int[] {11, 63}) {
            SimulatedMesh mesh =
                    new SimulatedMesh(5, balancers, new RetryBudgetRule(0.2, 10_000, balancers > 11 ? 192 : 62));
            mesh.callsPerRun = 0.5;
            mesh.spread(SimulatedMesh.ATLAS, 18 * balancers, 0.02);
            mesh.spread(SimulatedMesh.RELEVE, 4.5 * balancers, 0.02);
            mesh.run(20_000);
            double requested = mesh.granted() + mesh.denied;
            assertTrue(requested > 50 && mesh.denied <= 0.02 * requested, mesh.denied + " of " + requested);
            mesh.spread(SimulatedMesh.ATLAS, 0, 0.02);
            mesh.sidecars[0].demand.put(SimulatedMesh.ATLAS, 18.0 * balancers);
            mesh.run(10_000);
            assertTrue(
                    mesh.sidecars[0].secondsToFollow(20_000) < 1, "after " + mesh.sidecars[0].secondsToFollow(20_000));
            assertTrue(mesh.excess() <= 0, "above the limit by " + mesh.excess());
        }
    }

    private static void injectFault(SimulatedMesh mesh, SplittableRandom random, double demandFactor) {
        SimulatedMesh.Balancer balancer = mesh.sidecars[random.nextInt(mesh.sidecars.length)];
        String service = random.nextBoolean() ? SimulatedMesh.ATLAS : SimulatedMesh.RELEVE;
        switch (random.nextInt(7)) {
            case 0 -> balancer.partitioned = random.nextInt(3) == 0;
            case 1 -> mesh.loseLeader(random.nextInt(1_500));
            case 2 -> mesh.startLeader();
            case 3 -> balancer.restart();
            case 4 -> {
                balancer.demand.put(service, demandFactor * random.nextDouble() * 400);
                balancer.failureRate.put(service, 1.0);
            }
            default -> mesh.spread(service, demandFactor * random.nextInt(4) * 100, random.nextInt(3) * 0.45 + 0.1);
        }
    }
}

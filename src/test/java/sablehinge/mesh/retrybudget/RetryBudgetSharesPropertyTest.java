package sablehinge.mesh.retrybudget;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;

/** Whatever happens, no window holds more arrivals beyond the first than the rule grants. */
class RetryBudgetSharesPropertyTest {

    private static final RetryBudgetRule RULE = new RetryBudgetRule(0.2, 10_000, 62);

    @Property(tries = 30, seed = "20261202", shrinking = ShrinkingMode.OFF)
    void noWindowHoldsMoreThanTheRuleGrants(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SimulatedMesh world = new SimulatedMesh(seed, 1 + random.nextInt(16), RULE);
        world.loss = random.nextInt(3) * 0.1;
        world.doubling = random.nextInt(3) * 0.1;
        world.way = new double[] {2, 2, 20, 300}[random.nextInt(4)];
        world.lag = 50 + random.nextDouble() * (RetryBudgetRule.LAG_MS - 50);
        // Few requests that never give up ask for all that the slack has, many for all that the ratio has.
        boolean few = random.nextBoolean();
        world.most = few ? 60 : 4;
        world.stubborn = few;
        world.lost = random.nextDouble() * 0.1;
        for (int span = 0; span < 40; span++) {
            disturb(world, random, few ? 0.02 : 1);
            world.run(100 + random.nextInt(1_200));
        }
        assertTrue(world.excess() <= 0, "above the limit by " + world.excess());
        assertTrue(world.extras() > 0 || world.denied == 0, "nothing was given");
    }

    /** While few runs fail, hardly any is left without another try, also where calls are repeated with it. */
    @Test
    void onCalmDaysNextToNoneIsRefusedAndDemandIsFollowedWithinASecond() {
        for (int balancers : new int[] {11, 63}) {
            SimulatedMesh world =
                    new SimulatedMesh(5, balancers, new RetryBudgetRule(0.2, 10_000, balancers > 11 ? 192 : 62));
            world.calls = 0.5;
            world.spread(SimulatedMesh.ATLAS, 18 * balancers, 0.02);
            world.spread(SimulatedMesh.RELEVE, 4.5 * balancers, 0.02);
            world.run(20_000);
            double wanted = world.granted() + world.denied;
            assertTrue(wanted > 50 && world.denied <= 0.02 * wanted, world.denied + " of " + wanted);
            world.spread(SimulatedMesh.ATLAS, 0, 0.02);
            world.sidecars[0].demand.put(SimulatedMesh.ATLAS, 18.0 * balancers);
            world.run(10_000);
            assertTrue(world.sidecars[0].follows(20_000) < 1, "after " + world.sidecars[0].follows(20_000));
            assertTrue(world.excess() <= 0, "above the limit by " + world.excess());
        }
    }

    private static void disturb(SimulatedMesh world, SplittableRandom random, double part) {
        SimulatedMesh.Balancer one = world.sidecars[random.nextInt(world.sidecars.length)];
        String service = random.nextBoolean() ? SimulatedMesh.ATLAS : SimulatedMesh.RELEVE;
        switch (random.nextInt(7)) {
            case 0 -> one.cut = random.nextInt(3) == 0;
            case 1 -> world.leaderless(random.nextInt(1_500));
            case 2 -> world.leads();
            case 3 -> one.startedAt();
            case 4 -> {
                one.demand.put(service, part * random.nextDouble() * 400);
                one.failing.put(service, 1.0);
            }
            default -> world.spread(service, part * random.nextInt(4) * 100, random.nextInt(3) * 0.45 + 0.1);
        }
    }
}

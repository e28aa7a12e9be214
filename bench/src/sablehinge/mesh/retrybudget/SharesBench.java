package sablehinge.mesh.retrybudget;

import java.util.function.Consumer;

/**
 * Plays the deciders of the budget in virtual time, on calm days and bad ones, and judges what arrives by the words of
 * the rule. A refusal counts as inside where one more arrival would still have been within the rule.
 */
public final class SharesBench {

    private static final double LENGTH = 60_000;
    private static final double AT = 20_000;
    private static final double FOR = 10_000;
    private static final double PER_S = 18;
    private static final double MS_PER_S = 1_000;
    private static final double CALLS = 0.5;
    private static final double FAILS = 0.02;
    private static final double FAILS_HOT = 0.04;
    private static final double FAILS_MUCH = 0.4;
    /** The rule's slack on the small sites and on the large ones. */
    private static final double FEW = 62;

    private static final double MANY = 192;
    private static final int SMALL = 11;
    private static final int LARGE = 63;

    private SharesBench() {}

    private record Sum(double excess, int wanted, int inside, double follow) {}

    /** No arguments; the same figures each time. */
    public static void main(String[] arguments) {
        System.out.printf(
                "%-14s %9s %9s %9s %9s %9s %9s %9s %9s%n",
                "day", "balancers", "requests", "granted", "refused", "inside", "most/lim", "excess", "claims/s");
        double excess = Double.NEGATIVE_INFINITY;
        double follow = 0;
        int wanted = 0;
        int inside = 0;
        for (int balancers : new int[] {SMALL, LARGE}) {
            Sum calm = play("calm", balancers, world -> {});
            Sum hot = play("hot balancer", balancers, world -> {
                world.spread(SimulatedMesh.ATLAS, 0, FAILS);
                world.sidecars[0].demand.put(SimulatedMesh.ATLAS, PER_S * balancers);
                world.sidecars[0].failing.put(SimulatedMesh.ATLAS, FAILS_HOT);
            });
            Sum cut = play("one cut", balancers, world -> world.sidecars[0].cut = true);
            Sum lost = play("leader lost", balancers, world -> world.leaderless(MS_PER_S));
            Sum failing = play(
                    "failing 40%",
                    balancers, world -> world.spread(SimulatedMesh.ATLAS, PER_S * balancers, FAILS_MUCH));
            for (Sum one : new Sum[] {calm, hot, cut, lost, failing}) {
                excess = Math.max(excess, one.excess);
            }
            for (Sum one : new Sum[] {calm, hot, cut, lost}) {
                wanted += one.wanted;
                inside += one.inside;
            }
            follow = Math.max(follow, hot.follow);
        }
        System.out.printf(
                "{\"excess\":%.1f,\"refused_inside\":%.4f,\"follow_s\":%.2f}%n",
                Math.max(0, excess), (double) inside / wanted, follow);
    }

    private static Sum play(String name, int balancers, Consumer<SimulatedMesh> fault) {
        SimulatedMesh world =
                new SimulatedMesh(1, balancers, new RetryBudgetRule(0.2, 10_000, balancers > SMALL ? MANY : FEW));
        world.calls = CALLS;
        world.spread(SimulatedMesh.ATLAS, PER_S * balancers, FAILS);
        world.spread(SimulatedMesh.RELEVE, PER_S / 4 * balancers, FAILS);
        world.run(AT);
        fault.accept(world);
        world.run(FOR);
        double follow = world.sidecars[0].follows(AT);
        world.sidecars[0].cut = false;
        world.spread(SimulatedMesh.ATLAS, PER_S * balancers, FAILS);
        world.run(LENGTH - AT - FOR);
        int granted = world.granted();
        System.out.printf(
                "%-14s %9d %9d %9d %9d %9d %9.2f %9.1f %9.2f%n",
                name,
                balancers,
                world.requests(),
                granted,
                world.denied,
                world.deniedInside,
                world.fullest(),
                Math.max(0, world.excess()),
                world.trips / (LENGTH / MS_PER_S) / balancers);
        return new Sum(world.excess(), granted + world.denied, world.deniedInside, follow);
    }
}

package sablehinge.mesh.retrybudget;

import java.util.function.Consumer;

/**
 * Simulates the retry budget in virtual time, with and without faults, and checks the extra arrivals against the rule.
 * A refusal counts as inside if one more extra arrival would still have been within the rule.
 */
public final class SharesBench {

    private static final double DURATION_MS = 60_000;
    private static final double FAULT_AT_MS = 20_000;
    private static final double FAULT_DURATION_MS = 10_000;
    private static final double REQUESTS_PER_S = 18;
    private static final double MS_PER_S = 1_000;
    private static final double CALLS_PER_RUN = 0.5;
    private static final double FAILURE_RATE = 0.02;
    private static final double HOT_FAILURE_RATE = 0.04;
    private static final double HIGH_FAILURE_RATE = 0.4;
    /** The rule's slack with few and with many balancers. */
    private static final double SMALL_SLACK = 62;

    private static final double LARGE_SLACK = 192;
    private static final int SMALL_BALANCERS = 11;
    private static final int LARGE_BALANCERS = 63;

    private SharesBench() {}

    private record Result(double excess, int requested, int refusedWithinRule, double followS) {}

    /** Takes no arguments and prints the same figures on every run. */
    public static void main(String[] arguments) {
        System.out.printf(
                "%-14s %9s %9s %9s %9s %9s %9s %9s %9s%n",
                "day", "balancers", "requests", "granted", "refused", "inside", "most/lim", "excess", "claims/s");
        double excess = Double.NEGATIVE_INFINITY;
        double followS = 0;
        int requested = 0;
        int refusedWithinRule = 0;
        for (int balancers : new int[] {SMALL_BALANCERS, LARGE_BALANCERS}) {
            Result calm = simulate("calm", balancers, mesh -> {});
            Result hot = simulate("hot balancer", balancers, mesh -> {
                mesh.spread(SimulatedMesh.ATLAS, 0, FAILURE_RATE);
                mesh.sidecars[0].demand.put(SimulatedMesh.ATLAS, REQUESTS_PER_S * balancers);
                mesh.sidecars[0].failureRate.put(SimulatedMesh.ATLAS, HOT_FAILURE_RATE);
            });
            Result partitioned = simulate("one cut", balancers, mesh -> mesh.sidecars[0].partitioned = true);
            Result lost = simulate("leader lost", balancers, mesh -> mesh.loseLeader(MS_PER_S));
            Result failing = simulate(
                    "failing 40%",
                    balancers, mesh -> mesh.spread(SimulatedMesh.ATLAS, REQUESTS_PER_S * balancers, HIGH_FAILURE_RATE));
            for (Result result : new Result[] {calm, hot, partitioned, lost, failing}) {
                excess = Math.max(excess, result.excess);
            }
            for (Result result : new Result[] {calm, hot, partitioned, lost}) {
                requested += result.requested;
                refusedWithinRule += result.refusedWithinRule;
            }
            followS = Math.max(followS, hot.followS);
        }
        System.out.printf(
                "{\"excess\":%.1f,\"refused_inside\":%.4f,\"follow_s\":%.2f}%n",
                Math.max(0, excess), (double) refusedWithinRule / requested, followS);
    }

    private static Result simulate(String name, int balancers, Consumer<SimulatedMesh> fault) {
        SimulatedMesh mesh = new SimulatedMesh(
                1,
                balancers,
                new RetryBudgetRule(0.2, 10_000, balancers > SMALL_BALANCERS ? LARGE_SLACK : SMALL_SLACK));
        mesh.callsPerRun = CALLS_PER_RUN;
        mesh.spread(SimulatedMesh.ATLAS, REQUESTS_PER_S * balancers, FAILURE_RATE);
        mesh.spread(SimulatedMesh.RELEVE, REQUESTS_PER_S / 4 * balancers, FAILURE_RATE);
        mesh.run(FAULT_AT_MS);
        fault.accept(mesh);
        mesh.run(FAULT_DURATION_MS);
        double followS = mesh.sidecars[0].secondsToFollow(FAULT_AT_MS);
        mesh.sidecars[0].partitioned = false;
        mesh.spread(SimulatedMesh.ATLAS, REQUESTS_PER_S * balancers, FAILURE_RATE);
        mesh.run(DURATION_MS - FAULT_AT_MS - FAULT_DURATION_MS);
        int granted = mesh.granted();
        System.out.printf(
                "%-14s %9d %9d %9d %9d %9d %9.2f %9.1f %9.2f%n",
                name,
                balancers,
                mesh.requests(),
                granted,
                mesh.denied,
                mesh.deniedWithinRule,
                mesh.maxRuleUsage(),
                Math.max(0, mesh.excess()),
                mesh.claims / (DURATION_MS / MS_PER_S) / balancers);
        return new Result(mesh.excess(), granted + mesh.denied, mesh.deniedWithinRule, followS);
    }
}

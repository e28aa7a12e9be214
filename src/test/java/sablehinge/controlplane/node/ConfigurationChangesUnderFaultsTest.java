package sablehinge.controlplane.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Changes and reads by operators while nodes are partitioned, paused, killed and restarted, over many seeds. */
class ConfigurationChangesUnderFaultsTest {

    private static final int SEEDS = 150;
    private static final int STEPS = 160;

    private int acknowledgements;
    private int refusals;
    private int unclearAnswers;
    private int reads;
    private int installedSnapshots;

    private static void injectFault(ControlCluster cluster) {
        List<ControlCluster.Machine> machines = List.copyOf(cluster.machines.values());
        ControlCluster.Machine leader = cluster.leader();
        ControlCluster.Machine target = leader != null && cluster.random.nextBoolean()
                ? leader
                : machines.get(cluster.random.nextInt(machines.size()));
        switch (cluster.random.nextInt(8)) {
            case 0 -> cluster.partition(target, true, true);
            case 1 -> cluster.partition(target, true, false);
            case 2 -> cluster.partition(target, false, true);
            case 3 -> {
                if (target.up()) {
                    target.pause();
                }
            }
            case 4 -> {
                if (target.up()) {
                    target.kill();
                }
            }
            case 5 -> target.stall(300 + cluster.random.nextInt(3_000));
            default -> cluster.heal();
        }
    }

    private void run(long seed) {
        ControlCluster cluster = new ControlCluster(seed, seed % 2 == 0 ? 3 : 5);
        OperatorModel operators = new OperatorModel(cluster, "seed " + seed);
        operators.answerLossRate = 0.3;
        for (int step = 0; step < STEPS; step++) {
            if (cluster.random.nextInt(8) == 0) {
                injectFault(cluster);
            }
            operators.sendRandomChange();
            operators.readFromRandomNode();
            cluster.advance(cluster.random.nextInt(20) == 0 ? 4_000 : cluster.random.nextInt(120));
        }
        cluster.heal();
        operators.verifyFinalState();
        acknowledgements += operators.acknowledgements;
        refusals += operators.refusals;
        unclearAnswers += operators.unclearAnswers;
        reads += operators.reads;
        installedSnapshots += cluster.machines.values().stream()
                .mapToInt(machine -> machine.installedSnapshots)
                .sum();
    }

    @Test
    void operatorsObserveALinearHistoryUnderFaults() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            run(seed);
        }
        assertTrue(
                acknowledgements > 20 * SEEDS
                        && refusals > 5 * SEEDS
                        && unclearAnswers > 20 * SEEDS
                        && reads > 20 * SEEDS
                        && installedSnapshots > SEEDS,
                acknowledgements + " acknowledged, " + refusals + " refused, " + unclearAnswers + " unclear, " + reads
                        + " read, " + installedSnapshots + " snapshots installed");
    }
}

package sablehinge.controlplane.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Orders and reads of operators while machines are cut off, frozen, killed and started, by many seeds. */
class OrdersUnderFaultsTest {

    private static final int SEEDS = 150;
    private static final int STEPS = 160;

    private int acknowledgements;
    private int refusals;
    private int unclear;
    private int reads;
    private int installs;

    private static void fault(ControlCluster cluster) {
        List<ControlCluster.Machine> all = List.copyOf(cluster.machines.values());
        ControlCluster.Machine leader = cluster.leader();
        ControlCluster.Machine one =
                leader != null && cluster.random.nextBoolean() ? leader : all.get(cluster.random.nextInt(all.size()));
        switch (cluster.random.nextInt(8)) {
            case 0 -> cluster.cutOff(one, true, true);
            case 1 -> cluster.cutOff(one, true, false);
            case 2 -> cluster.cutOff(one, false, true);
            case 3 -> {
                if (one.up()) {
                    one.freeze();
                }
            }
            case 4 -> {
                if (one.up()) {
                    one.kill();
                }
            }
            case 5 -> one.stall(300 + cluster.random.nextInt(3_000));
            default -> cluster.heal();
        }
    }

    private void play(long seed) {
        ControlCluster cluster = new ControlCluster(seed, seed % 2 == 0 ? 3 : 5);
        OperatorModel operators = new OperatorModel(cluster, "seed " + seed);
        operators.lossOfAnswers = 0.3;
        for (int step = 0; step < STEPS; step++) {
            if (cluster.random.nextInt(8) == 0) {
                fault(cluster);
            }
            operators.sendSomething();
            operators.readAnywhere();
            cluster.run(cluster.random.nextInt(20) == 0 ? 4_000 : cluster.random.nextInt(120));
        }
        cluster.heal();
        operators.concludes();
        acknowledgements += operators.acknowledgements;
        refusals += operators.refusals;
        unclear += operators.unclear;
        reads += operators.reads;
        installs += cluster.machines.values().stream()
                .mapToInt(machine -> machine.installs)
                .sum();
    }

    @Test
    void whatOperatorsSeeIsTrueOfOneHistory() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            play(seed);
        }
        assertTrue(
                acknowledgements > 20 * SEEDS
                        && refusals > 5 * SEEDS
                        && unclear > 20 * SEEDS
                        && reads > 20 * SEEDS
                        && installs > SEEDS,
                acknowledgements + " acknowledged, " + refusals + " refused, " + unclear + " unclear, " + reads
                        + " read, " + installs + " installed");
    }
}

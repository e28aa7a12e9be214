package sablehinge.controlplane.raft;

import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import sablehinge.controlplane.raft.SimulatedCluster.Machine;

/**
 * Storms of large orders on links of all speeds, with members that are away for long, at random. Progress: after a
 * bounded time of calm, in which small orders go on, each member is within one snapshot interval of the leader; and it
 * has all some time after the last of them.
 */
class CatchUpRandomTest {

    private static final int SEEDS = Integer.getInteger("sablehinge.catchup.seeds", 16);
    private static final int[] BODIES = {8, 1_000, 10_000, 40_000};
    /** Of links, bytes per ms: 50 kB/s, which takes 0.8 s for a large order, to 100 MB/s. */
    private static final double[] SPEEDS = {50, 200, 2_000, 100_000};

    private static final double STORM = 5_000;
    /** Time for electing, for three states and what lies before them on the way, ms. */
    private static final double CALM = 5_000;

    private static final double BETWEEN_ORDERS = 200;

    @Test
    void inCalmEachMemberIsWithinASnapshotIntervalOfTheLeader() {
        LongStream.rangeClosed(1, SEEDS).parallel().forEach(CatchUpRandomTest::play);
    }

    private static void play(long seed) {
        Random random = new Random(seed * 7919);
        SlowLinkCluster cluster = new SlowLinkCluster(seed, seed % 4 == 0 ? 5 : 3);
        cluster.awaitLeader();
        cluster.claims.bodyBytes = BODIES[random.nextInt(BODIES.length)];
        cluster.compactionInterval = 5 + random.nextInt(40);
        cluster.lossRate = random.nextInt(3) == 0 ? 0.02 : 0;
        List<Machine> all = List.copyOf(cluster.machines.values());
        Machine slow = all.get(random.nextInt(all.size()));
        double speed = SPEEDS[random.nextInt(SPEEDS.length)];
        cluster.setBandwidth(slow, speed);
        Machine away = all.get(random.nextInt(all.size()));
        cluster.after(random.nextDouble() * STORM / 2, () -> away.kill(random.nextBoolean()));
        double end = cluster.now + STORM;
        while (cluster.now < end) {
            cluster.runWithLoad(random.nextDouble() * 1500, 8);
            fault(cluster, all.get(random.nextInt(all.size())), away, random);
        }
        calm(cluster, away, speed);
    }

    private static void fault(SlowLinkCluster cluster, Machine hit, Machine away, Random random) {
        double length = 50 + random.nextDouble() * 1500;
        switch (random.nextInt(5)) {
            case 0 -> hit.stall(length);
            case 1 -> {
                cluster.cutOff(hit);
                cluster.after(length, cluster.cuts::clear);
            }
            case 2 -> {
                if (hit != away && hit.up() && away.up()) {
                    hit.kill(random.nextBoolean());
                    cluster.after(length, () -> start(hit));
                }
            }
            default -> {}
        }
    }

    private static void start(Machine machine) {
        if (!machine.up()) {
            machine.start();
        }
    }

    private static void calm(SlowLinkCluster cluster, Machine away, double speed) {
        cluster.cuts.clear();
        cluster.lossRate = 0;
        for (Machine machine : cluster.machines.values()) {
            machine.stalledUntil = 0;
            start(machine);
        }
        start(away);
        int large = cluster.claims.bodyBytes;
        // What is under way as calm begins, of a log that nobody has cut yet, is of the storm's size.
        double atMost = CALM + 2.0 * large * cluster.compactionInterval / speed;
        cluster.claims.bodyBytes = Long.BYTES;
        for (double end = cluster.now + atMost; cluster.now < end; ) {
            cluster.runWithLoad(20, 1);
            cluster.runAndCompact(BETWEEN_ORDERS);
        }
        for (Machine machine : cluster.machines.values()) {
            cluster.check(
                    cluster.lag(machine) <= cluster.compactionInterval,
                    machine,
                    () -> cluster.lag(machine) + " entries behind after " + atMost + " ms of calm, cut every "
                            + cluster.compactionInterval + ", " + cluster.describe());
        }
        for (Machine machine : cluster.machines.values()) {
            cluster.awaitCaughtUp(machine, CALM);
        }
    }
}

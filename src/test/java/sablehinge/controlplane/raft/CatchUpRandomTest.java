package sablehinge.controlplane.raft;

import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import sablehinge.controlplane.raft.SimulatedCluster.Machine;

/**
 * Random load of large configurations on links of different speeds, with members that are down for a long time. Checks
 * progress: after a bounded time of light load without faults, each member lags by one compaction interval at most; and
 * it has all committed entries some time after the load ends.
 */
class CatchUpRandomTest {

    private static final int SEEDS = Integer.getInteger("sablehinge.catchup.seeds", 16);
    private static final int[] BODY_BYTES = {8, 1_000, 10_000, 40_000};
    /** Bandwidths of links, from 50 kB/s, at which a large configuration takes 0.8 s, to 100 MB/s. */
    private static final double[] BYTES_PER_MS = {50, 200, 2_000, 100_000};

    private static final double LOAD_MS = 5_000;
    /** Time for an election, and for the transfer of three states and the messages that precede them, ms. */
    private static final double RECOVERY_MS = 5_000;

    private static final double CALL_INTERVAL_MS = 200;

    @Test
    void laggingMembersCatchUpAfterRandomFaults() {
        LongStream.rangeClosed(1, SEEDS).parallel().forEach(CatchUpRandomTest::play);
    }

    private static void play(long seed) {
        Random random = new Random(seed * 7919);
        SlowLinkCluster cluster = new SlowLinkCluster(seed, seed % 4 == 0 ? 5 : 3);
        cluster.awaitLeader();
        cluster.claims.bodyBytes = BODY_BYTES[random.nextInt(BODY_BYTES.length)];
        cluster.compactionInterval = 5 + random.nextInt(40);
        cluster.lossRate = random.nextInt(3) == 0 ? 0.02 : 0;
        List<Machine> all = List.copyOf(cluster.machines.values());
        Machine slow = all.get(random.nextInt(all.size()));
        double bytesPerMs = BYTES_PER_MS[random.nextInt(BYTES_PER_MS.length)];
        cluster.setBandwidth(slow, bytesPerMs);
        Machine downMember = all.get(random.nextInt(all.size()));
        cluster.after(random.nextDouble() * LOAD_MS / 2, () -> downMember.kill(random.nextBoolean()));
        double end = cluster.now + LOAD_MS;
        while (cluster.now < end) {
            cluster.runWithLoad(random.nextDouble() * 1500, 8);
            fault(cluster, all.get(random.nextInt(all.size())), downMember, random);
        }
        recover(cluster, downMember, bytesPerMs);
    }

    private static void fault(SlowLinkCluster cluster, Machine hit, Machine downMember, Random random) {
        double durationMs = 50 + random.nextDouble() * 1500;
        switch (random.nextInt(5)) {
            case 0 -> hit.stall(durationMs);
            case 1 -> {
                cluster.cutOff(hit);
                cluster.after(durationMs, cluster.cuts::clear);
            }
            case 2 -> {
                if (hit != downMember && hit.up() && downMember.up()) {
                    hit.kill(random.nextBoolean());
                    cluster.after(durationMs, () -> start(hit));
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

    private static void recover(SlowLinkCluster cluster, Machine downMember, double bytesPerMs) {
        cluster.cuts.clear();
        cluster.lossRate = 0;
        for (Machine machine : cluster.machines.values()) {
            machine.stalledUntil = 0;
            start(machine);
        }
        start(downMember);
        int bodyBytes = cluster.claims.bodyBytes;
        // Entries in flight when the recovery starts may still be large, and their log is not compacted yet.
        double timeoutMs = RECOVERY_MS + 2.0 * bodyBytes * cluster.compactionInterval / bytesPerMs;
        cluster.claims.bodyBytes = Long.BYTES;
        for (double end = cluster.now + timeoutMs; cluster.now < end; ) {
            cluster.runWithLoad(20, 1);
            cluster.runAndCompact(CALL_INTERVAL_MS);
        }
        for (Machine machine : cluster.machines.values()) {
            cluster.check(
                    cluster.lag(machine) <= cluster.compactionInterval,
                    machine,
                    () -> cluster.lag(machine) + " entries behind after " + timeoutMs
                            + " ms of recovery, compaction interval " + cluster.compactionInterval + ", "
                            + cluster.describe());
        }
        for (Machine machine : cluster.machines.values()) {
            cluster.awaitCaughtUp(machine, RECOVERY_MS);
        }
    }
}

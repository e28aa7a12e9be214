package sablehinge.controlplane.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import sablehinge.controlplane.raft.SimulatedCluster.Machine;

/**
 * Load of large configurations, frequent compaction, slow links and members that were down: once the load ends, each
 * member has all committed entries within a bounded time.
 */
class CatchUpTest {

    private static final int LARGE_BYTES = 400_000;
    /** 1 MB/s. */
    private static final double SLOW_BYTES_PER_MS = 1_000;

    private static final double LOAD_MS = 10_000;
    private static final int CONCURRENT_CALLS = 8;

    private static SlowLinkCluster cluster(int bodyBytes) {
        SlowLinkCluster cluster = new SlowLinkCluster(1, 3);
        cluster.awaitLeader();
        cluster.claims.bodyBytes = bodyBytes;
        return cluster;
    }

    private static Machine follower(SlowLinkCluster cluster) {
        return cluster.others(cluster.leader()).get(0);
    }

    @Test
    void slowFollowerStaysInContactUnderLoadAndCatchesUpAfterwards() {
        SlowLinkCluster cluster = cluster(LARGE_BYTES);
        Machine slow = follower(cluster);
        cluster.setBandwidth(slow, SLOW_BYTES_PER_MS);
        long requested = cluster.votesRequested;
        cluster.runWithLoad(LOAD_MS, CONCURRENT_CALLS);
        assertTrue(cluster.committed.size() > 100, cluster.committed.size() + " entries");
        assertEquals(0, cluster.brokenConnections, "connections broke because too many bytes were waiting");
        assertTrue(cluster.longestWaitMs < 1000, cluster.longestWaitMs + " ms that a message waited for others");
        assertEquals(0, cluster.votesRequested - requested, "vote requests");
        double tookMs = cluster.awaitCaughtUp(slow, 3000);
        System.out.printf("slow link: longest wait %.0f ms, caught up after %.0f ms%n", cluster.longestWaitMs, tookMs);
    }

    @Test
    void keepsLeaderOnSlowLinksUnderLoad() {
        SlowLinkCluster cluster = cluster(LARGE_BYTES);
        Machine leader = cluster.leader();
        cluster.machines.values().forEach(machine -> cluster.setBandwidth(machine, SLOW_BYTES_PER_MS));
        long term = leader.raftStatus.term();
        cluster.runWithLoad(LOAD_MS, CONCURRENT_CALLS);
        assertEquals(term, cluster.leader().raftStatus.term());
        assertTrue(cluster.committed.size() > 12, cluster.committed.size() + " entries");
        for (Machine machine : cluster.others(leader)) {
            cluster.awaitCaughtUp(machine, 5000);
        }
    }

    @Test
    void returningFollowerCatchesUpOnSlowLinkDespiteFrequentCompaction() {
        SlowLinkCluster cluster = cluster(LARGE_BYTES);
        Machine downMember = follower(cluster);
        downMember.kill(true);
        cluster.runWithLoad(LOAD_MS, CONCURRENT_CALLS);
        cluster.setBandwidth(downMember, SLOW_BYTES_PER_MS / 10);
        downMember.start();
        // The transfer of one state takes 4 s on its link; the log is compacted some ten times in the meantime.
        cluster.runWithLoad(LOAD_MS, CONCURRENT_CALLS);
        assertTrue(downMember.applied > 100, "it has applied nothing after entry " + downMember.applied);
        assertEquals(0, cluster.brokenConnections, "connections broke because too many bytes were waiting");
        cluster.setBandwidth(downMember, SLOW_BYTES_PER_MS);
        cluster.awaitCaughtUp(downMember, 8000);
    }

    @Test
    void finishesSnapshotTransferAlthoughLogIsCompactedAgain() {
        SlowLinkCluster cluster = cluster(LARGE_BYTES);
        Machine downMember = follower(cluster);
        downMember.kill(true);
        cluster.runWithLoad(2000, CONCURRENT_CALLS);
        cluster.setBandwidth(downMember, SLOW_BYTES_PER_MS / 10);
        downMember.start();
        long before = cluster.snapshotBytes;
        double start = cluster.now;
        while (downMember.applied == 0) {
            cluster.runWithLoad(100, CONCURRENT_CALLS);
            cluster.check(cluster.now - start < 10_000, downMember, () -> "no snapshot installed within 10 s");
        }
        long stateBytes = LARGE_BYTES + 100_000;
        assertTrue(
                cluster.snapshotBytes - before < 2 * stateBytes,
                cluster.snapshotBytes - before + " bytes sent for a state of " + stateBytes);
    }

    @Test
    void heartbeatsPassBetweenSnapshotChunks() {
        SlowLinkCluster cluster = cluster(12_000_000);
        Machine downMember = follower(cluster);
        downMember.kill(true);
        cluster.runWithLoad(500, 1);
        cluster.runAndCompact(500);
        cluster.leader().compact();
        cluster.setBandwidth(downMember, SLOW_BYTES_PER_MS);
        cluster.largestMessageBytes = 0;
        cluster.longestWaitMs = 0;
        long requested = cluster.votesRequested;
        downMember.start();
        cluster.awaitCaughtUp(downMember, 30_000);
        assertTrue(cluster.largestMessageBytes < 1_100_000, "a message of " + cluster.largestMessageBytes + " bytes");
        assertTrue(cluster.longestWaitMs < 1000, cluster.longestWaitMs + " ms that a message waited for others");
        assertEquals(requested, cluster.votesRequested, "vote requests");
    }

    @Test
    void restartsSnapshotTransferAfterReceiverLosesPower() {
        SlowLinkCluster cluster = cluster(LARGE_BYTES);
        Machine downMember = follower(cluster);
        downMember.kill(true);
        cluster.runWithLoad(2000, CONCURRENT_CALLS);
        cluster.setBandwidth(downMember, SLOW_BYTES_PER_MS / 2);
        for (int i = 1; i <= 20; i++) {
            downMember.start();
            cluster.runWithLoad(i * 40, 1);
            downMember.powerLoss();
        }
        downMember.start();
        cluster.awaitCaughtUp(downMember, 6000);
    }

    @Test
    void newLeaderSendsItsOwnSnapshotAfterLeaderEndsDuringTransfer() {
        SlowLinkCluster cluster = cluster(LARGE_BYTES);
        Machine downMember = follower(cluster);
        downMember.kill(true);
        cluster.runWithLoad(2000, CONCURRENT_CALLS);
        cluster.setBandwidth(downMember, SLOW_BYTES_PER_MS / 2);
        downMember.start();
        cluster.runAndCompact(400);
        Machine first = cluster.leader();
        first.kill(true);
        // The follower on the slow link is needed for a majority.
        Machine second = cluster.others(first, downMember).get(0);
        double start = cluster.now;
        while (!second.leads()) {
            cluster.runAndCompact(20);
            cluster.check(cluster.now - start < 5000, second, cluster::describe);
        }
        cluster.awaitCaughtUp(downMember, 5000);
        first.start();
        cluster.awaitCaughtUp(first, 5000);
    }

    @Test
    void sendsNoSnapshotAfterShortOutage() {
        SlowLinkCluster cluster = cluster(Long.BYTES);
        Machine downMember = follower(cluster);
        cluster.runWithLoad(1000, CONCURRENT_CALLS);
        cluster.runAndCompact(500);
        long before = cluster.snapshotMessages;
        downMember.kill(true);
        long committedBefore = cluster.committed.size();
        cluster.runWithLoad(1000, CONCURRENT_CALLS);
        assertTrue(
                cluster.committed.size() - committedBefore > 3 * cluster.compactionInterval, "the log was compacted");
        downMember.start();
        cluster.awaitCaughtUp(downMember, 1000);
        assertEquals(before, cluster.snapshotMessages, "snapshot messages");
    }

    @Test
    void sendsLatestSnapshotAtOnceAfterLongOutage() {
        SlowLinkCluster cluster = cluster(LARGE_BYTES);
        Machine downMember = follower(cluster);
        downMember.kill(true);
        cluster.runWithLoad(LOAD_MS, CONCURRENT_CALLS);
        cluster.runAndCompact(1000);
        for (int i = 0; i < 20; i++) {
            downMember.start();
            // At most one heartbeat interval, and the transfer time of the state on a fast link.
            cluster.awaitCaughtUp(downMember, 300);
            downMember.kill(true);
            cluster.runWithLoad(1000, 2);
            cluster.runAndCompact(600 + 150 * i);
        }
    }

    @Test
    void resumesSnapshotTransferAfterReceiverDiskStall() {
        SlowLinkCluster cluster = cluster(LARGE_BYTES);
        Machine downMember = follower(cluster);
        downMember.kill(true);
        cluster.runWithLoad(2000, CONCURRENT_CALLS);
        cluster.setBandwidth(downMember, SLOW_BYTES_PER_MS);
        downMember.start();
        cluster.runAndCompact(150);
        downMember.stall(LOAD_MS);
        cluster.runWithLoad(LOAD_MS, CONCURRENT_CALLS);
        assertEquals(0, cluster.brokenConnections, "connections broke because too many bytes were waiting");
        cluster.awaitCaughtUp(downMember, 5000);
    }

    @Test
    void catchesUpDespiteMessageLoss() {
        SlowLinkCluster cluster = cluster(LARGE_BYTES);
        Machine downMember = follower(cluster);
        downMember.kill(true);
        cluster.runWithLoad(2000, CONCURRENT_CALLS);
        cluster.setBandwidth(downMember, SLOW_BYTES_PER_MS);
        cluster.lossRate = 0.2;
        downMember.start();
        cluster.runWithLoad(3000, 2);
        for (Machine machine : cluster.machines.values()) {
            cluster.awaitCaughtUp(machine, 15_000);
        }
    }
}

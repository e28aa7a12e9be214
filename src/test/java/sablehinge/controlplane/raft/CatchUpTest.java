package sablehinge.controlplane.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import sablehinge.controlplane.raft.SimulatedCluster.Machine;

/**
 * Storms of large orders, logs that are cut all the time, slow links and members that were away: in calm, each member
 * has all that was committed after a bounded time.
 */
class CatchUpTest {

    private static final int LARGE = 400_000;
    /** Bytes per ms: 1 MB/s. */
    private static final double SLOW = 1_000;

    private static final double STORM = 10_000;
    private static final int ORDERS = 8;

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
    void whoIsOnASlowLinkCatchesUpAfterAStormAndHearsTheLeaderInIt() {
        SlowLinkCluster cluster = cluster(LARGE);
        Machine slow = follower(cluster);
        cluster.setBandwidth(slow, SLOW);
        long requested = cluster.votesRequested;
        cluster.runWithLoad(STORM, ORDERS);
        assertTrue(cluster.committed.size() > 100, cluster.committed.size() + " entries");
        assertEquals(0, cluster.brokenConnections, "connections broke as too much waited");
        assertTrue(cluster.longestWaitMs < 1000, cluster.longestWaitMs + " ms a message waited for others");
        assertEquals(0, cluster.votesRequested - requested, "questions for votes");
        double took = cluster.awaitCaughtUp(slow, 3000);
        System.out.printf("slow link: longest wait %.0f ms, caught up after %.0f ms%n", cluster.longestWaitMs, took);
    }

    @Test
    void aCoreOnSlowLinksKeepsItsLeader() {
        SlowLinkCluster cluster = cluster(LARGE);
        Machine leader = cluster.leader();
        cluster.machines.values().forEach(machine -> cluster.setBandwidth(machine, SLOW));
        long term = leader.raftStatus.term();
        cluster.runWithLoad(STORM, ORDERS);
        assertEquals(term, cluster.leader().raftStatus.term());
        assertTrue(cluster.committed.size() > 12, cluster.committed.size() + " entries");
        for (Machine machine : cluster.others(leader)) {
            cluster.awaitCaughtUp(machine, 5000);
        }
    }

    @Test
    void whoWasAwayForTheWholeStormCatchesUpOnASlowLinkWhileTheLogIsCut() {
        SlowLinkCluster cluster = cluster(LARGE);
        Machine away = follower(cluster);
        away.kill(true);
        cluster.runWithLoad(STORM, ORDERS);
        cluster.setBandwidth(away, SLOW / 10);
        away.start();
        // One state takes 4 s on its link; the log is cut some ten times meanwhile.
        cluster.runWithLoad(STORM, ORDERS);
        assertTrue(away.applied > 100, "it has nothing newer than entry " + away.applied);
        assertEquals(0, cluster.brokenConnections, "connections broke as too much waited");
        cluster.setBandwidth(away, SLOW);
        cluster.awaitCaughtUp(away, 8000);
    }

    @Test
    void aSnapshotUnderWayIsFinishedThoughTheLogIsCutAgain() {
        SlowLinkCluster cluster = cluster(LARGE);
        Machine away = follower(cluster);
        away.kill(true);
        cluster.runWithLoad(2000, ORDERS);
        cluster.setBandwidth(away, SLOW / 10);
        away.start();
        long before = cluster.snapshotBytes;
        double start = cluster.now;
        while (away.applied == 0) {
            cluster.runWithLoad(100, ORDERS);
            cluster.check(cluster.now - start < 10_000, away, () -> "no snapshot for 10 s");
        }
        long state = LARGE + 100_000;
        assertTrue(
                cluster.snapshotBytes - before < 2 * state,
                cluster.snapshotBytes - before + " bytes sent for a state of " + state);
    }

    @Test
    void aSnapshotIsSentInPartsThatLetHeartbeatsThrough() {
        SlowLinkCluster cluster = cluster(12_000_000);
        Machine away = follower(cluster);
        away.kill(true);
        cluster.runWithLoad(500, 1);
        cluster.runAndCompact(500);
        cluster.leader().compact();
        cluster.setBandwidth(away, SLOW);
        cluster.largestMessageBytes = 0;
        cluster.longestWaitMs = 0;
        long requested = cluster.votesRequested;
        away.start();
        cluster.awaitCaughtUp(away, 30_000);
        assertTrue(cluster.largestMessageBytes < 1_100_000, "a message of " + cluster.largestMessageBytes + " bytes");
        assertTrue(cluster.longestWaitMs < 1000, cluster.longestWaitMs + " ms a message waited for others");
        assertEquals(requested, cluster.votesRequested, "questions for votes");
    }

    @Test
    void whoLosesPowerAmidASnapshotGetsItFromTheStart() {
        SlowLinkCluster cluster = cluster(LARGE);
        Machine away = follower(cluster);
        away.kill(true);
        cluster.runWithLoad(2000, ORDERS);
        cluster.setBandwidth(away, SLOW / 2);
        for (int i = 1; i <= 20; i++) {
            away.start();
            cluster.runWithLoad(i * 40, 1);
            away.powerLoss();
        }
        away.start();
        cluster.awaitCaughtUp(away, 6000);
    }

    @Test
    void aLeaderThatEndsAmidASnapshotIsFollowedByOneThatSendsItsOwn() {
        SlowLinkCluster cluster = cluster(LARGE);
        Machine away = follower(cluster);
        away.kill(true);
        cluster.runWithLoad(2000, ORDERS);
        cluster.setBandwidth(away, SLOW / 2);
        away.start();
        cluster.runAndCompact(400);
        Machine first = cluster.leader();
        first.kill(true);
        // Only with the one on the slow link is there a majority.
        Machine second = cluster.others(first, away).get(0);
        double start = cluster.now;
        while (!second.leads()) {
            cluster.runAndCompact(20);
            cluster.check(cluster.now - start < 5000, second, cluster::describe);
        }
        cluster.awaitCaughtUp(away, 5000);
        first.start();
        cluster.awaitCaughtUp(first, 5000);
    }

    @Test
    void whoWasAwayForAMomentNeedsNoSnapshot() {
        SlowLinkCluster cluster = cluster(Long.BYTES);
        Machine away = follower(cluster);
        cluster.runWithLoad(1000, ORDERS);
        cluster.runAndCompact(500);
        long before = cluster.snapshotMessages;
        away.kill(true);
        long gone = cluster.committed.size();
        cluster.runWithLoad(1000, ORDERS);
        assertTrue(cluster.committed.size() - gone > 3 * cluster.compactionInterval, "the log was cut");
        away.start();
        cluster.awaitCaughtUp(away, 1000);
        assertEquals(before, cluster.snapshotMessages, "messages of snapshots");
    }

    @Test
    void whoComesBackAfterLongIsSentTheNewestStateAtOnce() {
        SlowLinkCluster cluster = cluster(LARGE);
        Machine away = follower(cluster);
        away.kill(true);
        cluster.runWithLoad(STORM, ORDERS);
        cluster.runAndCompact(1000);
        for (int i = 0; i < 20; i++) {
            away.start();
            // At most a heartbeat, and the time that the state takes on a fast link.
            cluster.awaitCaughtUp(away, 300);
            away.kill(true);
            cluster.runWithLoad(1000, 2);
            cluster.runAndCompact(600 + 150 * i);
        }
    }

    @Test
    void whoseDiskHangsAmidASnapshotGoesOnWhenItAnswers() {
        SlowLinkCluster cluster = cluster(LARGE);
        Machine away = follower(cluster);
        away.kill(true);
        cluster.runWithLoad(2000, ORDERS);
        cluster.setBandwidth(away, SLOW);
        away.start();
        cluster.runAndCompact(150);
        away.stall(STORM);
        cluster.runWithLoad(STORM, ORDERS);
        assertEquals(0, cluster.brokenConnections, "connections broke as too much waited");
        cluster.awaitCaughtUp(away, 5000);
    }

    @Test
    void lostMessagesDelayButDoNotStop() {
        SlowLinkCluster cluster = cluster(LARGE);
        Machine away = follower(cluster);
        away.kill(true);
        cluster.runWithLoad(2000, ORDERS);
        cluster.setBandwidth(away, SLOW);
        cluster.lossRate = 0.2;
        away.start();
        cluster.runWithLoad(3000, 2);
        for (Machine machine : cluster.machines.values()) {
            cluster.awaitCaughtUp(machine, 15_000);
        }
    }
}

package sablehinge.controlplane.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sablehinge.controlplane.raft.SimulatedCluster.Machine;

/** Failures that the core must tolerate, each with several seeds. */
class RaftNodeTest {

    private static final int SEEDS = 20;

    private interface Scenario {
        void run(SimulatedCluster cluster);
    }

    private static void forEachSeed(Scenario scenario) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimulatedCluster cluster = new SimulatedCluster(seed, 3);
            cluster.awaitLeader();
            scenario.run(cluster);
        }
    }

    private static boolean isCommittedMember(SimulatedCluster cluster, Machine machine) {
        return cluster.committedMembers.contains(machine.self);
    }

    /**
     * Checks the check of {@link SimulatedCluster} itself: it must not pass only because no membership change occurred.
     */
    @Test
    void simulatedClusterRejectsLeaderThatWasNeverAVoter() {
        SimulatedCluster cluster = new SimulatedCluster(1, 3);
        Machine newMember = cluster.add("10.0.1.1:1");
        newMember.startAsNewMember();
        RaftStatus leading = new RaftStatus(RaftStatus.Role.LEADER, 1_000, newMember.self, cluster.committedMembers);
        assertThrows(AssertionError.class, () -> newMember.onStatusChanged(leading));
        Machine founder = cluster.machines.values().iterator().next();
        founder.onStatusChanged(new RaftStatus(RaftStatus.Role.LEADER, 1_001, founder.self, cluster.committedMembers));
    }

    @Test
    void commitsInAFewMillisecondsAndAllMembersKnowTheLeader() {
        forEachSeed(cluster -> {
            double tookMs = cluster.commitOne(100);
            assertTrue(tookMs <= 10, tookMs + " ms");
            cluster.run(200);
            Machine leader = cluster.leader();
            for (Machine machine : cluster.machines.values()) {
                assertEquals(leader.self, machine.raftStatus.leader());
                assertEquals(cluster.committed.size(), machine.applied);
            }
        });
    }

    @Test
    void keepsLeaderWithoutFaults() {
        forEachSeed(cluster -> {
            long term = cluster.leader().raftStatus.term();
            cluster.run(20_000);
            assertEquals(term, cluster.leader().raftStatus.term());
        });
    }

    @Test
    void commitSurvivesWipeOfOneDiskAndPowerLossOfTheOthers() {
        forEachSeed(cluster -> {
            Machine leader = cluster.leader();
            Machine lagging = cluster.others(leader).get(0);
            lagging.stall(1000);
            leader.propose();
            int before = cluster.committed.size();
            while (cluster.committed.size() == before) {
                cluster.run(0.1);
            }
            // The entry is on two disks only; one of them is wiped now, and both other machines lose power.
            Machine wiped = cluster.seed % 2 == 0
                    ? leader
                    : cluster.others(leader, lagging).get(0);
            wiped.wipe();
            for (Machine other : cluster.others(wiped)) {
                other.stalledUntil = 0;
                other.powerLoss();
            }
            cluster.others(wiped).forEach(Machine::start);
            wiped.startAsNewMember();
            cluster.awaitLeader();
            cluster.commitOne(2000);
            cluster.run(6000);
            assertTrue(isCommittedMember(cluster, wiped), "the wiped machine is a member again");
            assertEquals(3, cluster.committedMembers.size());
            assertEquals(cluster.committed.size(), wiped.applied);
        });
    }

    @Test
    void wipedMemberDoesNotVoteBeforeItRejoins() {
        forEachSeed(cluster -> {
            Machine leader = cluster.leader();
            List<Machine> others = cluster.others(leader);
            // The second follower lacks the entry that the first follower and the leader commit.
            cluster.cutOff(others.get(1));
            cluster.commitOne(100);
            int size = cluster.committed.size();
            leader.kill(false);
            others.get(0).wipe();
            others.get(0).startAsNewMember();
            cluster.cuts.clear();
            cluster.run(20_000);
            assertEquals(size, cluster.committed.size(), "a wiped member counted towards a majority");
            leader.start();
            cluster.commitOne(5000);
        });
    }

    @Test
    void newMachineReplacesDeadMember() {
        forEachSeed(cluster -> {
            Machine dead = cluster.seed % 2 == 0
                    ? cluster.leader()
                    : cluster.others(cluster.leader()).get(0);
            dead.kill(true);
            Machine newMember = cluster.add("10.0.1.1:1");
            newMember.startAsNewMember();
            cluster.run(9000);
            assertTrue(isCommittedMember(cluster, newMember));
            assertFalse(isCommittedMember(cluster, dead));
            cluster.commitOne(500);
            // With the new member the core tolerates another failure.
            cluster.others(dead, newMember).get(0).kill(true);
            cluster.commitOne(4000);
        });
    }

    @Test
    void newMachineReplacesMemberThatFailsLater() {
        forEachSeed(cluster -> {
            List<Member> before = cluster.committedMembers;
            Machine newMember = cluster.add("10.0.1.1:1");
            newMember.startAsNewMember();
            cluster.run(8000);
            assertEquals(before, cluster.committedMembers);
            assertEquals(RaftStatus.Role.OUTSIDER, newMember.raftStatus.role());
            assertEquals(cluster.leader().self, newMember.raftStatus.leader());
            Machine dead = cluster.others(newMember, cluster.leader()).get(0);
            dead.kill(true);
            cluster.run(5000);
            assertTrue(isCommittedMember(cluster, newMember));
        });
    }

    @Test
    void replacedMemberReturnsAsOutsider() {
        forEachSeed(cluster -> {
            Machine dead = cluster.others(cluster.leader()).get(0);
            dead.kill(false);
            Machine newMember = cluster.add("10.0.1.1:1");
            newMember.startAsNewMember();
            cluster.run(9000);
            long term = cluster.leader().raftStatus.term();
            dead.start();
            cluster.run(5000);
            assertEquals(RaftStatus.Role.OUTSIDER, dead.raftStatus.role());
            assertEquals(term, cluster.leader().raftStatus.term(), "the returning machine disrupted the leader");
            newMember.kill(true);
            cluster.run(6000);
            assertTrue(isCommittedMember(cluster, dead), "it replaces the next member that fails");
            assertEquals(RaftStatus.Role.FOLLOWER, dead.raftStatus.role());
        });
    }

    @Test
    void commitsWithoutStalledLeaderDisk() {
        forEachSeed(cluster -> {
            Machine leader = cluster.leader();
            leader.stall(5000);
            for (int i = 0; i < 160; i++) {
                double tookMs = cluster.commitOne(300);
                assertTrue(tookMs <= 60, tookMs + " ms at " + i);
                cluster.run(20);
            }
            assertTrue(cluster.leader() != leader, "it has transferred its leadership");
            assertEquals(3, cluster.committedMembers.size());
        });
    }

    @Test
    void stalledFollowerDiskDelaysNoCommitAndFollowerRemainsMember() {
        forEachSeed(cluster -> {
            Machine follower = cluster.others(cluster.leader()).get(0);
            List<Member> before = cluster.committedMembers;
            Machine learner = cluster.add("10.0.1.1:1");
            learner.startAsNewMember();
            follower.stall(6000);
            for (int i = 0; i < 200; i++) {
                double tookMs = cluster.commitOne(300);
                assertTrue(tookMs <= 10, tookMs + " ms at " + i);
                cluster.run(20);
            }
            assertEquals(before, cluster.committedMembers);
            cluster.run(3000);
            assertEquals(cluster.committed.size(), follower.applied);
        });
    }

    @Test
    void replacesLeaderWhoseOutgoingMessagesAreLost() {
        forEachSeed(cluster -> {
            Machine leader = cluster.leader();
            cluster.others(leader).forEach(other -> cluster.cut(leader, other));
            cluster.run(3000);
            assertNotNull(cluster.leader());
            assertTrue(cluster.leader() != leader);
            cluster.commitOne(100);
        });
    }

    @Test
    void replacesLeaderWhoseIncomingMessagesAreLost() {
        forEachSeed(cluster -> {
            Machine leader = cluster.leader();
            cluster.others(leader).forEach(other -> cluster.cut(other, leader));
            cluster.run(4000);
            assertTrue(cluster.leader() != leader);
            cluster.commitOne(100);
        });
    }

    @Test
    void memberWithoutIncomingMessagesDoesNotDisruptLeader() {
        forEachSeed(cluster -> {
            Machine leader = cluster.leader();
            long term = leader.raftStatus.term();
            Machine isolated = cluster.others(leader).get(0);
            cluster.others(isolated).forEach(other -> cluster.cut(other, isolated));
            cluster.run(5000);
            assertEquals(term, cluster.leader().raftStatus.term());
            cluster.cuts.clear();
            cluster.run(2000);
            assertEquals(term, cluster.leader().raftStatus.term());
            assertEquals(cluster.committed.size(), isolated.applied);
        });
    }

    @Test
    void isolatedLeaderNeitherCommitsNorConfirmsBarriers() {
        forEachSeed(cluster -> {
            Machine leader = cluster.leader();
            cluster.cutOff(leader);
            leader.barrier();
            assertTrue(leader.propose());
            cluster.run(2500);
            assertEquals(1, leader.rejected.size());
            assertFalse(leader.propose());
            cluster.commitOne(100);
            Machine next = cluster.leader();
            next.barrier();
            cluster.run(20);
            assertEquals(1, next.confirmed.size());
            cluster.cuts.clear();
            cluster.run(2000);
            assertEquals(cluster.committed.size(), leader.applied);
        });
    }

    @Test
    void recoversAfterPowerLossOfAllMachines() {
        forEachSeed(cluster -> {
            for (int i = 0; i < 30; i++) {
                cluster.leader().propose();
                cluster.run(0.5);
            }
            int size = cluster.committed.size();
            cluster.machines.values().forEach(Machine::powerLoss);
            cluster.machines.values().forEach(Machine::start);
            double start = cluster.now;
            cluster.awaitLeader();
            assertTrue(cluster.now - start < 3000);
            assertTrue(cluster.committed.size() > size);
            cluster.run(500);
            cluster.machines.values().forEach(machine -> assertEquals(cluster.committed.size(), machine.applied));
        });
    }

    @Test
    void returningMemberInstallsSnapshotAfterLongOutage() {
        forEachSeed(cluster -> {
            Machine downMember = cluster.others(cluster.leader()).get(0);
            downMember.kill(false);
            for (int i = 0; i < 400; i++) {
                cluster.leader().propose();
                cluster.run(2);
            }
            cluster.run(100);
            downMember.start();
            cluster.run(2000);
            assertEquals(cluster.committed.size(), downMember.applied);
        });
    }

    @Test
    void rejectsProposalsBeyondUncommittedLimit() {
        SimulatedCluster cluster = new SimulatedCluster(1, 3);
        Machine leader = cluster.awaitLeader();
        cluster.cutOff(leader);
        int accepted = 0;
        while (leader.propose()) {
            accepted++;
        }
        assertEquals(RaftConfig.defaults().maxUncommittedEntries(), accepted);
    }

    @Test
    void coreOfFiveToleratesTwoFailures() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimulatedCluster cluster = new SimulatedCluster(seed, 5);
            Machine leader = cluster.awaitLeader();
            leader.wipe();
            cluster.others(leader).get(0).kill(true);
            cluster.commitOne(4000);
            leader.startAsNewMember();
            cluster.run(6000);
            assertTrue(isCommittedMember(cluster, leader));
            assertEquals(5, cluster.committedMembers.size());
        }
    }
}

package sablehinge.controlplane.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sablehinge.controlplane.raft.SimulatedCluster.Machine;

/**
 * Membership changes as deployments cause them: the core is founded by the seed machines, grows to all machines, and
 * has members replaced, wiped, restarted and lost.
 */
class RaftNodeMembershipTest {

    private static final int SEEDS = 20;
    /** Time within which the core must have all its voters once all machines run, ms; deployments permit 4 s. */
    private static final double COMPLETE_WITHIN_MS = 2500;

    private interface Scenario {
        void run(SimulatedCluster cluster);
    }

    /** Runs a scenario on a core of three founders, with two more machines if it must tolerate two failures. */
    private static void forEachSeed(int failures, Scenario scenario) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimulatedCluster cluster = new SimulatedCluster(seed, 3, failures);
            for (int i = 3; i < 2 * failures + 1; i++) {
                cluster.add("10.0.0." + i + ":1").startAsNewMember();
            }
            awaitVoters(cluster, 2 * failures + 1, 5000);
            scenario.run(cluster);
        }
    }

    private static int voters(int failures) {
        return 2 * failures + 1;
    }

    /** Runs until there are so many committed voters, all on running machines; returns the time in ms that it took. */
    private static double awaitVoters(SimulatedCluster cluster, int count, double timeoutMs) {
        double start = cluster.now;
        while (!isComplete(cluster, count)) {
            assertTrue(
                    cluster.now - start < timeoutMs,
                    "seed " + cluster.seed + ": " + cluster.committedMembers + "\n" + cluster.describe());
            cluster.run(5);
        }
        return cluster.now - start;
    }

    private static boolean isComplete(SimulatedCluster cluster, int count) {
        return cluster.committedMembers.size() == count
                && cluster.leader() != null
                && cluster.committedMembers.stream().allMatch(member -> cluster.machines.values().stream()
                        .anyMatch(machine -> machine.up() && machine.self.equals(member)));
    }

    private static List<Machine> voterMachines(SimulatedCluster cluster) {
        return cluster.machines.values().stream()
                .filter(machine -> cluster.committedMembers.contains(machine.self))
                .toList();
    }

    private static boolean isCommittedMember(SimulatedCluster cluster, Machine machine) {
        return cluster.committedMembers.contains(machine.self);
    }

    @Test
    void growsFromThreeFoundersToFive() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimulatedCluster cluster = new SimulatedCluster(seed, 3, 2);
            cluster.run(300 * (seed % 3));
            cluster.add("10.0.0.3:1").startAsNewMember();
            cluster.run(300 * (seed % 2));
            cluster.add("10.0.0.4:1").startAsNewMember();
            double tookMs = awaitVoters(cluster, 5, 5000);
            assertTrue(tookMs < COMPLETE_WITHIN_MS, tookMs + " ms with seed " + seed);
            assertEquals(2, cluster.memberChanges);
        }
    }

    /** Two founders may fail: three of five remain, two of them with disks that were added later. */
    @Test
    void grownCoreToleratesFailureOfAnyTwo() {
        forEachSeed(2, cluster -> {
            cluster.commitOne(100);
            List<Machine> all = new ArrayList<>(cluster.machines.values());
            int first = (int) (cluster.seed % all.size());
            int second = (int) ((cluster.seed + 1 + cluster.seed / all.size() % 4) % all.size());
            all.get(first).wipe();
            all.get(second).powerLoss();
            cluster.commitOne(4000);
            all.get(first).startAsNewMember();
            all.get(second).start();
            awaitVoters(cluster, 5, COMPLETE_WITHIN_MS);
        });
    }

    @Test
    void singleLearnerIsNotPromotedUntilThereAreTwo() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimulatedCluster cluster = new SimulatedCluster(seed, 3, 2);
            Machine learner = cluster.add("10.0.0.3:1");
            learner.startAsNewMember();
            cluster.run(5000);
            assertEquals(3, cluster.committedMembers.size());
            cluster.commitOne(100);
            cluster.run(200);
            assertEquals(cluster.committed.size(), learner.applied, "the learner is replicated to");
            cluster.add("10.0.0.4:1").startAsNewMember();
            awaitVoters(cluster, 5, COMPLETE_WITHIN_MS);
        }
    }

    @Test
    void learnerReplacesLostVoterWithinTwoSeconds() {
        forEachSeed(2, cluster -> {
            Machine spare = cluster.add("10.0.1.1:1");
            spare.startAsNewMember();
            cluster.run(3000);
            assertFalse(isCommittedMember(cluster, spare));
            Machine lost = cluster.others(cluster.leader(), spare).get((int) (cluster.seed % 4));
            lost.kill(true);
            double tookMs = awaitVoters(cluster, 5, 4000);
            assertTrue(tookMs < 2000, tookMs + " ms with seed " + cluster.seed);
            assertTrue(isCommittedMember(cluster, spare));
        });
    }

    /** One of three machines, or two of five, return with empty disks; then as many others fail. */
    @Test
    void toleratesFurtherFailuresAfterWipedMembersAreReplaced() {
        for (int failures = 1; failures <= 2; failures++) {
            int toleratedFailures = failures;
            forEachSeed(failures, cluster -> {
                cluster.commitOne(100);
                List<Machine> wiped = machinesToFail(cluster, toleratedFailures);
                wiped.forEach(Machine::wipe);
                cluster.run(1000);
                wiped.forEach(Machine::startAsNewMember);
                double tookMs = awaitVoters(cluster, voters(toleratedFailures), 5000);
                assertTrue(tookMs < COMPLETE_WITHIN_MS, tookMs + " ms with seed " + cluster.seed);
                cluster.others(wiped.toArray(Machine[]::new))
                        .subList(0, toleratedFailures)
                        .forEach(Machine::powerLoss);
                cluster.commitOne(4000);
            });
        }
    }

    /** The machines that are to fail; they include the leader with every second seed. */
    private static List<Machine> machinesToFail(SimulatedCluster cluster, int count) {
        Machine leader = cluster.leader();
        List<Machine> order = new ArrayList<>(cluster.others(leader));
        order.add((int) (cluster.seed % 2) * (order.size() - 1), leader);
        return order.subList(0, count);
    }

    /** The same machine loses its disk again about when it is a member again. */
    @Test
    void memberRejoinsAfterTwoWipes() {
        for (int failures = 1; failures <= 2; failures++) {
            int toleratedFailures = failures;
            forEachSeed(failures, cluster -> {
                Machine hit = machinesToFail(cluster, 1).get(0);
                hit.wipe();
                cluster.run(700);
                hit.startAsNewMember();
                cluster.run(cluster.seed * 40);
                hit.wipe();
                cluster.run(700);
                hit.startAsNewMember();
                double tookMs = awaitVoters(cluster, voters(toleratedFailures), 5000);
                assertTrue(tookMs < COMPLETE_WITHIN_MS, tookMs + " ms with seed " + cluster.seed);
                cluster.commitOne(200);
            });
        }
    }

    /** A new member fails permanently at any moment while it replaces a lost one. */
    @Test
    void survivesFailureOfNewMemberDuringReplacement() {
        for (int failures = 1; failures <= 2; failures++) {
            int toleratedFailures = failures;
            for (int step = 0; step < 60; step++) {
                int delaySteps = step;
                SimulatedCluster cluster = new SimulatedCluster(step, 3, failures);
                for (int i = 3; i < voters(toleratedFailures); i++) {
                    cluster.add("10.0.0." + i + ":1").startAsNewMember();
                }
                awaitVoters(cluster, voters(toleratedFailures), 5000);
                Machine dead = cluster.others(cluster.leader()).get(0);
                dead.kill(true);
                Machine newMember = cluster.add("10.0.1.1:1");
                newMember.startAsNewMember();
                long before = cluster.memberChanges;
                while (cluster.leader().raftStatus.members().contains(dead.self)) {
                    cluster.run(1);
                }
                cluster.run(delaySteps * 0.2);
                newMember.kill(true);
                cluster.commitOne(2500);
                assertTrue(cluster.memberChanges > before);
                Machine next = cluster.add("10.0.1.2:1");
                next.startAsNewMember();
                awaitVoters(cluster, voters(toleratedFailures), 4000);
            }
        }
    }

    /** A machine fails permanently, a machine at another address is added a second later, then other machines fail. */
    @Test
    void toleratesFailuresAfterReplacementIsOnboarded() {
        for (int failures = 1; failures <= 2; failures++) {
            int toleratedFailures = failures;
            forEachSeed(failures, cluster -> {
                Machine failed = machinesToFail(cluster, 1).get(0);
                failed.kill(true);
                cluster.run(1000);
                cluster.add("10.0.1.1:1").startAsNewMember();
                cluster.run(4000 + cluster.seed * 50);
                assertTrue(isComplete(cluster, voters(toleratedFailures)), cluster.describe());
                cluster.machines.remove(failed.address);
                machinesToFail(cluster, toleratedFailures).forEach(Machine::powerLoss);
                cluster.commitOne(4000);
            });
        }
    }

    /** In a core of five a second machine may fail while the first one is being replaced. */
    @Test
    void coreOfFiveToleratesSecondFailureDuringReplacement() {
        for (int step = 0; step < 80; step++) {
            SimulatedCluster cluster = new SimulatedCluster(step, 3, 2);
            cluster.add("10.0.0.3:1").startAsNewMember();
            cluster.add("10.0.0.4:1").startAsNewMember();
            awaitVoters(cluster, 5, 5000);
            Machine first = cluster.others(cluster.leader()).get(0);
            first.wipe();
            cluster.run(900);
            first.startAsNewMember();
            cluster.run(step * 5);
            Machine second = step % 2 == 0
                    ? cluster.awaitLeader()
                    : cluster.others(first).get(1);
            second.wipe();
            cluster.commitOne(4000);
            cluster.run(500);
            second.startAsNewMember();
            awaitVoters(cluster, 5, 4000);
        }
    }

    @Test
    void removedMemberReturnsAsLearnerWithoutDisruption() {
        forEachSeed(2, cluster -> {
            Machine downMember = cluster.others(cluster.leader()).get(0);
            downMember.kill(false);
            Machine newMember = cluster.add("10.0.1.1:1");
            newMember.startAsNewMember();
            awaitVoters(cluster, 5, 5000);
            long term = cluster.leader().raftStatus.term();
            downMember.start();
            cluster.run(5000);
            assertEquals(RaftStatus.Role.OUTSIDER, downMember.raftStatus.role());
            assertEquals(term, cluster.leader().raftStatus.term());
            cluster.commitOne(100);
            cluster.run(200);
            assertEquals(cluster.committed.size(), downMember.applied);
        });
    }

    /** All machines lose power when a membership change is appended, on some disks, or committed. */
    @Test
    void membershipChangeIsCompletedOrUndoneAfterPowerLossOfAll() {
        for (int failures = 1; failures <= 2; failures++) {
            int toleratedFailures = failures;
            forEachSeed(failures, cluster -> {
                cluster.commitOne(100);
                Machine hit = cluster.others(cluster.leader()).get(0);
                hit.wipe();
                cluster.run(700);
                hit.startAsNewMember();
                Machine leader = cluster.leader();
                List<Member> before = leader.raftStatus.members();
                for (int i = 0; i < 4000 && leader.raftStatus.members().equals(before); i++) {
                    cluster.run(1);
                }
                assertFalse(leader.raftStatus.members().equals(before));
                cluster.run(cluster.seed * 0.3);
                cluster.machines.values().forEach(Machine::powerLoss);
                cluster.machines.values().forEach(Machine::start);
                awaitVoters(cluster, voters(toleratedFailures), 5000);
                cluster.commitOne(500);
            });
        }
    }

    /** Sends SIGTERM to a machine; returns the time in ms until it is released. */
    private static double leave(SimulatedCluster cluster, Machine machine, double timeoutMs) {
        double start = cluster.now;
        machine.raft.leave(machine.clock());
        while (!machine.released) {
            assertTrue(
                    cluster.now - start < timeoutMs, "seed " + cluster.seed + ": not released\n" + cluster.describe());
            cluster.run(1);
        }
        return cluster.now - start;
    }

    /** Without the transfer the core has no leader for at least half a second. */
    @Test
    void leavingLeaderTransfersLeadershipAtOnce() {
        for (int failures = 1; failures <= 2; failures++) {
            forEachSeed(failures, cluster -> {
                cluster.commitOne(100);
                Machine leader = cluster.leader();
                leader.raft.leave(leader.clock());
                cluster.run(60);
                assertTrue(cluster.leader() != null && cluster.leader() != leader, cluster.describe());
                cluster.commitOne(30);
                leave(cluster, leader, 500);
                leader.kill(false);
                cluster.commitOne(100);
            });
        }
    }

    /** The machine returns with its disk: replacing it would reduce the failure tolerance of the core twice. */
    @Test
    void rollingRestartChangesNoVoters() {
        forEachSeed(1, cluster -> {
            List<Member> before = cluster.committedMembers;
            // A new leader waits until all learners may have sent their join requests.
            cluster.run(500);
            for (Machine machine : List.copyOf(cluster.machines.values())) {
                leave(cluster, machine, machine.leads() ? 600 : 100);
                machine.kill(false);
                cluster.run(900);
                machine.start();
                cluster.run(1500);
                cluster.commitOne(100);
            }
            assertEquals(before, cluster.committedMembers);
            assertEquals(0, cluster.memberChanges);
            Machine spare = cluster.add("10.0.1.1:1");
            spare.startAsNewMember();
            cluster.run(2000);
            assertFalse(isCommittedMember(cluster, spare), "no machine is leaving any more");
        });
    }

    /** Operators replace a machine by starting the new machine first, and then sending SIGTERM to the old one. */
    @Test
    void leavingMemberIsReleasedOnceReplaced() {
        for (int failures = 1; failures <= 2; failures++) {
            int toleratedFailures = failures;
            forEachSeed(failures, cluster -> {
                cluster.commitOne(100);
                Machine leaving = machinesToFail(cluster, 1).get(0);
                Machine successor = cluster.add("10.0.1.1:1");
                successor.startAsNewMember();
                // By then the replacement has requested to join, and need not have caught up.
                cluster.run(5 + cluster.seed * 20);
                leave(cluster, leaving, 3000);
                assertTrue(isCommittedMember(cluster, successor), cluster.committedMembers.toString());
                assertFalse(isCommittedMember(cluster, leaving), cluster.committedMembers.toString());
                assertEquals(voters(toleratedFailures), cluster.committedMembers.size());
                leaving.wipe();
                cluster.machines.remove(leaving.address);
                cluster.awaitLeader();
                machinesToFail(cluster, toleratedFailures).forEach(Machine::powerLoss);
                cluster.commitOne(4000);
            });
        }
    }

    @Test
    void twoOfFiveLeaveAndAreReplacedTogether() {
        forEachSeed(2, cluster -> {
            cluster.commitOne(100);
            Machine leader = cluster.leader();
            Machine other = cluster.others(leader).get(0);
            cluster.add("10.0.1.1:1").startAsNewMember();
            cluster.add("10.0.1.2:1").startAsNewMember();
            cluster.run(1000);
            other.raft.leave(other.clock());
            leave(cluster, leader, 3000);
            leader.wipe();
            cluster.machines.remove(leader.address);
            for (int i = 0; i < 1000 && !other.released; i++) {
                cluster.run(1);
            }
            assertTrue(other.released, cluster.describe());
            other.wipe();
            cluster.machines.remove(other.address);
            awaitVoters(cluster, 5, 100);
            voterMachines(cluster).subList(0, 2).forEach(Machine::powerLoss);
            cluster.commitOne(4000);
        });
    }

    /** The leaving member and one other have an entry: the member is not released until the third has it too. */
    @Test
    void leavingMemberWaitsUntilRemainingMembersHaveItsEntries() {
        forEachSeed(1, cluster -> {
            Machine leader = cluster.leader();
            Machine slow = cluster.others(leader).get((int) (cluster.seed / 2 % 2));
            slow.stall(1500);
            cluster.commitOne(100);
            int committed = cluster.committed.size();
            Entry last = cluster.committed.get(committed - 1);
            assertFalse(slow.disk.contains(last.index(), last.term()));
            Machine leaving = cluster.seed % 2 == 0
                    ? leader
                    : cluster.others(leader, slow).get(0);
            leaving.raft.leave(leaving.clock());
            cluster.run(1000);
            assertFalse(leaving.released);
            for (int i = 0; i < 2000 && !leaving.released; i++) {
                cluster.run(1);
            }
            assertTrue(leaving.released, cluster.describe());
            for (Machine remaining : cluster.others(leaving)) {
                assertTrue(remaining.disk.contains(last.index(), last.term()));
            }
        });
    }

    /** If all machines leave, none of them waits for the others. */
    @Test
    void allMembersAreReleasedWhenEntireCoreStops() {
        for (int failures = 1; failures <= 2; failures++) {
            forEachSeed(failures, cluster -> {
                cluster.commitOne(100);
                cluster.run(300);
                cluster.machines.values().forEach(machine -> machine.raft.leave(machine.clock()));
                double start = cluster.now;
                while (cluster.machines.values().stream().anyMatch(Machine::up)) {
                    cluster.machines.values().stream()
                            .filter(machine -> machine.up() && machine.released)
                            .forEach(machine -> machine.kill(false));
                    assertTrue(cluster.now - start < 4000, cluster.describe());
                    cluster.run(1);
                }
                cluster.machines.values().forEach(Machine::start);
                cluster.awaitLeader();
                cluster.commitOne(500);
            });
        }
    }
}

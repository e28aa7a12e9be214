package sablehinge.controlplane.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sablehinge.controlplane.raft.SimulatedCluster.Machine;

/**
 * The voters of the core as deployments bring them about: founded by the machines that {@code seeds} names, grown to
 * all, replaced, wiped, restarted and lost again.
 */
class RaftNodeMembershipTest {

    private static final int SEEDS = 20;
    /** By when the core must be as strong as stated once all its machines run, ms; deployments say 4 s. */
    private static final double COMPLETE_WITHIN = 2500;

    private interface Play {
        void on(SimulatedCluster cluster);
    }

    /** Plays on a core of three founders and, where two losses are to be borne, two machines more. */
    private static void play(int losses, Play play) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimulatedCluster cluster = new SimulatedCluster(seed, 3, losses);
            for (int i = 3; i < 2 * losses + 1; i++) {
                cluster.add("10.0.0." + i + ":1").startAsNewMember();
            }
            awaitVoters(cluster, 2 * losses + 1, 5000);
            play.on(cluster);
        }
    }

    private static int voters(int losses) {
        return 2 * losses + 1;
    }

    /** Lets time pass until the committed list has so many voters, all of them machines that run; the ms. */
    private static double awaitVoters(SimulatedCluster cluster, int count, double atMost) {
        double start = cluster.now;
        while (!isFull(cluster, count)) {
            assertTrue(
                    cluster.now - start < atMost,
                    "seed " + cluster.seed + ": " + cluster.committedMembers + "\n" + cluster.describe());
            cluster.run(5);
        }
        return cluster.now - start;
    }

    private static boolean isFull(SimulatedCluster cluster, int count) {
        return cluster.committedMembers.size() == count
                && cluster.leader() != null
                && cluster.committedMembers.stream().allMatch(member -> cluster.machines.values().stream()
                        .anyMatch(machine -> machine.up() && machine.self.equals(member)));
    }

    private static List<Machine> voting(SimulatedCluster cluster) {
        return cluster.machines.values().stream()
                .filter(one -> cluster.committedMembers.contains(one.self))
                .toList();
    }

    private static boolean listed(SimulatedCluster cluster, Machine machine) {
        return cluster.committedMembers.contains(machine.self);
    }

    @Test
    void threeFoundersGrowToAllFiveAtOnce() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimulatedCluster cluster = new SimulatedCluster(seed, 3, 2);
            cluster.run(300 * (seed % 3));
            cluster.add("10.0.0.3:1").startAsNewMember();
            cluster.run(300 * (seed % 2));
            cluster.add("10.0.0.4:1").startAsNewMember();
            double took = awaitVoters(cluster, 5, 5000);
            assertTrue(took < COMPLETE_WITHIN, took + " ms with seed " + seed);
            assertEquals(2, cluster.memberChanges);
        }
    }

    /** Two of the founders lose their power: three of five remain, with two disks that came later. */
    @Test
    void theGrownCoreBearsTheLossOfAnyTwo() {
        play(2, cluster -> {
            cluster.commitOne(100);
            List<Machine> all = new ArrayList<>(cluster.machines.values());
            int first = (int) (cluster.seed % all.size());
            int second = (int) ((cluster.seed + 1 + cluster.seed / all.size() % 4) % all.size());
            all.get(first).wipe();
            all.get(second).powerLoss();
            cluster.commitOne(4000);
            all.get(first).startAsNewMember();
            all.get(second).start();
            awaitVoters(cluster, 5, COMPLETE_WITHIN);
        });
    }

    @Test
    void aLoneNewcomerLearnsUntilThereAreTwo() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimulatedCluster cluster = new SimulatedCluster(seed, 3, 2);
            Machine learner = cluster.add("10.0.0.3:1");
            learner.startAsNewMember();
            cluster.run(5000);
            assertEquals(3, cluster.committedMembers.size());
            cluster.commitOne(100);
            cluster.run(200);
            assertEquals(cluster.committed.size(), learner.applied, "it is fed");
            cluster.add("10.0.0.4:1").startAsNewMember();
            awaitVoters(cluster, 5, COMPLETE_WITHIN);
        }
    }

    @Test
    void aLearnerTakesTheLostOnesPlaceWithinTwoSeconds() {
        play(2, cluster -> {
            Machine spare = cluster.add("10.0.1.1:1");
            spare.startAsNewMember();
            cluster.run(3000);
            assertFalse(listed(cluster, spare));
            Machine lost = cluster.others(cluster.leader(), spare).get((int) (cluster.seed % 4));
            lost.kill(true);
            double took = awaitVoters(cluster, 5, 4000);
            assertTrue(took < 2000, took + " ms with seed " + cluster.seed);
            assertTrue(listed(cluster, spare));
        });
    }

    /** One of three, or two of five, come back with empty disks; then as many others go. */
    @Test
    void theWipedAreReplacedAndAsManyMoreMayGoAtOnce() {
        for (int losses = 1; losses <= 2; losses++) {
            int stated = losses;
            play(losses, cluster -> {
                cluster.commitOne(100);
                List<Machine> hit = lost(cluster, stated);
                hit.forEach(Machine::wipe);
                cluster.run(1000);
                hit.forEach(Machine::startAsNewMember);
                double took = awaitVoters(cluster, voters(stated), 5000);
                assertTrue(took < COMPLETE_WITHIN, took + " ms with seed " + cluster.seed);
                cluster.others(hit.toArray(Machine[]::new)).subList(0, stated).forEach(Machine::powerLoss);
                cluster.commitOne(4000);
            });
        }
    }

    /** The leader among them with every second seed. */
    private static List<Machine> lost(SimulatedCluster cluster, int count) {
        Machine leader = cluster.leader();
        List<Machine> order = new ArrayList<>(cluster.others(leader));
        order.add((int) (cluster.seed % 2) * (order.size() - 1), leader);
        return order.subList(0, count);
    }

    /** The same machine loses its disk again as soon as it is back in the list, or just before. */
    @Test
    void aMemberWipedTwiceInARowComesBack() {
        for (int losses = 1; losses <= 2; losses++) {
            int stated = losses;
            play(losses, cluster -> {
                Machine hit = lost(cluster, 1).get(0);
                hit.wipe();
                cluster.run(700);
                hit.startAsNewMember();
                cluster.run(cluster.seed * 40);
                hit.wipe();
                cluster.run(700);
                hit.startAsNewMember();
                double took = awaitVoters(cluster, voters(stated), 5000);
                assertTrue(took < COMPLETE_WITHIN, took + " ms with seed " + cluster.seed);
                cluster.commitOne(200);
            });
        }
    }

    /** A newcomer dies at any moment while it takes a lost one's place, for good. */
    @Test
    void aNewcomerThatDiesWhileItIsLetInEndsNothing() {
        for (int losses = 1; losses <= 2; losses++) {
            int stated = losses;
            for (int step = 0; step < 60; step++) {
                int moves = step;
                SimulatedCluster cluster = new SimulatedCluster(step, 3, losses);
                for (int i = 3; i < voters(stated); i++) {
                    cluster.add("10.0.0." + i + ":1").startAsNewMember();
                }
                awaitVoters(cluster, voters(stated), 5000);
                Machine dead = cluster.others(cluster.leader()).get(0);
                dead.kill(true);
                Machine newcomer = cluster.add("10.0.1.1:1");
                newcomer.startAsNewMember();
                long before = cluster.memberChanges;
                while (cluster.leader().raftStatus.members().contains(dead.self)) {
                    cluster.run(1);
                }
                cluster.run(moves * 0.2);
                newcomer.kill(true);
                cluster.commitOne(2500);
                assertTrue(cluster.memberChanges > before);
                Machine next = cluster.add("10.0.1.2:1");
                next.startAsNewMember();
                awaitVoters(cluster, voters(stated), 4000);
            }
        }
    }

    /** A machine goes for good and one at another address comes a second later; then another goes. */
    @Test
    void afterAReplacementTheNextMayGoAtAnyMomentPastOnboarding() {
        for (int losses = 1; losses <= 2; losses++) {
            int stated = losses;
            play(losses, cluster -> {
                Machine gone = lost(cluster, 1).get(0);
                gone.kill(true);
                cluster.run(1000);
                cluster.add("10.0.1.1:1").startAsNewMember();
                cluster.run(4000 + cluster.seed * 50);
                assertTrue(isFull(cluster, voters(stated)), cluster.describe());
                cluster.machines.remove(gone.address);
                lost(cluster, stated).forEach(Machine::powerLoss);
                cluster.commitOne(4000);
            });
        }
    }

    /** In a core of five another may go while the first one is being replaced. */
    @Test
    void aSecondLossOfFiveWhileTheFirstIsReplaced() {
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
    void theRemovedOneReturnsAsALearnerAndDisturbsNobody() {
        play(2, cluster -> {
            Machine away = cluster.others(cluster.leader()).get(0);
            away.kill(false);
            Machine newcomer = cluster.add("10.0.1.1:1");
            newcomer.startAsNewMember();
            awaitVoters(cluster, 5, 5000);
            long term = cluster.leader().raftStatus.term();
            away.start();
            cluster.run(5000);
            assertEquals(RaftStatus.Role.OUTSIDER, away.raftStatus.role());
            assertEquals(term, cluster.leader().raftStatus.term());
            cluster.commitOne(100);
            cluster.run(200);
            assertEquals(cluster.committed.size(), away.applied);
        });
    }

    /** All lose power when a change of the voters is appended, on some disks, or committed. */
    @Test
    void aChangeOfVotersOutlivesOrIsUndoneByAJointLossOfPower() {
        for (int losses = 1; losses <= 2; losses++) {
            int stated = losses;
            play(losses, cluster -> {
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
                awaitVoters(cluster, voters(stated), 5000);
                cluster.commitOne(500);
            });
        }
    }

    /** SIGTERM to a machine; the ms until it may end. */
    private static double leave(SimulatedCluster cluster, Machine machine, double atMost) {
        double start = cluster.now;
        machine.raft.leave(machine.clock());
        while (!machine.released) {
            assertTrue(cluster.now - start < atMost, "seed " + cluster.seed + ": not released\n" + cluster.describe());
            cluster.run(1);
        }
        return cluster.now - start;
    }

    /** A kill of the leader leaves the core without one for half a second at least. */
    @Test
    void aLeaderThatLeavesHandsOverAtOnce() {
        for (int losses = 1; losses <= 2; losses++) {
            play(losses, cluster -> {
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

    /** The machine comes back with its disk: to change the voters for it would make the core weaker twice. */
    @Test
    void aRestartInOrderChangesNoVoters() {
        play(1, cluster -> {
            List<Member> before = cluster.committedMembers;
            // A new leader waits until all that may want the place have sent it a request.
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
            assertFalse(listed(cluster, spare), "nobody leaves any more");
        });
    }

    /** The new machine first, then SIGTERM of the old one, as operators replace a machine. */
    @Test
    void whoLeavesEndsWhenItsSuccessorHasItsPlace() {
        for (int losses = 1; losses <= 2; losses++) {
            int stated = losses;
            play(losses, cluster -> {
                cluster.commitOne(100);
                Machine leaver = lost(cluster, 1).get(0);
                Machine successor = cluster.add("10.0.1.1:1");
                successor.startAsNewMember();
                // By then it asks to be let in, and need not have caught up.
                cluster.run(5 + cluster.seed * 20);
                leave(cluster, leaver, 3000);
                assertTrue(listed(cluster, successor), cluster.committedMembers.toString());
                assertFalse(listed(cluster, leaver), cluster.committedMembers.toString());
                assertEquals(voters(stated), cluster.committedMembers.size());
                leaver.wipe();
                cluster.machines.remove(leaver.address);
                cluster.awaitLeader();
                lost(cluster, stated).forEach(Machine::powerLoss);
                cluster.commitOne(4000);
            });
        }
    }

    @Test
    void twoOfFiveLeaveTogetherForTwoOthers() {
        play(2, cluster -> {
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
            voting(cluster).subList(0, 2).forEach(Machine::powerLoss);
            cluster.commitOne(4000);
        });
    }

    /** What only the leaver and one more have: it stays until the third has it too. */
    @Test
    void whoLeavesWaitsUntilThoseThatStayHaveWhatItHas() {
        play(1, cluster -> {
            Machine leader = cluster.leader();
            Machine slow = cluster.others(leader).get((int) (cluster.seed / 2 % 2));
            slow.stall(1500);
            cluster.commitOne(100);
            int committed = cluster.committed.size();
            Entry last = cluster.committed.get(committed - 1);
            assertFalse(slow.disk.contains(last.index(), last.term()));
            Machine leaver = cluster.seed % 2 == 0
                    ? leader
                    : cluster.others(leader, slow).get(0);
            leaver.raft.leave(leaver.clock());
            cluster.run(1000);
            assertFalse(leaver.released);
            for (int i = 0; i < 2000 && !leaver.released; i++) {
                cluster.run(1);
            }
            assertTrue(leaver.released, cluster.describe());
            for (Machine stays : cluster.others(leaver)) {
                assertTrue(stays.disk.contains(last.index(), last.term()));
            }
        });
    }

    /** Nobody stays to whom anything could be left: nobody waits. */
    @Test
    void aCoreThatIsStoppedAsAWholeStops() {
        for (int losses = 1; losses <= 2; losses++) {
            play(losses, cluster -> {
                cluster.commitOne(100);
                cluster.run(300);
                cluster.machines.values().forEach(one -> one.raft.leave(one.clock()));
                double start = cluster.now;
                while (cluster.machines.values().stream().anyMatch(Machine::up)) {
                    cluster.machines.values().stream()
                            .filter(one -> one.up() && one.released)
                            .forEach(one -> one.kill(false));
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

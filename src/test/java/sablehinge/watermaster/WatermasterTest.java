package sablehinge.watermaster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sablehinge.watermaster.Valley.Machine;

/** The losses that the core must bear, one by one, for a few seeds each. */
class WatermasterTest {

    private static final int SEEDS = 20;

    private interface Play {
        void on(Valley valley);
    }

    private static void play(Play play) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Valley valley = new Valley(seed, 3);
            valley.awaitLeader();
            play.on(valley);
        }
    }

    private static boolean listed(Valley valley, Machine machine) {
        return valley.list.contains(machine.self);
    }

    @Test
    void commitsInAFewMillisecondsAndTellsWhoLeads() {
        play(valley -> {
            double took = valley.commitOne(100);
            assertTrue(took <= 10, took + " ms");
            valley.run(200);
            Machine leader = valley.leader();
            for (Machine machine : valley.machines.values()) {
                assertEquals(leader.self, machine.standing.leader());
                assertEquals(valley.committed.size(), machine.applied);
            }
        });
    }

    @Test
    void aQuietCoreKeepsItsLeader() {
        play(valley -> {
            long term = valley.leader().standing.term();
            valley.run(20_000);
            assertEquals(term, valley.leader().standing.term());
        });
    }

    @Test
    void aCommitOutlivesAWipeRightAfterItAndTheOthersLossOfPower() {
        play(valley -> {
            Machine leader = valley.leader();
            Machine lagging = valley.others(leader).get(0);
            lagging.stall(1000);
            leader.propose();
            int before = valley.committed.size();
            while (valley.committed.size() == before) {
                valley.run(0.1);
            }
            // On two disks only; one of them is wiped now, and both others lose power.
            Machine wiped = valley.seed % 2 == 0 ? leader : valley.others(leader, lagging).get(0);
            wiped.wipe();
            for (Machine other : valley.others(wiped)) {
                other.stalledUntil = 0;
                other.powerLoss();
            }
            valley.others(wiped).forEach(Machine::start);
            wiped.outside();
            valley.awaitLeader();
            valley.commitOne(2000);
            valley.run(6000);
            assertTrue(listed(valley, wiped), "the wiped one is let in again");
            assertEquals(3, valley.list.size());
            assertEquals(valley.committed.size(), wiped.applied);
        });
    }

    @Test
    void aWipedMemberDoesNotVoteBeforeItIsLetIn() {
        play(valley -> {
            Machine leader = valley.leader();
            List<Machine> others = valley.others(leader);
            // The second has nothing of what the first and the leader commit.
            valley.cutOff(others.get(1));
            valley.commitOne(100);
            int size = valley.committed.size();
            leader.kill(false);
            others.get(0).wipe();
            others.get(0).outside();
            valley.cuts.clear();
            valley.run(20_000);
            assertEquals(size, valley.committed.size(), "a wiped disk made up a majority");
            leader.start();
            valley.commitOne(5000);
        });
    }

    @Test
    void anEmptyMachineElsewhereTakesTheDeadOnesPlace() {
        play(valley -> {
            Machine dead = valley.seed % 2 == 0 ? valley.leader() : valley.others(valley.leader()).get(0);
            dead.kill(true);
            Machine newcomer = valley.add("10.0.1.1:1");
            newcomer.outside();
            valley.run(9000);
            assertTrue(listed(valley, newcomer));
            assertFalse(listed(valley, dead));
            valley.commitOne(500);
            // With it the core bears the loss of another.
            valley.others(dead, newcomer).get(0).kill(true);
            valley.commitOne(4000);
        });
    }

    @Test
    void anEmptyMachineWaitsWhileAllAreThereAndTakesThePlaceOfOneThatIsLostLater() {
        play(valley -> {
            List<Member> before = valley.list;
            Machine newcomer = valley.add("10.0.1.1:1");
            newcomer.outside();
            valley.run(8000);
            assertEquals(before, valley.list);
            assertEquals(Standing.Role.OUTSIDER, newcomer.standing.role());
            assertEquals(valley.leader().self, newcomer.standing.leader());
            Machine dead = valley.others(newcomer, valley.leader()).get(0);
            dead.kill(true);
            valley.run(5000);
            assertTrue(listed(valley, newcomer));
        });
    }

    @Test
    void theDeadOneComesBackAndFindsThatItWasReplaced() {
        play(valley -> {
            Machine dead = valley.others(valley.leader()).get(0);
            dead.kill(false);
            Machine newcomer = valley.add("10.0.1.1:1");
            newcomer.outside();
            valley.run(9000);
            long term = valley.leader().standing.term();
            dead.start();
            valley.run(5000);
            assertEquals(Standing.Role.OUTSIDER, dead.standing.role());
            assertEquals(term, valley.leader().standing.term(), "it disturbed the others");
            newcomer.kill(true);
            valley.run(6000);
            assertTrue(listed(valley, dead), "it takes the place of the next that is lost");
            assertEquals(Standing.Role.FOLLOWER, dead.standing.role());
        });
    }

    @Test
    void aLeaderWhoseDiskStallsCommitsOnWithTheOthersDisks() {
        play(valley -> {
            Machine leader = valley.leader();
            leader.stall(5000);
            for (int i = 0; i < 160; i++) {
                double took = valley.commitOne(300);
                assertTrue(took <= 60, took + " ms at " + i);
                valley.run(20);
            }
            assertTrue(valley.leader() != leader, "it has handed over");
            assertEquals(3, valley.list.size());
        });
    }

    @Test
    void aFollowerWhoseDiskStallsDelaysNobodyAndStaysAMember() {
        play(valley -> {
            Machine follower = valley.others(valley.leader()).get(0);
            List<Member> before = valley.list;
            Machine waiting = valley.add("10.0.1.1:1");
            waiting.outside();
            follower.stall(6000);
            for (int i = 0; i < 200; i++) {
                double took = valley.commitOne(300);
                assertTrue(took <= 10, took + " ms at " + i);
                valley.run(20);
            }
            assertEquals(before, valley.list);
            valley.run(3000);
            assertEquals(valley.committed.size(), follower.applied);
        });
    }

    @Test
    void aLeaderThatCanHearButNotSpeakIsReplaced() {
        play(valley -> {
            Machine leader = valley.leader();
            valley.others(leader).forEach(other -> valley.cut(leader, other));
            valley.run(3000);
            assertNotNull(valley.leader());
            assertTrue(valley.leader() != leader);
            valley.commitOne(100);
        });
    }

    @Test
    void aLeaderThatCanSpeakButNotHearIsReplaced() {
        play(valley -> {
            Machine leader = valley.leader();
            valley.others(leader).forEach(other -> valley.cut(other, leader));
            valley.run(4000);
            assertTrue(valley.leader() != leader);
            valley.commitOne(100);
        });
    }

    @Test
    void aMemberThatHearsNothingDisturbsNobody() {
        play(valley -> {
            Machine leader = valley.leader();
            long term = leader.standing.term();
            Machine deaf = valley.others(leader).get(0);
            valley.others(deaf).forEach(other -> valley.cut(other, deaf));
            valley.run(5000);
            assertEquals(term, valley.leader().standing.term());
            valley.cuts.clear();
            valley.run(2000);
            assertEquals(term, valley.leader().standing.term());
            assertEquals(valley.committed.size(), deaf.applied);
        });
    }

    @Test
    void aCutOffLeaderNeitherCommitsNorConfirms() {
        play(valley -> {
            Machine leader = valley.leader();
            valley.cutOff(leader);
            leader.barrier();
            assertTrue(leader.propose());
            valley.run(2500);
            assertEquals(1, leader.denied.size());
            assertFalse(leader.propose());
            valley.commitOne(100);
            Machine next = valley.leader();
            next.barrier();
            valley.run(20);
            assertEquals(1, next.confirmed.size());
            valley.cuts.clear();
            valley.run(2000);
            assertEquals(valley.committed.size(), leader.applied);
        });
    }

    @Test
    void allLosePowerAtOnce() {
        play(valley -> {
            for (int i = 0; i < 30; i++) {
                valley.leader().propose();
                valley.run(0.5);
            }
            int size = valley.committed.size();
            valley.machines.values().forEach(Machine::powerLoss);
            valley.machines.values().forEach(Machine::start);
            double start = valley.now;
            valley.awaitLeader();
            assertTrue(valley.now - start < 3000);
            assertTrue(valley.committed.size() > size);
            valley.run(500);
            valley.machines.values().forEach(one -> assertEquals(valley.committed.size(), one.applied));
        });
    }

    @Test
    void whoWasAwayForLongTakesASnapshot() {
        play(valley -> {
            Machine away = valley.others(valley.leader()).get(0);
            away.kill(false);
            for (int i = 0; i < 400; i++) {
                valley.leader().propose();
                valley.run(2);
            }
            valley.run(100);
            away.start();
            valley.run(2000);
            assertEquals(valley.committed.size(), away.applied);
        });
    }

    @Test
    void tooManyWaitingAreRefused() {
        Valley valley = new Valley(1, 3);
        Machine leader = valley.awaitLeader();
        valley.cutOff(leader);
        int taken = 0;
        while (leader.propose()) {
            taken++;
        }
        assertEquals(Terms.usual().waiting(), taken);
    }

    @Test
    void fiveBearTwoLosses() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Valley valley = new Valley(seed, 5);
            Machine leader = valley.awaitLeader();
            leader.wipe();
            valley.others(leader).get(0).kill(true);
            valley.commitOne(4000);
            leader.outside();
            valley.run(6000);
            assertTrue(listed(valley, leader));
            assertEquals(5, valley.list.size());
        }
    }
}

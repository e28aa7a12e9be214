package sablehinge.controlplane.raft;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sablehinge.torture.MutantLoader;

/** The Raft model checker: it reports no violation for the correct code, and finds and reports faults. */
class QuorumTest {

    private static final int MAX_LENGTH = 60;
    /** A seed with which five machines start, three of them as founders. */
    private static final long FIVE_MACHINES_SEED = 7;
    /** Minimum number of faults for each category. */
    private static final int MIN_FAULTS = 8;

    /**
     * A founder that lost its initial snapshot votes, loses power, and receives another vote request in the same term.
     */
    private static final String IDENTITY_ONLY =
            """
            seed 0
            sync b
            sync c
            power a 0
            start a         # it has its name and no log
            tick b 500
            tick c 0
            deliver b a 0
            deliver c a 0
            deliver a b 0
            deliver a c 0
            sync b
            sync c
            deliver b a 0
            sync a          # its vote for b
            deliver a b 0
            power a 0
            start a
            deliver c a 0
            sync a
            deliver a c 0
            """;

    /**
     * A leader starts a heartbeat round to confirm the removal of an unresponsive voter, and drops the removal as the
     * voter answers again; a voter that has answered that round is wiped, and then the first voter leaves.
     */
    private static final String OUTDATED_ROUND =
            """
            seed 140379
            sync a
            pass 300
            sync b
            deliver a b 0
            deliver a c 0
            deliver b a 0
            sync a
            deliver a b 0
            sync b
            deliver a c 0
            sync c
            deliver b a 0
            sync a
            deliver a b 0
            sync b
            deliver a c 0
            sync c
            deliver c a 0
            deliver c a 0
            tick b 200
            compact a
            newcomer d
            sync a
            deliver b a 0
            propose a
            deliver a b 0
            sync a
            sync b
            pass 100
            deliver a c 0
            tick b 550
            deliver b a 0
            deliver d a 0
            deliver a d 0
            deliver d a 0
            deliver a b 0
            sync d
            deliver d a 0
            deliver a b 0
            double c a 0
            wipe b
            leave c
            deliver a c 0
            calm
            """;

    @Test
    void findsNoViolationInCorrectCodeWithSufficientCoverage() {
        ScheduleTotals totals = new ScheduleTotals();
        assertEquals(List.of(), Hunt.byChance(1, 400, 1, totals));
        assertEquals(List.of(), EveryOrder.all(1, totals));
        assertTrue(totals.schedules.sum() > 600, totals.schedules + " schedules");
        assertTrue(totals.acknowledged.sum() > 1000, totals.acknowledged + " acknowledged calls");
        assertTrue(totals.changes.sum() > 30, totals.changes + " membership changes");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "two votes in a term",
                "entries are acknowledged before their sync",
                "who lost its disk comes back as its old self"
            })
    void findsFaultAndMinimizesSchedule(String name) throws Exception {
        String[] first = hunt(fault(name));
        assertArrayEquals(first, hunt(fault(name)), "result is not reproducible");
        Script script = Script.parse(first[0].lines().toList());
        assertEquals(first[0], script.toString());
        assertTrue(script.steps().size() <= MAX_LENGTH, first[0]);
        assertNull(script.breach(), "the schedule must pass on the correct code");
    }

    @Test
    void everyFaultAppliesAndEveryCategoryHasFaults() throws Exception {
        Map<Fault.Point, Integer> counts = new EnumMap<>(Fault.Point.class);
        for (Fault fault : Faults.ALL) {
            Path file = Path.of("src/main/java/sablehinge/" + fault.mutant().in() + ".java");
            String source = Files.readString(file);
            assertNotEquals(source, fault.mutant().applied(source), fault.name());
            counts.merge(fault.point(), 1, Integer::sum);
        }
        assertEquals(
                Faults.ALL.size(),
                Faults.ALL.stream().map(Fault::name).distinct().count());
        for (Fault.Point point :
                List.of(Fault.Point.CUT_OFF, Fault.Point.ORDERS, Fault.Point.MEMBERSHIP, Fault.Point.SNAPSHOTS)) {
            assertTrue(counts.get(point) >= MIN_FAULTS, point + " has " + counts.get(point));
        }
    }

    private static Fault fault(String name) {
        return Faults.ALL.stream()
                .filter(fault -> fault.name().equals(name))
                .findAny()
                .orElseThrow();
    }

    private static String[] hunt(Fault fault) throws Exception {
        return (String[]) MutantLoader.of(fault.mutant(), Path.of("src/main/java"))
                .loadClass(Hunt.class.getName())
                .getMethod("hunt", String.class, int.class, int.class)
                .invoke(null, fault.point().focus().name(), 100, 0);
    }

    /** Five machines start, three of them seeds of the deployment, and no fault occurs. */
    @Test
    void coreGrowsFromFoundersToAllMachines() {
        SteppedCluster cluster = new SteppedCluster(FIVE_MACHINES_SEED);
        assertEquals(5, cluster.size());
        assertEquals(3, cluster.committedMembers.size());
        cluster.take(Step.of(Step.Kind.CALM, 0));
        assertEquals(5, cluster.committedMembers.size());
    }

    @Test
    void reportsLivenessViolationWhenCoreDoesNotRecover() throws Exception {
        String[] found = hunt(fault("the core does not grow"));
        assertTrue(found[1].contains(Calm.LIVENESS + "3 voters of 5"), found[1]);
    }

    /** One founder loses power before its identity is on disk: it returns as a new member and joins. */
    @Test
    void founderWithoutPersistedIdentityIsReplaced() {
        Script script = Script.parse(
                List.of("seed " + FIVE_MACHINES_SEED, "start a", "start b", "start c", "power a 0", "calm"));
        assertNull(script.breach());
        SteppedCluster cluster = new SteppedCluster(FIVE_MACHINES_SEED);
        script.steps().forEach(cluster::take);
        assertFalse(cluster.isBeyond());
        assertTrue(cluster.committedMembers.contains(cluster.machine(0).self));
        assertNotEquals(
                Member.founder(cluster.machine(0).address, "").id(),
                cluster.machine(0).self.id());
    }

    /** Two of three founders lose power once their identities are on disk, and so are their initial snapshots. */
    @Test
    void coreIsFoundedAlthoughFoundersLosePowerAfterFirstWrite() {
        Script script = Script.parse(List.of(
                "seed " + FIVE_MACHINES_SEED,
                "start a",
                "start b",
                "start c",
                "sync a",
                "sync b",
                "power a 0",
                "power b 0",
                "calm"));
        assertNull(script.breach());
        SteppedCluster cluster = new SteppedCluster(FIVE_MACHINES_SEED);
        script.steps().forEach(cluster::take);
        assertFalse(cluster.isBeyond());
        assertEquals(5, cluster.committedMembers.size());
        assertTrue(cluster.committedMembers.contains(Member.founder(cluster.machine(0).address, "c0")), cluster.line());
    }

    /** A leader ended while it removed a voter, which alone had received the entry (found in a million schedules). */
    @Test
    void coreSurvivesWhenOnlyRemovedVoterHasTheRemovalEntry() throws Exception {
        Path file = Path.of("src/test/resources/sablehinge/controlplane/raft/left-out-voter.script");
        assertNull(Script.parse(Files.readAllLines(file)).breach());
    }

    /** The core does not tolerate the loss of two of three founders, so it need not recover afterwards. */
    @Test
    void ignoresSchedulesBeyondFailureTolerance() {
        SteppedCluster cluster = new SteppedCluster(FIVE_MACHINES_SEED);
        for (String step : List.of("start a", "start b", "power a 0", "power b 0", "calm")) {
            cluster.take(Step.parse(step));
        }
        assertTrue(cluster.isBeyond());
    }

    /**
     * One of three members is cut off for a long time, and the other follower loses its disk just after it answered.
     * Its new incarnation is ready before the leader can know that the former one is lost. If the leader removed the
     * unresponsive member, the remaining members could never commit anything again.
     */
    @Test
    void doesNotRemoveUnresponsiveMemberWhileAnotherIsPermanentlyLost() {
        Player player = new Player(SteppedCluster.PLAIN);
        SteppedCluster cluster = player.cluster;
        player.elect();
        int leader = player.leader();
        int isolated = (leader + 1) % 3;
        int lost = (leader + 2) % 3;
        player.ways(Step.Kind.CUT, isolated);
        for (int i = 0; i < 17; i++) {
            player.take(Step.pass(100));
            player.flow();
        }
        player.take(Step.of(Step.Kind.WIPE, lost));
        player.take(Step.of(Step.Kind.START, lost));
        for (int i = 0; i < 10; i++) {
            player.flow();
            player.take(Step.pass(20));
        }
        player.take(Step.of(Step.Kind.CALM, 0));
        assertTrue(cluster.isBeyond(), "two of three were lost at once");
        player.elect();
        assertTrue(cluster.committedMembers.contains(cluster.machine(lost).self), cluster.line());
        assertTrue(cluster.committedMembers.contains(cluster.machine(isolated).self), cluster.line());
    }

    /** Answers to a round confirm only the change for which it was started, not the same change at a later time. */
    @Test
    void confirmsDroppedChangeAgainBeforeMakingIt() {
        Script script = Script.parse(OUTDATED_ROUND.lines().toList());
        SteppedCluster cluster = new SteppedCluster(script.seed());
        script.steps().forEach(cluster::take);
        assertNotNull(cluster.leader(), cluster.line());
    }

    @Test
    void seedsMapToTheirFocus() {
        for (Focus focus : Focus.values()) {
            assertEquals(focus, Focus.of(focus.seed(0)));
            assertEquals(focus, Focus.of(focus.seed(12_345)));
        }
    }

    @Test
    void resendsAndVariesCalls() {
        SteppedCluster cluster = new SteppedCluster(SteppedCluster.PLAIN);
        cluster.take(Step.of(Step.Kind.CALM, 0));
        int leader = IntStream.range(0, 3)
                .filter(i -> cluster.machine(i).leads())
                .findAny()
                .orElseThrow();
        int before = cluster.claims.acknowledged();
        assertTrue(cluster.take(new Step(Step.Kind.RESEND, leader, 0, 0)));
        assertTrue(cluster.take(new Step(Step.Kind.VARY, leader, 0, 0)));
        cluster.take(Step.of(Step.Kind.CALM, 0));
        assertTrue(
                cluster.claims.acknowledged() >= before + 2,
                "the call that was sent again, and that of the calm phase");
        assertFalse(cluster.take(new Step(Step.Kind.RESEND, leader, 0, 7)), "there are fewer calls");
    }

    @Test
    void memberWithoutLogKeepsItsVote() {
        assertNull(Script.parse(IDENTITY_ONLY.lines().toList()).breach());
    }

    @Test
    void reportsLineThatIsNoStep() {
        assertEquals(
                "line 2: no step is called 'syncs'",
                assertThrows(IllegalArgumentException.class, () -> Script.parse(List.of("seed 1", "syncs a")))
                        .getMessage());
        assertEquals(
                "line 2: 'deliver a b': expected 2 machines and a number",
                assertThrows(IllegalArgumentException.class, () -> Script.parse(List.of("seed 1", "deliver a b")))
                        .getMessage());
        assertEquals(
                "line 1: expected 'seed NUMBER' before the first step",
                assertThrows(IllegalArgumentException.class, () -> Script.parse(List.of("sync a")))
                        .getMessage());
    }
}

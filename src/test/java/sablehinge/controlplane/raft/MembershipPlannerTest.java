package sablehinge.controlplane.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import sablehinge.controlplane.raft.MembershipPlanner.Replica;

/** The planner's next change for each state of voters and learners in a core of three or five. */
class MembershipPlannerTest {

    private static final RaftConfig TIMING = RaftConfig.defaults();
    private static final double STALE_MS = TIMING.peerAliveMs() + 1;
    private static final double LOST_MS = TIMING.voterLostMs() + 1;

    private final MembershipPlanner three = new MembershipPlanner(1, TIMING);
    private final MembershipPlanner five = new MembershipPlanner(2, TIMING);

    private static Member member(String name) {
        return Member.nonFounder(name.hashCode(), name + ":1", "c" + name);
    }

    private static Replica healthy(String name) {
        return new Replica(member(name), 0, true, false);
    }

    private static Replica unresponsive(String name, double ms) {
        return new Replica(member(name), ms, true, false);
    }

    private static Replica lagging(String name) {
        return new Replica(member(name), 0, false, false);
    }

    private static Replica leaving(String name) {
        return new Replica(member(name), 0, true, true);
    }

    private static List<Replica> healthyReplicas(String... names) {
        return List.of(names).stream().map(name -> healthy(name)).toList();
    }

    private static List<Replica> with(List<Replica> replicas, Replica... others) {
        List<Replica> all = new ArrayList<>(replicas);
        all.addAll(List.of(others));
        return all;
    }

    private static void assertAdds(String name, Optional<VoterChange> change) {
        assertEquals(Optional.of(new VoterChange(VoterChange.Kind.ADD, member(name))), change);
    }

    private static void assertRemoves(String name, Optional<VoterChange> change) {
        assertEquals(Optional.of(new VoterChange(VoterChange.Kind.REMOVE, member(name))), change);
    }

    private static void assertNone(Optional<VoterChange> change) {
        assertEquals(Optional.empty(), change);
    }

    @Test
    void completeHealthyCoreIsNotChanged() {
        assertNone(three.next(healthyReplicas("a", "b", "c"), List.of()));
        assertNone(three.next(healthyReplicas("a", "b", "c"), healthyReplicas("d", "e")));
        assertNone(five.next(healthyReplicas("a", "b", "c", "d", "e"), healthyReplicas("f", "g")));
    }

    @Test
    void growsFromThreeToFiveOnceTwoLearnersAreReady() {
        assertAdds("d", five.next(healthyReplicas("a", "b", "c"), healthyReplicas("d", "e")));
        assertAdds("e", five.next(healthyReplicas("a", "b", "c", "d"), healthyReplicas("e")));
        assertNone(five.next(healthyReplicas("a", "b", "c"), healthyReplicas("d")));
        assertNone(five.next(healthyReplicas("a", "b", "c"), with(healthyReplicas("d"), lagging("e"))));
        assertNone(five.next(healthyReplicas("a", "b", "c"), with(healthyReplicas("d"), unresponsive("e", STALE_MS))));
    }

    /**
     * Four voters need three answers: with one voter unresponsive, a failure of the new voter would cost the majority.
     */
    @Test
    void doesNotGrowToFourWhileAVoterIsUnresponsive() {
        assertNone(five.next(with(healthyReplicas("a", "b"), unresponsive("c", STALE_MS)), healthyReplicas("d", "e")));
        assertNone(five.next(with(healthyReplicas("a", "b"), lagging("c")), healthyReplicas("d", "e")));
        assertRemoves(
                "c", five.next(with(healthyReplicas("a", "b"), unresponsive("c", LOST_MS)), healthyReplicas("d", "e")));
    }

    @Test
    void addsLearnerOnlyWhenCaughtUp() {
        assertNone(three.next(healthyReplicas("a", "b"), List.of(lagging("d"))));
        assertAdds("d", three.next(healthyReplicas("a", "b"), List.of(lagging("e"), healthy("d"))));
        assertNone(three.next(with(healthyReplicas("a", "b"), unresponsive("c", LOST_MS)), List.of(lagging("d"))));
    }

    @Test
    void removesLostVoterOnlyWhenALearnerIsReady() {
        assertNone(three.next(with(healthyReplicas("a", "b"), unresponsive("c", LOST_MS)), List.of()));
        assertNone(three.next(with(healthyReplicas("a", "b"), unresponsive("c", LOST_MS - 2)), healthyReplicas("d")));
        assertRemoves(
                "c", three.next(with(healthyReplicas("a", "b"), unresponsive("c", LOST_MS)), healthyReplicas("d")));
        assertAdds("d", three.next(healthyReplicas("a", "b"), healthyReplicas("d")));
    }

    @Test
    void removesFormerIncarnationOfLearnerFirstAndWithoutDelay() {
        Replica formerIncarnation = new Replica(Member.nonFounder(7, "d:1", "cd"), STALE_MS, true, false);
        assertRemoves(
                formerIncarnation,
                three.next(with(healthyReplicas("a", "b"), formerIncarnation), healthyReplicas("d")));
        assertRemoves(
                formerIncarnation,
                five.next(
                        with(
                                healthyReplicas("a", "b"),
                                unresponsive("c", 2 * LOST_MS),
                                formerIncarnation,
                                healthy("e")),
                        healthyReplicas("d")));
    }

    private static void assertRemoves(Replica voter, Optional<VoterChange> change) {
        assertEquals(Optional.of(new VoterChange(VoterChange.Kind.REMOVE, voter.member())), change);
    }

    @Test
    void replacesTwoOfFiveOneAfterTheOther() {
        List<Replica> lost = List.of(unresponsive("d", LOST_MS), unresponsive("e", LOST_MS + 1));
        List<Replica> voters = with(healthyReplicas("a", "b", "c"), lost.get(0), lost.get(1));
        assertRemoves("e", five.next(voters, healthyReplicas("f", "g")));
        assertAdds("f", five.next(with(healthyReplicas("a", "b", "c"), lost.get(0)), healthyReplicas("f", "g")));
        assertRemoves("d", five.next(with(healthyReplicas("a", "b", "c", "f"), lost.get(0)), healthyReplicas("g")));
        assertAdds("g", five.next(healthyReplicas("a", "b", "c", "f"), healthyReplicas("g")));
    }

    @Test
    void addsReplacementBeforeRemovingLeavingVoter() {
        assertNone(three.next(with(healthyReplicas("a", "b"), leaving("c")), List.of()));
        assertAdds("d", three.next(with(healthyReplicas("a", "b"), leaving("c")), healthyReplicas("d")));
        assertRemoves("c", three.next(with(healthyReplicas("a", "b"), leaving("c"), healthy("d")), List.of()));
    }

    /** An additional voter beside an unresponsive one would leave the core without failure tolerance. */
    @Test
    void removesLeavingVoterFirstWhileAnotherIsUnresponsive() {
        assertRemoves(
                "c",
                five.next(
                        with(healthyReplicas("a", "b", "d"), leaving("c"), unresponsive("e", STALE_MS)),
                        healthyReplicas("f")));
    }

    @Test
    void oversizedCoreRemovesLostVoter() {
        assertRemoves(
                "c", three.next(with(healthyReplicas("a", "b"), unresponsive("c", LOST_MS), healthy("d")), List.of()));
        assertNone(three.next(healthyReplicas("a", "b", "c", "d"), healthyReplicas("e")));
    }

    @Test
    void makesNoChangeWithoutHealthyMajorityAfterwards() {
        assertNone(three.next(
                List.of(healthy("a"), unresponsive("b", STALE_MS), unresponsive("c", LOST_MS)), healthyReplicas("d")));
        assertNone(three.next(List.of(healthy("a"), lagging("b"), unresponsive("c", LOST_MS)), healthyReplicas("d")));
        assertNone(five.next(
                with(
                        healthyReplicas("a", "b"),
                        unresponsive("c", STALE_MS),
                        unresponsive("d", LOST_MS),
                        unresponsive("e", LOST_MS)),
                healthyReplicas("f")));
    }

    /**
     * All states of up to six voters and two learners, each healthy, stale, lagging, lost or leaving: no change removes
     * the last failure that the core tolerates.
     */
    @Test
    void noChangeRemovesLastToleratedFailure() {
        int steps = 0;
        for (int size = 1; size <= 6; size++) {
            for (int state = 0; state < Math.pow(KINDS, size + 1); state++) {
                List<Replica> all = replicas(size + 1, state);
                List<Replica> voters =
                        with(List.of(healthy("leader")), all.subList(1, size).toArray(Replica[]::new));
                List<Replica> learners = List.of(all.get(0), healthy("l"));
                for (MembershipPlanner planner : List.of(three, five)) {
                    Optional<VoterChange> change = planner.next(voters, learners);
                    if (change.isPresent()) {
                        steps++;
                        assertToleranceKept(voters, learners, change.get());
                    }
                }
            }
        }
        assertTrue(steps > 1000, steps + " steps");
    }

    private static final int KINDS = 5;

    private static List<Replica> replicas(int count, int state) {
        List<Replica> replicas = new ArrayList<>();
        int remaining = state;
        for (int i = 0; i < count; i++) {
            String name = "v" + i;
            replicas.add(
                    switch (remaining % KINDS) {
                        case 0 -> healthy(name);
                        case 1 -> unresponsive(name, STALE_MS);
                        case 2 -> unresponsive(name, LOST_MS);
                        case 3 -> lagging(name);
                        default -> leaving(name);
                    });
            remaining /= KINDS;
        }
        return replicas;
    }

    private static void assertToleranceKept(List<Replica> voters, List<Replica> learners, VoterChange change) {
        List<Member> before = voters.stream().map(Replica::member).toList();
        List<Member> after = change.applied(before);
        List<Replica> all = with(voters, learners.toArray(Replica[]::new));
        int tolerance = tolerance(all, after);
        int toleranceBefore = tolerance(all, before);
        String description = all + " " + change;
        assertTrue(tolerance >= 0, description);
        boolean removesHealthy =
                voters.stream().anyMatch(voter -> voter.member().equals(change.member()) && isHealthy(voter));
        // A leaving voter is lost soon, whether it still counts as a voter or not.
        assertTrue(tolerance >= toleranceBefore || removesHealthy && tolerance >= toleranceBefore - 1, description);
        assertTrue(change.kind() == VoterChange.Kind.REMOVE || isHealthy(replica(all, change.member())), description);
        assertTrue(
                before.size() == 1
                        || after.size() % 2 == 1
                        || change.kind() == VoterChange.Kind.REMOVE
                        || tolerance >= 1,
                description);
    }

    private static Replica replica(List<Replica> all, Member member) {
        return all.stream()
                .filter(replica -> replica.member().equals(member))
                .findAny()
                .orElseThrow();
    }

    private static boolean isHealthy(Replica replica) {
        return replica.sinceLastMessageMs() <= TIMING.peerAliveMs() && replica.caughtUp();
    }

    /** How many healthy voters may fail so that the remaining ones are still a majority. */
    private static int tolerance(List<Replica> all, List<Member> voters) {
        int healthy = (int)
                voters.stream().filter(voter -> isHealthy(replica(all, voter))).count();
        return healthy - voters.size() / 2 - 1;
    }
}

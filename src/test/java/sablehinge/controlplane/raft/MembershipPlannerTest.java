package sablehinge.controlplane.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import sablehinge.controlplane.raft.MembershipPlanner.Replica;

/** What the planner does next, for each state of voters and learners that a core of three or five meets. */
class MembershipPlannerTest {

    private static final RaftConfig TIMING = RaftConfig.defaults();
    private static final double STALE = TIMING.peerAliveMs() + 1;
    private static final double LOST = TIMING.voterLostMs() + 1;

    private final MembershipPlanner three = new MembershipPlanner(1, TIMING);
    private final MembershipPlanner five = new MembershipPlanner(2, TIMING);

    private static Member member(String name) {
        return Member.nonFounder(name.hashCode(), name + ":1", "c" + name);
    }

    private static Replica well(String name) {
        return new Replica(member(name), 0, true, false);
    }

    private static Replica unresponsive(String name, double ms) {
        return new Replica(member(name), ms, true, false);
    }

    private static Replica behind(String name) {
        return new Replica(member(name), 0, false, false);
    }

    private static Replica leaving(String name) {
        return new Replica(member(name), 0, true, true);
    }

    private static List<Replica> list(String... names) {
        return List.of(names).stream().map(name -> well(name)).toList();
    }

    private static List<Replica> with(List<Replica> some, Replica... more) {
        List<Replica> all = new ArrayList<>(some);
        all.addAll(List.of(more));
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
    void aFullCoreOfSoundVotersStaysAsItIs() {
        assertNone(three.next(list("a", "b", "c"), List.of()));
        assertNone(three.next(list("a", "b", "c"), list("d", "e")));
        assertNone(five.next(list("a", "b", "c", "d", "e"), list("f", "g")));
    }

    @Test
    void threeGrowToFiveOnceTwoLearnersAreReady() {
        assertAdds("d", five.next(list("a", "b", "c"), list("d", "e")));
        assertAdds("e", five.next(list("a", "b", "c", "d"), list("e")));
        assertNone(five.next(list("a", "b", "c"), list("d")));
        assertNone(five.next(list("a", "b", "c"), with(list("d"), behind("e"))));
        assertNone(five.next(list("a", "b", "c"), with(list("d"), unresponsive("e", STALE))));
    }

    /** With a fourth voter three must answer: were one unresponsive, the loss of the newcomer would end it. */
    @Test
    void threeDoNotBecomeFourWhileOneOfThemDoesNotAnswer() {
        assertNone(five.next(with(list("a", "b"), unresponsive("c", STALE)), list("d", "e")));
        assertNone(five.next(with(list("a", "b"), behind("c")), list("d", "e")));
        assertRemoves("c", five.next(with(list("a", "b"), unresponsive("c", LOST)), list("d", "e")));
    }

    @Test
    void aLearnerComesOnlyWithEverythingOnItsDisk() {
        assertNone(three.next(list("a", "b"), List.of(behind("d"))));
        assertAdds("d", three.next(list("a", "b"), List.of(behind("e"), well("d"))));
        assertNone(three.next(with(list("a", "b"), unresponsive("c", LOST)), List.of(behind("d"))));
    }

    @Test
    void aVoterThatIsLostGoesWhenALearnerIsReadyAndNotBefore() {
        assertNone(three.next(with(list("a", "b"), unresponsive("c", LOST)), List.of()));
        assertNone(three.next(with(list("a", "b"), unresponsive("c", LOST - 2)), list("d")));
        assertRemoves("c", three.next(with(list("a", "b"), unresponsive("c", LOST)), list("d")));
        assertAdds("d", three.next(list("a", "b"), list("d")));
    }

    @Test
    void theFormerLifeOfAWipedVoterGoesAtOnceAndBeforeAnother() {
        Replica formerIncarnation = new Replica(Member.nonFounder(7, "d:1", "cd"), STALE, true, false);
        assertRemoves(formerIncarnation, three.next(with(list("a", "b"), formerIncarnation), list("d")));
        assertRemoves(
                formerIncarnation,
                five.next(with(list("a", "b"), unresponsive("c", 2 * LOST), formerIncarnation, well("e")), list("d")));
    }

    private static void assertRemoves(Replica voter, Optional<VoterChange> change) {
        assertEquals(Optional.of(new VoterChange(VoterChange.Kind.REMOVE, voter.member())), change);
    }

    @Test
    void twoOfFiveAreReplacedOneAfterTheOther() {
        List<Replica> lost = List.of(unresponsive("d", LOST), unresponsive("e", LOST + 1));
        List<Replica> voters = with(list("a", "b", "c"), lost.get(0), lost.get(1));
        assertRemoves("e", five.next(voters, list("f", "g")));
        assertAdds("f", five.next(with(list("a", "b", "c"), lost.get(0)), list("f", "g")));
        assertRemoves("d", five.next(with(list("a", "b", "c", "f"), lost.get(0)), list("g")));
        assertAdds("g", five.next(list("a", "b", "c", "f"), list("g")));
    }

    @Test
    void whoLeavesIsReplacedByOneThatComesFirst() {
        assertNone(three.next(with(list("a", "b"), leaving("c")), List.of()));
        assertAdds("d", three.next(with(list("a", "b"), leaving("c")), list("d")));
        assertRemoves("c", three.next(with(list("a", "b"), leaving("c"), well("d")), List.of()));
    }

    /** A fourth voter beside an unresponsive one would leave no loss to be borne. */
    @Test
    void whoLeavesGoesFirstWhileAnotherIsSilent() {
        assertRemoves("c", five.next(with(list("a", "b", "d"), leaving("c"), unresponsive("e", STALE)), list("f")));
    }

    @Test
    void aCoreAboveItsSizeShrinksByWhoIsLost() {
        assertRemoves("c", three.next(with(list("a", "b"), unresponsive("c", LOST), well("d")), List.of()));
        assertNone(three.next(list("a", "b", "c", "d"), list("e")));
    }

    @Test
    void nothingChangesWithoutASoundMajorityAfterIt() {
        assertNone(three.next(List.of(well("a"), unresponsive("b", STALE), unresponsive("c", LOST)), list("d")));
        assertNone(three.next(List.of(well("a"), behind("b"), unresponsive("c", LOST)), list("d")));
        assertNone(five.next(
                with(list("a", "b"), unresponsive("c", STALE), unresponsive("d", LOST), unresponsive("e", LOST)),
                list("f")));
    }

    /**
     * All states of up to six voters and two learners, each well, stale, behind, lost or leaving: a step never takes
     * away the last loss that is borne, and none changes a core that is as it should be.
     */
    @Test
    void noStepEndsACoreThatBoreALoss() {
        int steps = 0;
        for (int size = 1; size <= 6; size++) {
            for (int state = 0; state < Math.pow(KINDS, size + 1); state++) {
                List<Replica> all = replicas(size + 1, state);
                List<Replica> voters =
                        with(List.of(well("leader")), all.subList(1, size).toArray(Replica[]::new));
                List<Replica> learners = List.of(all.get(0), well("l"));
                for (MembershipPlanner planner : List.of(three, five)) {
                    Optional<VoterChange> change = planner.next(voters, learners);
                    if (change.isPresent()) {
                        steps++;
                        assertBears(voters, learners, change.get());
                    }
                }
            }
        }
        assertTrue(steps > 1000, steps + " steps");
    }

    private static final int KINDS = 5;

    private static List<Replica> replicas(int count, int state) {
        List<Replica> replicas = new ArrayList<>();
        int left = state;
        for (int i = 0; i < count; i++) {
            String name = "v" + i;
            replicas.add(
                    switch (left % KINDS) {
                        case 0 -> well(name);
                        case 1 -> unresponsive(name, STALE);
                        case 2 -> unresponsive(name, LOST);
                        case 3 -> behind(name);
                        default -> leaving(name);
                    });
            left /= KINDS;
        }
        return replicas;
    }

    private static void assertBears(List<Replica> voters, List<Replica> learners, VoterChange change) {
        List<Member> before = voters.stream().map(Replica::member).toList();
        List<Member> after = change.applied(before);
        List<Replica> all = with(voters, learners.toArray(Replica[]::new));
        int margin = margin(all, after);
        int was = margin(all, before);
        String description = all + " " + change;
        assertTrue(margin >= 0, description);
        boolean goes = voters.stream().anyMatch(one -> one.member().equals(change.member()) && sound(one));
        // Who leaves of itself is lost soon, whether it is still counted or not.
        assertTrue(margin >= was || goes && margin >= was - 1, description);
        assertTrue(change.kind() == VoterChange.Kind.REMOVE || sound(replica(all, change.member())), description);
        assertTrue(
                before.size() == 1 || after.size() % 2 == 1 || change.kind() == VoterChange.Kind.REMOVE || margin >= 1,
                description);
    }

    private static Replica replica(List<Replica> all, Member member) {
        return all.stream().filter(one -> one.member().equals(member)).findAny().orElseThrow();
    }

    private static boolean sound(Replica one) {
        return one.sinceLastMessageMs() <= TIMING.peerAliveMs() && one.caughtUp();
    }

    /** How many of the sound voters of a list may be lost while the rest is a majority. */
    private static int margin(List<Replica> all, List<Member> list) {
        int sound = (int) list.stream().filter(one -> sound(replica(all, one))).count();
        return sound - list.size() / 2 - 1;
    }
}

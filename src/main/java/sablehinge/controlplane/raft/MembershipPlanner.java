package sablehinge.controlplane.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Decides which voter comes or goes next. A leader asks it whenever the last change of the voters is committed, so that
 * voters change one at a time and any two successive majorities share a member.
 *
 * <p>A core of {@code targetVoters} voters, an odd number, bears the losses that the deployment states. One below it
 * grows, one above it shrinks, and a voter that is lost or leaves goes only when a learner whose disk has everything
 * committed is ready to take its place. Between two steps the core never bears fewer losses than before the first:
 *
 * <ul>
 *   <li>An odd core takes a voter that makes it even only if all its voters answer and the learner that makes it odd
 *       again is ready too: an even core needs one vote more than the odd one below it and bears no more.
 *   <li>A voter that does not answer goes before its successor comes. The other order would need the successor for each
 *       commit in between, and a successor that dies then would take the majority with it.
 *   <li>A voter that leaves and still answers goes after its successor has come.
 * </ul>
 *
 * <p>It has no state, no clock and no I/O.
 */
final class MembershipPlanner {

    /** Where three machines serve the core it has three voters, whatever losses are stated. */
    private static final int MIN_VOTERS = 3;

    /**
     * What the leader knows of a voter or a learner.
     *
     * @param member who it is
     * @param sinceLastMessageMs since its last answer, ms; 0 for the leader itself
     * @param caughtUp whether its disk has everything that is committed
     * @param leaving whether it has announced lately that it is about to end
     */
    record Replica(Member member, double sinceLastMessageMs, boolean caughtUp, boolean leaving) {}

    private final int targetVoters;
    private final double freshMs;
    private final double sinceLastMessageMs;

    /**
     * A planner for one deployment.
     *
     * @param losses how many members may be lost at once while the core goes on, from 0 on
     * @param timing when a member counts as alive, and when as lost
     */
    MembershipPlanner(int losses, RaftConfig timing) {
        targetVoters = Math.max(MIN_VOTERS, 2 * losses + 1);
        freshMs = timing.peerAliveMs();
        sinceLastMessageMs = timing.voterLostMs();
    }

    /**
     * The next step, if one is due and if a majority of the voters after it answers and has everything.
     *
     * @param voters the committed list, the leader among them
     * @param learners who asks to become a voter and is fed, the one that has waited longest first
     */
    Optional<VoterChange> next(List<Replica> voters, List<Replica> learners) {
        List<Replica> ready = learners.stream().filter(this::isReady).toList();
        return due(voters, ready).filter(change -> hasMajorityAfter(change, voters, ready));
    }

    private Optional<VoterChange> due(List<Replica> voters, List<Replica> ready) {
        Optional<Replica> departing = departing(voters, ready);
        if (voters.size() > targetVoters) {
            return departing.map(MembershipPlanner::remove);
        }
        if (ready.isEmpty()) {
            return Optional.empty();
        }
        VoterChange add = new VoterChange(VoterChange.Kind.ADD, ready.get(0).member());
        if (voters.size() % 2 == 0) {
            return Optional.of(add);
        }
        boolean allSound = voters.stream().allMatch(this::isReady);
        if (voters.size() < targetVoters && ready.size() >= 2 && allSound) {
            return Optional.of(add);
        }
        if (departing.isEmpty() || voters.size() < MIN_VOTERS) {
            return Optional.empty();
        }
        if (voters.size() == targetVoters && allSound) {
            return Optional.of(add);
        }
        return departing.map(MembershipPlanner::remove);
    }

    private static VoterChange remove(Replica voter) {
        return new VoterChange(VoterChange.Kind.REMOVE, voter.member());
    }

    /**
     * Whose place may be taken: a former incarnation of a learner, then a voter that leaves, then the one that has not
     * answered for longest.
     */
    private Optional<Replica> departing(List<Replica> voters, List<Replica> ready) {
        for (Replica voter : voters) {
            // Two incarnations of one disk can't both answer: the one before need not be waited for.
            if (!isFresh(voter) && ready.stream().anyMatch(one -> isSameMachine(one, voter))) {
                return Optional.of(voter);
            }
        }
        Replica goes = null;
        for (Replica voter : voters) {
            if (voter.leaving()) {
                return Optional.of(voter);
            }
            if (voter.sinceLastMessageMs() > sinceLastMessageMs
                    && (goes == null || voter.sinceLastMessageMs() > goes.sinceLastMessageMs())) {
                goes = voter;
            }
        }
        return Optional.ofNullable(goes);
    }

    private static boolean isSameMachine(Replica one, Replica other) {
        return one.member().address().equals(other.member().address());
    }

    private boolean isFresh(Replica replica) {
        return replica.sinceLastMessageMs() <= freshMs;
    }

    private boolean isReady(Replica replica) {
        return isFresh(replica) && replica.caughtUp();
    }

    /** Whether a majority of the voters after a step answers and has everything that is committed. */
    private boolean hasMajorityAfter(VoterChange change, List<Replica> voters, List<Replica> ready) {
        List<Replica> next = new ArrayList<>(voters);
        next.addAll(ready);
        List<Member> list = change.applied(voters.stream().map(Replica::member).toList());
        long sound = next.stream()
                .filter(one -> list.contains(one.member()) && isReady(one))
                .count();
        return sound >= list.size() / 2 + 1;
    }
}

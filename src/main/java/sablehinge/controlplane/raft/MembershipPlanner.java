package sablehinge.controlplane.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Decides which voter is added or removed next. A leader calls it when the previous membership change is committed, so
 * that voters change one at a time and any two successive majorities share a member.
 *
 * <p>A core of {@code targetVoters} voters, an odd number, tolerates the failures that the deployment specifies. A
 * smaller core grows, a larger one shrinks, and a voter that is lost or leaving is removed only when a learner that has
 * all committed entries on disk is ready to replace it. Between two steps the core never tolerates fewer failures than
 * before the first:
 *
 * <ul>
 *   <li>An odd core adds a voter, which makes it even, only if all its voters answer and the learner that makes it odd
 *       again is ready too: an even core needs one vote more than the next smaller odd core and tolerates no more
 *       failures.
 *   <li>A voter that does not answer is removed before its replacement is added. In the reverse order each commit in
 *       between would need the replacement, whose failure would then cost the majority.
 *   <li>A voter that is leaving and still answers is removed after its replacement has been added.
 * </ul>
 *
 * <p>The planner has no state, clock or I/O.
 */
final class MembershipPlanner {

    /** The core grows to three voters if it has the machines, even if the deployment specifies fewer failures. */
    private static final int MIN_VOTERS = 3;

    /**
     * The leader's view of a voter or a learner.
     *
     * @param member the voter or learner
     * @param sinceLastMessageMs time since its last answer, ms; 0 for the leader itself
     * @param caughtUp whether its disk has all committed entries
     * @param leaving whether it has recently announced its shutdown
     */
    record Replica(Member member, double sinceLastMessageMs, boolean caughtUp, boolean leaving) {}

    private final int targetVoters;
    private final double aliveMs;
    private final double lostMs;

    /**
     * Creates a planner for one deployment.
     *
     * @param toleratedFailures number of members that may fail at the same time without making the core unavailable,
     *     from 0 on
     * @param timing times after which a member no longer counts as alive, and counts as lost
     */
    MembershipPlanner(int toleratedFailures, RaftConfig timing) {
        targetVoters = Math.max(MIN_VOTERS, 2 * toleratedFailures + 1);
        aliveMs = timing.peerAliveMs();
        lostMs = timing.voterLostMs();
    }

    /**
     * Returns the next change, if one is due and a majority of the resulting voters answers and has all committed
     * entries.
     *
     * @param voters the committed voters, including the leader
     * @param learners the replicas that request to become voters and are replicated to, the longest waiting first
     */
    Optional<VoterChange> next(List<Replica> voters, List<Replica> learners) {
        List<Replica> ready = learners.stream().filter(this::isReady).toList();
        return nextDue(voters, ready).filter(change -> hasMajorityAfter(change, voters, ready));
    }

    private Optional<VoterChange> nextDue(List<Replica> voters, List<Replica> ready) {
        Optional<Replica> voterToRemove = voterToRemove(voters, ready);
        if (voters.size() > targetVoters) {
            return voterToRemove.map(MembershipPlanner::remove);
        }
        if (ready.isEmpty()) {
            return Optional.empty();
        }
        VoterChange add = new VoterChange(VoterChange.Kind.ADD, ready.get(0).member());
        if (voters.size() % 2 == 0) {
            return Optional.of(add);
        }
        boolean allReady = voters.stream().allMatch(this::isReady);
        if (voters.size() < targetVoters && ready.size() >= 2 && allReady) {
            return Optional.of(add);
        }
        if (voterToRemove.isEmpty() || voters.size() < MIN_VOTERS) {
            return Optional.empty();
        }
        if (voters.size() == targetVoters && allReady) {
            return Optional.of(add);
        }
        return voterToRemove.map(MembershipPlanner::remove);
    }

    private static VoterChange remove(Replica voter) {
        return new VoterChange(VoterChange.Kind.REMOVE, voter.member());
    }

    /**
     * Returns the voter to remove first: a former incarnation of a learner, else a voter that is leaving, else the lost
     * voter that has not answered for the longest time.
     */
    private Optional<Replica> voterToRemove(List<Replica> voters, List<Replica> ready) {
        for (Replica voter : voters) {
            // Two incarnations of one machine cannot both answer, so the former one is removed without waiting.
            if (!isAlive(voter) && ready.stream().anyMatch(learner -> isSameMachine(learner, voter))) {
                return Optional.of(voter);
            }
        }
        Replica longestSilent = null;
        for (Replica voter : voters) {
            if (voter.leaving()) {
                return Optional.of(voter);
            }
            if (voter.sinceLastMessageMs() > lostMs
                    && (longestSilent == null || voter.sinceLastMessageMs() > longestSilent.sinceLastMessageMs())) {
                longestSilent = voter;
            }
        }
        return Optional.ofNullable(longestSilent);
    }

    private static boolean isSameMachine(Replica a, Replica b) {
        return a.member().address().equals(b.member().address());
    }

    private boolean isAlive(Replica replica) {
        return replica.sinceLastMessageMs() <= aliveMs;
    }

    private boolean isReady(Replica replica) {
        return isAlive(replica) && replica.caughtUp();
    }

    /** Whether a majority of the voters after a change answers and has all committed entries. */
    private boolean hasMajorityAfter(VoterChange change, List<Replica> voters, List<Replica> ready) {
        List<Replica> replicas = new ArrayList<>(voters);
        replicas.addAll(ready);
        List<Member> nextVoters =
                change.applied(voters.stream().map(Replica::member).toList());
        long readyCount = replicas.stream()
                .filter(replica -> nextVoters.contains(replica.member()) && isReady(replica))
                .count();
        return readyCount >= nextVoters.size() / 2 + 1;
    }
}

package sablehinge.controlplane.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Executes what {@link MembershipPlanner} decides: one change of one voter at a time, as an entry of the log, the next
 * only after the last is committed.
 */
final class VoterChanges {

    private final ReplicaState state;
    private final LeaderState leader;
    private final MembershipPlanner planner;
    /** The change that waits for answers to {@link #awaitedRound}; null for none. */
    private VoterChange awaited;

    private long awaitedRound;

    VoterChanges(ReplicaState state, LeaderState leader, MembershipPlanner planner) {
        this.state = state;
        this.leader = leader;
        this.planner = planner;
    }

    /** Begins a term. */
    void reset() {
        awaited = null;
    }

    /** Whether a change waits for a majority of the voters after it to answer. */
    boolean isAwaiting() {
        return awaited != null;
    }

    /** Appends the next change of the voters if one is due. */
    void appendNext(double now) {
        if (state.commitIndex < leader.firstIndexOfTerm()
                || state.log.membersIndex() > state.commitIndex
                || state.isDiskStalled(now)
                || leader.isLeaving()) {
            return;
        }
        List<MembershipPlanner.Replica> voters = new ArrayList<>();
        for (Member member : state.log.members()) {
            voters.add(replica(now, member));
        }
        List<MembershipPlanner.Replica> learners = new ArrayList<>();
        for (ReplicaProgress peer : leader.peers.values()) {
            if (leader.isLearner(now, peer)) {
                learners.add(replica(now, peer.member));
            }
        }
        Optional<VoterChange> due = planner.next(voters, learners);
        if (due.isEmpty()) {
            // If it is due again later, answers of before say nothing of who is there then.
            awaited = null;
        }
        if (due.isPresent() && isConfirmed(now, due.get())) {
            awaited = null;
            leader.append(
                    now, Entry.Kind.MEMBERS, MemberListCodec.write(due.get().applied(state.log.members())));
        }
    }

    /**
     * Whether a majority of the voters after a change is there at this moment. While a core is even it needs more of
     * its voters than before or after, and who answered some time ago may be lost by now.
     */
    private boolean isConfirmed(double now, VoterChange change) {
        List<Member> next = change.applied(state.log.members());
        if (next.size() % 2 == 1) {
            return true;
        }
        if (!change.equals(awaited)) {
            awaited = change;
            awaitedRound = leader.rounds.latest() + 1;
            leader.startRound(now);
        }
        return leader.rounds.answeredByMajorityOf(next) >= awaitedRound;
    }

    private MembershipPlanner.Replica replica(double now, Member member) {
        if (state.isSelf(member)) {
            return new MembershipPlanner.Replica(member, 0, true, false);
        }
        ReplicaProgress peer = leader.peers.get(member.id());
        return new MembershipPlanner.Replica(
                member, now - peer.lastResponseAt, leader.rounds.isCaughtUp(peer), peer.isLeaving(now, state.config));
    }
}

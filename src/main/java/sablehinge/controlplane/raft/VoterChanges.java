package sablehinge.controlplane.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Executes the decisions of {@link MembershipPlanner}: appends one change of one voter at a time to the log, each only
 * after the previous one is committed.
 */
final class VoterChanges {

    private final ReplicaState state;
    private final LeaderState leader;
    private final MembershipPlanner planner;
    /** The change that waits for answers to {@link #pendingRound}; null for none. */
    private VoterChange pendingChange;

    private long pendingRound;

    VoterChanges(ReplicaState state, LeaderState leader, MembershipPlanner planner) {
        this.state = state;
        this.leader = leader;
        this.planner = planner;
    }

    /** Resets the state at the start of a term. */
    void reset() {
        pendingChange = null;
    }

    /** Whether a change waits for answers of a majority of the resulting voters. */
    boolean hasPendingChange() {
        return pendingChange != null;
    }

    /** Appends the next membership change if one is due. */
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
        Optional<VoterChange> nextChange = planner.next(voters, learners);
        if (nextChange.isEmpty()) {
            // If the same change is due again later, the earlier answers do not show which voters are alive then.
            pendingChange = null;
        }
        if (nextChange.isPresent() && isConfirmed(now, nextChange.get())) {
            pendingChange = null;
            leader.append(
                    now,
                    Entry.Kind.MEMBERS,
                    MemberListCodec.write(nextChange.get().applied(state.log.members())));
        }
    }

    /**
     * Whether a change may be appended. If it leads to an even number of voters, a majority of them must first answer a
     * heartbeat round that starts after the change became due: an even core needs a larger share of its voters than the
     * core before or after it, and a voter that answered some time ago may be lost by now.
     */
    private boolean isConfirmed(double now, VoterChange change) {
        List<Member> next = change.applied(state.log.members());
        if (next.size() % 2 == 1) {
            return true;
        }
        if (!change.equals(pendingChange)) {
            pendingChange = change;
            pendingRound = leader.rounds.latest() + 1;
            leader.startRound(now);
        }
        return leader.rounds.answeredByMajorityOf(next) >= pendingRound;
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

package sablehinge.controlplane.raft;

import java.util.HashSet;
import java.util.Set;

/**
 * Elections: requests votes and pre-votes for this replica, and answers those of other candidates.
 *
 * <p>A pre-vote only asks whether the receiver would grant its vote and changes no state, so that a replica that was
 * partitioned does not disrupt the leader when it returns (Ongaro, "Consensus: Bridging Theory and Practice", 9.6). A
 * vote is sent once it is on disk.
 */
final class CandidateState {

    private final ReplicaState state;
    private final QuorumState quorum;
    private boolean preVoting;
    /** Ids of the members that granted a vote, or a pre-vote while {@link #preVoting}. */
    private final Set<Long> votes = new HashSet<>();

    private double electionStartedAt = Double.NEGATIVE_INFINITY;

    CandidateState(ReplicaState state, QuorumState quorum) {
        this.state = state;
        this.quorum = quorum;
    }

    /** When this replica requested the votes of its latest election, ms. */
    double electionStartedAt() {
        return electionStartedAt;
    }

    void cancelPreVote() {
        preVoting = false;
    }

    /**
     * Whether this replica may start an election. A member list without this replica matters only once it is committed:
     * until then this replica may be the only one that has the entry, and it would deny its vote to every candidate
     * with a shorter log. It requests the votes of the members in that list, and its own vote does not count.
     */
    boolean isElectable() {
        return state.isVoter() || state.log.wasVoterAt(state.self.id(), state.commitIndex);
    }

    /** Requests pre-votes, or starts the election at once if there is no other voter. */
    void requestPreVotes(double now) {
        state.role = RaftStatus.Role.FOLLOWER;
        state.leader = null;
        preVoting = true;
        votes.clear();
        votes.add(state.self.id());
        state.resetElectionTimer(now);
        if (state.hasMajority(votes)) {
            quorum.startElection(now, state.term + 1, false);
            return;
        }
        Message request =
                new Message.VoteRequest(state.term + 1, state.log.lastIndex(), state.log.lastTerm(), true, false);
        for (Member member : state.log.members()) {
            if (!state.isSelf(member)) {
                state.actions.send(member, request);
            }
        }
    }

    /** Requests votes in the current term; called by {@link QuorumState#startElection}. */
    void requestVotes(double now, boolean leadershipTransfer) {
        electionStartedAt = now;
        votes.clear();
        state.resetElectionTimer(now);
        Message request = new Message.VoteRequest(
                state.term, state.log.lastIndex(), state.log.lastTerm(), false, leadershipTransfer);
        for (Member member : state.log.members()) {
            if (!state.isSelf(member)) {
                // Waits until this replica's own vote and the log that the request refers to are on disk.
                state.queue.sendWhenSynced(member, request);
            }
        }
    }

    /** Counts this replica's own vote once it is on disk. */
    void countOwnVote(double now) {
        if (state.queue.syncedTerm() == state.term && state.votedFor == state.self.id() && votes.add(state.self.id())) {
            countVotes(now);
        }
    }

    private void countVotes(double now) {
        if (state.hasMajority(votes)) {
            quorum.becomeLeader(now);
        }
    }

    void handleVoteRequest(double now, Member from, Message.VoteRequest request) {
        boolean fromVoter = state.log.isVoter(from.id());
        boolean hasLeader = state.isLeader() || now - state.lastLeaderContactAt < state.config.minElectionTimeoutMs();
        // A replica in contact with a leader grants no vote, except to the successor that the leader itself chose:
        // otherwise a lease could outlast the leadership.
        boolean refused = hasLeader && !(request.leadershipTransfer() && fromVoter);
        boolean upToDate = isUpToDate(request);
        if (request.preVote()) {
            boolean granted = !refused && upToDate && request.term() > state.term && !state.isDiskStalled(now);
            state.actions.send(from, new Message.VoteResponse(granted ? request.term() : state.term, granted, true));
            return;
        }
        if (!refused && request.term() > state.term) {
            quorum.becomeFollower(now, request.term(), null);
        }
        boolean granted = !refused
                && upToDate
                && request.term() == state.term
                && state.role == RaftStatus.Role.FOLLOWER
                && (state.votedFor == 0 || state.votedFor == from.id());
        if (!granted) {
            state.actions.send(from, new Message.VoteResponse(state.term, false, false));
            return;
        }
        if (state.votedFor == 0) {
            state.votedFor = from.id();
            state.queue.markDirty();
        }
        preVoting = false;
        state.resetElectionTimer(now);
        state.queue.sendWhenSynced(from, new Message.VoteResponse(state.term, true, false));
    }

    /** Whether a candidate's log is at least as up to date as this replica's (Raft, 5.4.1). */
    private boolean isUpToDate(Message.VoteRequest request) {
        long lastTerm = state.log.lastTerm();
        return request.lastTerm() > lastTerm
                || request.lastTerm() == lastTerm && request.lastIndex() >= state.log.lastIndex();
    }

    void handleVoteResponse(double now, Member from, Message.VoteResponse response) {
        if (!state.log.isVoter(from.id()) || state.isLeader()) {
            return;
        }
        if (!response.granted()) {
            if (response.term() > state.term) {
                quorum.becomeFollower(now, response.term(), null);
            }
        } else if (response.preVote() && preVoting && response.term() == state.term + 1) {
            votes.add(from.id());
            if (state.hasMajority(votes)) {
                quorum.startElection(now, state.term + 1, false);
            }
        } else if (!response.preVote() && state.role == RaftStatus.Role.CANDIDATE && response.term() == state.term) {
            votes.add(from.id());
            countVotes(now);
        }
    }
}

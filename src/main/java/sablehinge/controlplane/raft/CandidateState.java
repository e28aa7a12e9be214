package sablehinge.controlplane.raft;

import java.util.HashSet;
import java.util.Set;

/**
 * Elections, from both sides: pre-votes and votes that this replica requests, and those that are requested of it.
 *
 * <p>A pre-vote only asks whether the vote would be given; nothing follows from it, so that a replica that was cut off
 * disturbs nobody when it returns (Ongaro, "Consensus: Bridging Theory and Practice", 9.6). A vote leaves once it is on
 * disk.
 */
final class CandidateState {

    private final ReplicaState state;
    private final QuorumState quorum;
    private boolean preVoting;
    /** Who has granted a vote, or a pre-vote while {@link #preVoting}. */
    private final Set<Long> votes = new HashSet<>();

    private double electionStartedAt = Double.NEGATIVE_INFINITY;

    CandidateState(ReplicaState state, QuorumState quorum) {
        this.state = state;
        this.quorum = quorum;
    }

    /** When this replica requested the votes of its latest term, ms. */
    double electionStartedAt() {
        return electionStartedAt;
    }

    void cancelPreVote() {
        preVoting = false;
    }

    /**
     * Whether this replica may stand for election. A list that leaves it out counts only once it is committed: until
     * then it may be the only one that holds that entry, and nobody with a shorter log gets its vote. It asks the
     * voters of that list, and its own vote counts for nothing.
     */
    boolean isElectable() {
        return state.isVoter() || state.log.wasVoterAt(state.self.id(), state.commitIndex);
    }

    /** Requests pre-votes, and starts the election at once where there is no other voter. */
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

    /** Asks for the votes of the current term; called by {@link QuorumState#startElection}. */
    void requestVotes(double now, boolean leadershipTransfer) {
        electionStartedAt = now;
        votes.clear();
        state.resetElectionTimer(now);
        Message request = new Message.VoteRequest(
                state.term, state.log.lastIndex(), state.log.lastTerm(), false, leadershipTransfer);
        for (Member member : state.log.members()) {
            if (!state.isSelf(member)) {
                // Waits until the own vote is on disk, and with it all of the log that the request names.
                state.queue.sendWhenSynced(member, request);
            }
        }
    }

    /** Counts the own vote once it is on disk. */
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
        boolean known = state.log.isVoter(from.id());
        boolean led = state.isLeader() || now - state.leaderHeardAt < state.config.minElectionTimeoutMs();
        // A replica that is in contact with a leader votes for nobody, except for a successor that the leader itself
        // chose:
        // else a
        // lease might outlast the leadership.
        boolean refused = led && !(request.leadershipTransfer() && known);
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

    /** Whether a candidate's log is at least as complete as the own one (Raft, 5.4.1). */
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

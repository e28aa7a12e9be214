package sablehinge.controlplane.raft;

/**
 * The role of a replica, and the only place where it changes.
 *
 * <ul>
 *   <li>Follower to candidate: the election timer ran out, a majority would vote for this replica (by pre-votes, see
 *       {@link CandidateState}), or the leader transfers its leadership to it.
 *   <li>Candidate to leader: a majority has voted for it, its own vote being on disk.
 *   <li>Candidate or leader to follower: a later term was seen, a leader of the same term was heard (candidate only),
 *       or no majority has answered for {@link RaftConfig#quorumTimeoutMs} (leader only).
 *   <li>Leader to candidate of a later term: a learner is of a later term than the leader, which has to get beyond it.
 * </ul>
 */
final class QuorumState {

    private final ReplicaState state;
    final FollowerState follower;
    final CandidateState candidate;
    final LeaderState leader;

    QuorumState(ReplicaState state, MembershipPlanner planner) {
        this.state = state;
        follower = new FollowerState(state, this);
        candidate = new CandidateState(state, this);
        leader = new LeaderState(state, this, planner);
    }

    /**
     * Becomes a follower, of a later term or of the same.
     *
     * @param newLeader the leader of that term; null where it is not known
     */
    void becomeFollower(double now, long newTerm, Member newLeader) {
        if (newTerm > state.term) {
            state.term = newTerm;
            state.votedFor = 0;
            state.queue.markDirty();
            follower.resetForTerm();
            state.leader = null;
        }
        if (state.isLeader()) {
            leader.resign();
            follower.resetVerifiedIndex();
            state.leader = null;
            state.resetElectionTimer(now);
        }
        state.role = RaftStatus.Role.FOLLOWER;
        candidate.cancelPreVote();
        if (newLeader != null) {
            state.leader = newLeader;
        }
    }

    /**
     * Starts an election in a later term.
     *
     * @param leadershipTransfer whether the leader has requested it, so that voters do not insist on their leader
     */
    void startElection(double now, long newTerm, boolean leadershipTransfer) {
        becomeFollower(now, newTerm, null);
        state.role = RaftStatus.Role.CANDIDATE;
        state.votedFor = state.self.id();
        state.queue.markDirty();
        candidate.requestVotes(now, leadershipTransfer);
    }

    /** Begins to lead the current term, for which a majority has voted. */
    void becomeLeader(double now) {
        state.role = RaftStatus.Role.LEADER;
        state.leader = state.self;
        candidate.cancelPreVote();
        follower.discardSnapshotChunks();
        leader.begin(now, candidate.electionStartedAt());
    }
}

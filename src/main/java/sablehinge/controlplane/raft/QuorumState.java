package sablehinge.controlplane.raft;

/**
 * The role of a replica. Only this class changes it.
 *
 * <ul>
 *   <li>Follower to candidate: the election timer has expired and a majority has granted pre-votes (see
 *       {@link CandidateState}), or the leader transfers its leadership to this replica.
 *   <li>Candidate to leader: a majority has voted for this replica, whose own vote is on disk.
 *   <li>Candidate or leader to follower: the replica has seen a later term, has received a message of a leader of the
 *       same term (candidate only), or has had no answers of a majority for {@link RaftConfig#quorumTimeoutMs} (leader
 *       only).
 *   <li>Leader to candidate of a later term: a learner has seen a later term than the leader's, so the leader needs a
 *       term beyond it.
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
     * Becomes a follower, in the same term or a later one.
     *
     * @param newLeader the leader of that term; null if unknown
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
     * @param leadershipTransfer whether the leader has requested the election, so that voters grant their vote although
     *     they are in contact with a leader
     */
    void startElection(double now, long newTerm, boolean leadershipTransfer) {
        becomeFollower(now, newTerm, null);
        state.role = RaftStatus.Role.CANDIDATE;
        state.votedFor = state.self.id();
        state.queue.markDirty();
        candidate.requestVotes(now, leadershipTransfer);
    }

    /** Becomes the leader of the current term, in which a majority has voted for this replica. */
    void becomeLeader(double now) {
        state.role = RaftStatus.Role.LEADER;
        state.leader = state.self;
        candidate.cancelPreVote();
        follower.discardSnapshotChunks();
        leader.begin(now, candidate.electionStartedAt());
    }
}

package sablehinge.controlplane.raft;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One replica of the control plane's log: Raft with pre-votes, a leader that steps down when it loses contact with a
 * majority, and membership changes of one voter at a time, which are entries of the log.
 *
 * <p>This class performs no I/O and reads no clock: the host provides clock, network and disk through
 * {@link RaftActions}. All calls must be made on one thread and not from within an action, except that {@link #compact}
 * may be called from within {@link RaftActions#apply}. The parameter {@code now} is a monotonic time in milliseconds.
 *
 * <p>Only synced data counts: a replica sends a vote or acknowledges entries only after its disk has synced them, and
 * the leader's own copy of an entry likewise counts towards the majority only after it is synced. A commit therefore
 * needs a majority of disks, which need not include the leader's, and a replica with a stalled disk delays no commit.
 *
 * <p>{@link ReplicaState} holds the state that all roles share, {@link QuorumState} the role and its transitions;
 * {@link FollowerState}, {@link CandidateState} and {@link LeaderState} implement the roles. {@link CoreDiscovery}
 * handles joining, and {@link Departure} handles leaving.
 */
public final class RaftNode {

    /** Fraction of the election timeout after which a replica that has just started may start an election. */
    private static final double FIRST_ELECTION_TIMEOUT_SHARE = 0.4;

    private final ReplicaState state;
    private final QuorumState quorum;
    private final LeaderState leader;
    private final CoreDiscovery discovery;
    private final Departure departure;

    /**
     * Creates a replica, which takes part after a call of {@link #bootstrap}, {@link #start} or
     * {@link #startAsLearner}.
     *
     * @param toleratedFailures number of members that may fail at the same time without making the core unavailable
     * @param seed seed of the random election timeouts
     */
    public RaftNode(RaftActions actions, RaftConfig config, int toleratedFailures, long seed) {
        state = new ReplicaState(actions, config, seed);
        quorum = new QuorumState(state, new MembershipPlanner(toleratedFailures, config));
        leader = quorum.leader;
        discovery = new CoreDiscovery(state, leader);
        departure = new Departure(state, leader);
    }

    /** Starts a founder of a new core. Its disk is empty, and all founders must pass the same list of founders. */
    public void bootstrap(double now, Member self, List<Member> founders) {
        state.self = self;
        Snapshot initial = new Snapshot(0, 0, founders, new byte[0]);
        state.log.install(initial);
        state.queue.snapshot(initial);
        // The replica starts to run in persisted(): if it lost this snapshot after it had voted, it would return as
        // another member.
        state.flush(now);
    }

    /**
     * Starts from the state on disk.
     *
     * @param processStartedAt when this process started, in ms; the previous process made all its promises before then
     */
    public void start(double now, PersistedState stored, double processStartedAt) {
        state.self = stored.self();
        state.term = stored.term();
        state.votedFor = stored.votedFor();
        if (stored.snapshot() != null) {
            state.log.install(stored.snapshot());
            state.commitIndex = stored.snapshot().index();
            if (state.commitIndex > 0) {
                state.actions.restore(stored.snapshot());
            }
        }
        for (Entry entry : stored.entries()) {
            state.log.append(entry);
        }
        state.queue.begin(state.log.lastIndex(), state.term);
        if (state.term > 0) {
            // An answer of the previous process may have given a leader a lease. The start of this process, which is
            // later
            // than any such answer, therefore counts as the last contact with a leader.
            state.lastLeaderContactAt = processStartedAt;
        }
        activate(now);
    }

    /** Starts with an empty disk after the core was founded: the replica requests to join as a learner. */
    public void startAsLearner(double now, Member self, List<String> addresses) {
        state.self = self;
        discovery.addContacts(addresses);
        activate(now);
    }

    private void activate(double now) {
        state.running = true;
        quorum.follower.resetVerifiedIndex();
        discovery.begin(now);
        // If all replicas have just started, there is no leader to wait for, only leases that previous processes may
        // have granted. If there is a leader, its followers reject the vote requests.
        RaftConfig config = state.config;
        double promiseEndsAt = state.lastLeaderContactAt + config.minElectionTimeoutMs();
        state.electionDeadline =
                Math.max(promiseEndsAt, now + FIRST_ELECTION_TIMEOUT_SHARE * config.minElectionTimeoutMs())
                        + FIRST_ELECTION_TIMEOUT_SHARE
                                * state.random.nextDouble()
                                * (config.maxElectionTimeoutMs() - config.minElectionTimeoutMs());
        state.flushAndPublish(now);
    }

    /** Adds addresses of machines that may be members, which this replica contacts when it looks for the core. */
    public void addContacts(List<String> addresses) {
        discovery.addContacts(addresses);
    }

    /**
     * Starts a graceful shutdown of this process, which may be permanent. A leader transfers its leadership.
     * {@link RaftActions#released} is called once a majority of the remaining voters has all committed entries on disk
     * and, if a learner is waiting to replace this replica, once the learner has done so. Without a majority it is
     * never called. This replica rejects proposals from now on and otherwise takes part until the process ends.
     */
    public void leave(double now) {
        if (departure.isLeaving()) {
            return;
        }
        departure.begin(now);
        if (state.running) {
            state.flushAndPublish(now);
        }
    }

    /** Runs time-driven work; to be called up to about ten times per heartbeat interval. */
    public void tick(double now) {
        if (!state.running) {
            return;
        }
        if (state.isLeader()) {
            leader.tick(now);
        } else {
            boolean voter = state.isVoter();
            quorum.follower.tick(now);
            if (!departure.isLeaving()) {
                discovery.tick(now, voter);
            }
        }
        if (departure.isLeaving()) {
            departure.tick(now);
        }
        state.flushAndPublish(now);
    }

    /** The host reports that all batches up to {@code number} are on disk. */
    public void persisted(double now, long number) {
        state.queue.persisted(number, state.actions);
        if (!state.running) {
            activate(now);
            return;
        }
        switch (state.role) {
            case LEADER -> leader.advanceCommitIndex(now);
            case CANDIDATE -> quorum.candidate.countOwnVote(now);
            default -> quorum.follower.onPersisted();
        }
        state.flushAndPublish(now);
    }

    /**
     * Proposes a command.
     *
     * @return the index of its entry, or 0 if this replica is not the leader, is leaving or has too many uncommitted or
     *     unwritten entries. The command is committed when {@link RaftActions#apply} receives an entry with that index
     *     and the term of the proposal; an entry of another term at that index means that the command was lost
     */
    public long propose(double now, byte[] command) {
        if (!state.running
                || !state.isLeader()
                || state.log.lastIndex() - state.commitIndex >= state.config.maxUncommittedEntries()
                || state.queue.isFull()
                || departure.isLeaving()) {
            return 0;
        }
        long index = leader.append(now, Entry.Kind.COMMAND, command);
        state.flushAndPublish(now);
        return index;
    }

    /**
     * Requests a read barrier, which is confirmed when every entry that any replica committed before this call is
     * applied here. Exactly one of {@link RaftActions#barrierConfirmed} and {@link RaftActions#barrierRejected} is
     * called for it.
     */
    public void barrier(double now, long token) {
        if (!state.running || !state.isLeader()) {
            state.actions.barrierRejected(token);
            return;
        }
        leader.barriers.add(now, token);
        state.flushAndPublish(now);
    }

    /**
     * Replaces the log up to entry {@code index} by a snapshot of the state after that entry.
     *
     * @throws IllegalArgumentException if that entry has not been applied
     */
    public void compact(long index, byte[] snapshotState) {
        if (index <= state.log.base().index()) {
            return;
        }
        if (index > state.commitIndex) {
            throw new IllegalArgumentException(
                    "entry " + index + " is not applied yet (last applied: " + state.commitIndex + ")");
        }
        // Entries that are still unwritten must precede the snapshot, in a batch of their own.
        state.flush(state.lastNow);
        state.log.compact(index, snapshotState);
        state.queue.snapshot(state.log.base());
        state.flush(state.lastNow);
    }

    /** Handles a received message; {@code from} is the sender as stated by the sender itself. */
    public void handleMessage(double now, Member from, Message message) {
        if (!state.running || state.isSelf(from)) {
            return;
        }
        message.accept(new Dispatcher(now, from));
        state.flushAndPublish(now);
    }

    /** Passes each type of message to the component that handles it. */
    private final class Dispatcher implements Message.Visitor<RuntimeException> {

        private final double now;
        private final Member from;

        Dispatcher(double now, Member from) {
            this.now = now;
            this.from = from;
        }

        @Override
        public void visit(Message.VoteRequest request) {
            quorum.candidate.handleVoteRequest(now, from, request);
        }

        @Override
        public void visit(Message.VoteResponse response) {
            quorum.candidate.handleVoteResponse(now, from, response);
        }

        @Override
        public void visit(Message.AppendRequest request) {
            quorum.follower.handleAppendRequest(now, from, request);
        }

        @Override
        public void visit(Message.AppendResponse response) {
            leader.handleAppendResponse(now, from, response);
        }

        @Override
        public void visit(Message.InstallSnapshotRequest request) {
            quorum.follower.handleInstallSnapshotRequest(now, from, request);
        }

        @Override
        public void visit(Message.InstallSnapshotResponse response) {
            leader.handleInstallSnapshotResponse(now, from, response);
        }

        @Override
        public void visit(Message.JoinRequest request) {
            discovery.handleJoinRequest(now, request);
        }

        @Override
        public void visit(Message.LeaderHint hint) {
            discovery.handleLeaderHint(now, hint);
        }

        @Override
        public void visit(Message.TimeoutNowRequest request) {
            handleTimeoutNowRequest(now, request);
        }

        @Override
        public void visit(Message.LeaveRequest request) {
            departure.handleLeaveRequest(now, request);
        }

        @Override
        public void visit(Message.LeaveResponse response) {
            departure.handleLeaveResponse(response);
        }
    }

    private void handleTimeoutNowRequest(double now, Message.TimeoutNowRequest request) {
        // Two leaving replicas would transfer the leadership to each other endlessly.
        if (request.term() == state.term
                && state.role == RaftStatus.Role.FOLLOWER
                && state.isVoter()
                && !departure.isLeaving()) {
            quorum.startElection(now, state.term + 1, true);
        }
    }

    /**
     * Whether this replica holds the leader lease and so may perform work that only one replica may perform at a time.
     * A majority has answered a heartbeat round so recently that none of its members votes for another candidate yet;
     * see {@link HeartbeatRounds}. There is no lease in a term in which this replica has transferred its leadership.
     */
    public boolean hasLease(double now) {
        return leader.rounds.hasLease(now);
    }

    /**
     * Time in ms since the latest heartbeat round that a majority of the members has answered was sent; infinite if
     * this replica is not the leader. The time when an answer was read would be wrong here: answers that waited in a
     * buffer while this process was paused would look recent.
     */
    public double sinceMajorityMs(double now) {
        return leader.rounds.sinceMajorityMs(now);
    }

    /** Time in ms since this replica last received a message of its leader; infinite if it knows no leader. */
    public double sinceLeaderMs(double now) {
        if (state.leader == null) {
            return Double.POSITIVE_INFINITY;
        }
        return state.isLeader() ? 0 : now - state.lastLeaderContactAt;
    }

    /** Returns the current metrics of this replica. */
    public RaftMetrics metrics(double now) {
        Map<Long, Double> sinceLastMessageMs = new HashMap<>();
        if (state.isLeader()) {
            sinceLastMessageMs.put(state.self.id(), 0.0);
            leader.peers.values().forEach(peer -> sinceLastMessageMs.put(peer.member.id(), now - peer.lastResponseAt));
        } else if (state.leader != null) {
            sinceLastMessageMs.put(state.leader.id(), now - state.lastLeaderContactAt);
        }
        return new RaftMetrics(state.commitIndex, leader.rounds.remainingLeaseMs(now), sinceLastMessageMs);
    }
}

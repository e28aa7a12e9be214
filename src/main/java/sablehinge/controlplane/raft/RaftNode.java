package sablehinge.controlplane.raft;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One replica of the core's log: Raft with pre-votes, a leader that steps down without contact to a majority, and
 * changes of one voter at a time that are entries of the log.
 *
 * <p>It decides only: clock, network and disk are the host's, behind {@link RaftActions}. All calls come from one
 * thread, never from within one of the actions (but {@link #compact} may be called from within
 * {@link RaftActions#apply}), and {@code now} is a steady clock in ms.
 *
 * <p>Only what is on disk counts: a vote, and the acknowledgement of entries, leave once the disk has them, and the
 * leader's own copy counts like any other, when its disk has it and not before. So a commit needs a majority of disks,
 * whichever they are, and a replica whose disk stalls delays nobody.
 *
 * <p>The parts: {@link ReplicaState} is what every role has, {@link QuorumState} the role and its transitions,
 * {@link FollowerState}, {@link CandidateState} and {@link LeaderState} the roles, {@link CoreDiscovery} and
 * {@link Departure} how replicas come and go.
 */
public final class RaftNode {

    /** The share of the usual wait for a leader after which a replica that has just started stands for election. */
    private static final double FIRST_ELECTION_SHARE = 0.4;

    private final ReplicaState state;
    private final QuorumState quorum;
    private final LeaderState leader;
    private final CoreDiscovery discovery;
    private final Departure departure;

    /**
     * A replica that takes part after one of {@link #bootstrap}, {@link #start}, {@link #startAsLearner}.
     *
     * @param losses how many members may be lost at once while the core goes on
     * @param seed of the random election timeouts
     */
    public RaftNode(RaftActions actions, RaftConfig config, int losses, long seed) {
        state = new ReplicaState(actions, config, seed);
        quorum = new QuorumState(state, new MembershipPlanner(losses, config));
        leader = quorum.leader;
        discovery = new CoreDiscovery(state, leader);
        departure = new Departure(state, leader);
    }

    /** The first start of the system: the disk is empty, and all founders name the same founders. */
    public void bootstrap(double now, Member self, List<Member> founders) {
        state.self = self;
        Snapshot first = new Snapshot(0, 0, founders, new byte[0]);
        state.log.install(first);
        state.queue.snapshot(first);
        // Only persisted() sets it running: one that forgot the founding after a vote would be another member.
        state.flush(now);
    }

    /**
     * Goes on with what the disk holds.
     *
     * @param processStartedAt when this process began, ms; whatever the process before promised, it had promised by
     *     then
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
            // A leader may hold a lease by an answer of the process before: as if it had been heard at its end.
            state.leaderHeardAt = processStartedAt;
        }
        run(now);
    }

    /** The disk is empty although the system was founded before: asks to be let in. */
    public void startAsLearner(double now, Member self, List<String> addresses) {
        state.self = self;
        discovery.addContacts(addresses);
        run(now);
    }

    private void run(double now) {
        state.running = true;
        quorum.follower.resetVerifiedIndex();
        discovery.begin(now);
        // Where all have just started there is no leader to wait for, only what they may have promised one;
        // where there is one, its followers refuse.
        RaftConfig config = state.config;
        double promisedUntil = state.leaderHeardAt + config.minElectionTimeoutMs();
        state.electionDeadline = Math.max(promisedUntil, now + FIRST_ELECTION_SHARE * config.minElectionTimeoutMs())
                + FIRST_ELECTION_SHARE
                        * state.random.nextDouble()
                        * (config.maxElectionTimeoutMs() - config.minElectionTimeoutMs());
        state.flushAndPublish(now);
    }

    /** Addresses of machines that may be members, for a replica that looks for them. */
    public void addContacts(List<String> addresses) {
        discovery.addContacts(addresses);
    }

    /**
     * This process is about to end, perhaps for good: leadership goes to another, and {@link RaftActions#released} is
     * called once a majority of those that stay has everything on disk that is committed, and, where a learner waits to
     * take the place, once it has taken it. Without a majority that is never. Nothing may be proposed here any more;
     * all else goes on until the process ends.
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

    /** Lets time pass; called some ten times per heartbeat or less. */
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

    /** The disk holds all batches up to this number. */
    public void persisted(double now, long number) {
        state.queue.persisted(number, state.actions);
        if (!state.running) {
            run(now);
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
     * Asks for a command to be committed.
     *
     * @return its index, or 0 if this replica does not lead or too many entries wait. It is committed when
     *     {@link RaftActions#apply} has an entry of that index and of the term in which it was proposed; an entry of
     *     another term there means that it never will be
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
     * Asks whether all that was committed anywhere before this call is applied here;
     * {@link RaftActions#barrierConfirmed} or {@link RaftActions#barrierRejected} answers, once.
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
     * The host holds the state after entry {@code index}, which was applied: the log before it may go.
     *
     * @throws IllegalArgumentException if that entry is not applied
     */
    public void compact(long index, byte[] snapshotState) {
        if (index <= state.log.base().index()) {
            return;
        }
        if (index > state.commitIndex) {
            throw new IllegalArgumentException("entry " + index + " is not applied; " + state.commitIndex + " is");
        }
        // Entries that are to be written first go in a batch of their own.
        state.flush(state.lastNow);
        state.log.compact(index, snapshotState);
        state.queue.snapshot(state.log.base());
        state.flush(state.lastNow);
    }

    /** A message came in. {@code from} is its sender as it names itself. */
    public void handleMessage(double now, Member from, Message message) {
        if (!state.running || state.isSelf(from)) {
            return;
        }
        message.accept(new Dispatcher(now, from));
        state.flushAndPublish(now);
    }

    /** Hands each kind of message to the part that handles it. */
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
        // Two that leave would transfer leadership to each other for ever.
        if (request.term() == state.term
                && state.role == RaftStatus.Role.FOLLOWER
                && state.isVoter()
                && !departure.isLeaving()) {
            quorum.startElection(now, state.term + 1, true);
        }
    }

    /**
     * Whether this replica may do what only one may do at a time. A majority has answered a heartbeat round lately
     * enough that none of it votes for another yet; see {@link HeartbeatRounds}. Not in a term in which it transferred
     * its leadership. another to take over.
     */
    public boolean hasLease(double now) {
        return leader.rounds.hasLease(now);
    }

    /**
     * How long ago the latest heartbeat round was sent that a majority of the members has answered, ms; infinite where
     * this replica does not lead. Unlike the time at which an answer was read, it can't be made to look recent by
     * answers that waited in a buffer while this process stood still.
     */
    public double sinceMajorityMs(double now) {
        return leader.rounds.sinceMajorityMs(now);
    }

    /** How long ago a follower heard of the leader that it names, ms; infinite where it names none. */
    public double sinceLeaderMs(double now) {
        if (state.leader == null) {
            return Double.POSITIVE_INFINITY;
        }
        return state.isLeader() ? 0 : now - state.leaderHeardAt;
    }

    /** What this replica can tell of its part at this moment. */
    public RaftMetrics metrics(double now) {
        Map<Long, Double> sinceLastMessageMs = new HashMap<>();
        if (state.isLeader()) {
            sinceLastMessageMs.put(state.self.id(), 0.0);
            leader.peers.values().forEach(peer -> sinceLastMessageMs.put(peer.member.id(), now - peer.lastResponseAt));
        } else if (state.leader != null) {
            sinceLastMessageMs.put(state.leader.id(), now - state.leaderHeardAt);
        }
        return new RaftMetrics(state.commitIndex, leader.rounds.leaseLeftMs(now), sinceLastMessageMs);
    }
}

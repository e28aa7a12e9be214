package sablehinge.controlplane.raft;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The leader role: the progress of each peer, heartbeat rounds and lease, read barriers, and membership changes.
 * {@link QuorumState} calls {@link #begin} at the start of a leader's term and {@link #resign} at its end.
 *
 * <p>An entry is committed once a majority of the voters has it on disk. The leader's own disk counts like any other,
 * so that a stalled disk delays no commit, even if it is the leader's.
 */
final class LeaderState {

    /** Time without a message after which a peer that is not a voter is removed, ms. */
    private static final double PEER_EXPIRY_MS = 10_000;
    /** Maximum number of learners to which the leader replicates at a time. */
    private static final int MAX_LEARNERS = 8;

    private final ReplicaState state;
    private final QuorumState quorum;
    /** Progress by member id: of voters, and of learners that request to become voters. */
    final Map<Long, ReplicaProgress> peers = new LinkedHashMap<>();

    final HeartbeatRounds rounds;
    final ReadBarriers barriers;
    final LeadershipTransfer transfer;
    private final Replicator replicator;
    private final VoterChanges voterChanges;
    /** Whether this process is shutting down; see {@link Departure}. */
    private boolean leaving;

    private long firstIndexOfTerm;
    private double electedAt;
    private double nextHeartbeatAt;

    LeaderState(ReplicaState state, QuorumState quorum, MembershipPlanner planner) {
        this.state = state;
        this.quorum = quorum;
        rounds = new HeartbeatRounds(state, peers);
        barriers = new ReadBarriers(state, this);
        transfer = new LeadershipTransfer(state, this);
        replicator = new Replicator(state, rounds);
        voterChanges = new VoterChanges(state, this, planner);
    }

    /** Starts a leader's term; the commit of its first entry also commits all entries of earlier terms. */
    void begin(double now, double electionStartedAt) {
        peers.clear();
        rounds.reset(electionStartedAt);
        voterChanges.reset();
        electedAt = now;
        nextHeartbeatAt = now + state.config.heartbeatIntervalMs();
        transfer.reset(now);
        addVoters(now);
        firstIndexOfTerm = append(now, Entry.Kind.NOOP, new byte[0]);
    }

    /** Ends the leadership: discards the progress of the peers and rejects all barriers. */
    void resign() {
        peers.clear();
        barriers.rejectAll();
    }

    /** Index of the first entry of this term. */
    long firstIndexOfTerm() {
        return firstIndexOfTerm;
    }

    /** When this replica became the leader, ms. */
    double electedAt() {
        return electedAt;
    }

    boolean isLeaving() {
        return leaving;
    }

    /** Notes that this process is shutting down: it makes no more membership changes. */
    void markLeaving() {
        leaving = true;
    }

    void tick(double now) {
        if (!hasMajorityContact(now)) {
            quorum.becomeFollower(now, state.term, null);
            return;
        }
        peers.values()
                .removeIf(peer -> !state.log.isVoter(peer.member.id())
                        && now - Math.max(peer.lastResponseAt, peer.joinRequestedAt) > PEER_EXPIRY_MS);
        barriers.expire(now);
        if (now >= nextHeartbeatAt) {
            startRound(now);
        }
        if (now - state.queue.busySince() > state.config.diskStallMs() && transfer.isDue(now)) {
            transfer.transferFromStalledDisk(now);
        }
        changeVoters(now);
    }

    /** Whether a majority has answered within the quorum timeout. */
    private boolean hasMajorityContact(double now) {
        int count = 0;
        for (Member member : state.log.members()) {
            ReplicaProgress peer = peers.get(member.id());
            if (state.isSelf(member) || peer != null && now - peer.lastResponseAt <= state.config.quorumTimeoutMs()) {
                count++;
            }
        }
        return count >= state.majority();
    }

    /** Starts a heartbeat round: sends each peer a heartbeat with the entries that it lacks. */
    void startRound(double now) {
        rounds.begin(now);
        nextHeartbeatAt = now + state.config.heartbeatIntervalMs();
        for (ReplicaProgress peer : peers.values()) {
            replicator.send(now, peer, peer.isAlive(now, state.config) || peer.probing);
        }
    }

    /** Appends an entry of this term and sends it to all peers; returns its index. */
    long append(double now, Entry.Kind kind, byte[] data) {
        Entry entry = new Entry(state.log.lastIndex() + 1, state.term, kind, data);
        state.log.append(entry);
        state.queue.append(entry);
        if (kind == Entry.Kind.MEMBERS) {
            addVoters(now);
        }
        for (ReplicaProgress peer : peers.values()) {
            // A peer that is still probed is sent the first entry of the term, as its assumed next index may be right;
            // later entries wait until an answer confirms the index.
            if (!peer.probing || entry.index() == peer.nextIndex && kind == Entry.Kind.NOOP) {
                replicator.sendPending(now, peer);
            }
        }
        return entry.index();
    }

    /** Adds each voter as a peer. A removed voter remains a peer for some time, so that it learns of its removal. */
    private void addVoters(double now) {
        for (Member member : state.log.members()) {
            if (!state.isSelf(member) && !peers.containsKey(member.id())) {
                peers.put(member.id(), new ReplicaProgress(member, state.log.lastIndex() + 1, now));
            }
        }
    }

    void changeVoters(double now) {
        voterChanges.appendNext(now);
    }

    /** Commits the entries that a majority has on disk, and confirms the barriers that waited for them. */
    void advanceCommitIndex(double now) {
        long index = majorityMatchIndex();
        // An entry of an older term may still be overwritten although a majority has it; an entry of this term cannot
        // be (Raft, 5.4.2).
        if (index > state.commitIndex && state.log.termAt(index) == state.term) {
            boolean votersChanged = state.log.membersIndex() > state.commitIndex && state.log.membersIndex() <= index;
            state.commitTo(now, index);
            if (votersChanged && !state.isVoter()) {
                quorum.becomeFollower(now, state.term, null);
                return;
            }
            if (votersChanged) {
                // After a removal the core tolerates fewer failures until the replacement is added, so the next change
                // does not wait for the next tick.
                changeVoters(now);
            }
        }
        barriers.confirm(now);
    }

    /** The index up to which a majority of the voters has the log on disk. */
    private long majorityMatchIndex() {
        List<Member> members = state.log.members();
        long[] matches = new long[members.size()];
        for (int i = 0; i < matches.length; i++) {
            long id = members.get(i).id();
            ReplicaProgress peer = peers.get(id);
            matches[i] = id == state.self.id() ? state.queue.syncedIndex() : peer == null ? 0 : peer.matchIndex;
        }
        Arrays.sort(matches);
        return matches.length == 0 ? 0 : matches[matches.length - state.majority()];
    }

    /** Records a response of this term; returns null if it is of another term or its sender is not a peer. */
    private ReplicaProgress noteResponse(double now, Member from, long responseTerm, long round) {
        ReplicaProgress peer = state.isLeader() ? peers.get(from.id()) : null;
        if (peer == null || responseTerm < state.term) {
            return null;
        }
        if (responseTerm > state.term) {
            if (state.log.isVoter(from.id())) {
                quorum.becomeFollower(now, responseTerm, null);
            } else {
                // A learner follows no leader of an earlier term than its own, so this leader moves to a later term.
                quorum.startElection(now, responseTerm + 1, true);
            }
            return null;
        }
        peer.lastResponseAt = now;
        if (round > peer.answeredRound) {
            peer.answeredRound = round;
            rounds.extendLease();
        }
        return peer;
    }

    void handleAppendResponse(double now, Member from, Message.AppendResponse response) {
        ReplicaProgress peer = noteResponse(now, from, response.term(), response.round());
        if (peer == null) {
            return;
        }
        replicator.onAppendResponse(now, peer, response);
        advanceCommitIndex(now);
        if (state.isLeader() && (voterChanges.hasPendingChange() || isLearner(now, peer))) {
            // A membership change may have become possible. Until it is made the core may tolerate fewer failures, so
            // it
            // does not wait for the next tick.
            changeVoters(now);
        }
    }

    void handleInstallSnapshotResponse(double now, Member from, Message.InstallSnapshotResponse response) {
        ReplicaProgress peer = noteResponse(now, from, response.term(), response.round());
        if (peer == null) {
            return;
        }
        replicator.onSnapshotProgress(now, peer, response);
        barriers.confirm(now);
    }

    /** Starts to replicate to a learner that requests to become a voter, up to {@link #MAX_LEARNERS} learners. */
    void handleJoinRequest(double now, Message.JoinRequest request) {
        Member learner = request.self();
        ReplicaProgress peer = peers.get(learner.id());
        if (peer == null) {
            if (peers.size() >= state.log.members().size() - 1 + MAX_LEARNERS) {
                return;
            }
            long nextIndex = Math.min(request.lastIndex(), state.log.lastIndex()) + 1;
            peer = new ReplicaProgress(learner, nextIndex, Double.NEGATIVE_INFINITY);
            peers.put(learner.id(), peer);
            replicator.send(now, peer, true);
        }
        peer.joinRequestedAt = now;
    }

    /** Whether a peer is not a voter and has recently requested to become one. */
    boolean isLearner(double now, ReplicaProgress peer) {
        return !state.log.isVoter(peer.member.id())
                && now - peer.joinRequestedAt <= ReplicaState.LEADER_LOST_MS
                && !peer.isLeaving(now, state.config);
    }

    /** Whether there is a learner that has answered recently. */
    boolean hasLearner(double now) {
        return peers.values().stream().anyMatch(peer -> isLearner(now, peer) && peer.isAlive(now, state.config));
    }
}

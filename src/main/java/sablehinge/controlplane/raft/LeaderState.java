package sablehinge.controlplane.raft;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a leader holds for its term: the progress of each peer, the heartbeat rounds with the lease, barriers, changes
 * of the voters. It begins with {@link #begin} and ends with {@link #resign}; both are called by {@link QuorumState}.
 *
 * <p>An entry is committed once a majority of the voters has it on disk, the leader's own disk counting like any other:
 * so a stalled disk, be it the leader's, delays nobody.
 */
final class LeaderState {

    /** A peer that is no voter and has sent nothing for so long is dropped, ms. */
    private static final double PEER_EXPIRY_MS = 10_000;
    /** Learners that are replicated to at a time. */
    private static final int MAX_LEARNERS = 8;

    private final ReplicaState state;
    private final QuorumState quorum;
    /** By the id of the member; voters, and learners that ask to become voters. */
    final Map<Long, ReplicaProgress> peers = new LinkedHashMap<>();

    final HeartbeatRounds rounds;
    final ReadBarriers barriers;
    final LeadershipTransfer transfer;
    private final Replicator replicator;
    private final VoterChanges voterChanges;
    /** Whether this process is about to end; see {@link Departure}. */
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

    /** Begins a term: its first entry commits all entries of earlier terms. */
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

    /** Ends the term: nothing is known of the peers any more, and barriers are rejected. */
    void resign() {
        peers.clear();
        barriers.rejectAll();
    }

    /** Index of the first entry of this term. */
    long firstIndexOfTerm() {
        return firstIndexOfTerm;
    }

    /** Since when it has led, ms. */
    double electedAt() {
        return electedAt;
    }

    boolean isLeaving() {
        return leaving;
    }

    /** This process is about to end: voters are not changed any more. */
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

    /** Whether a majority has answered lately enough to lead on. */
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

    /** Asks all peers whether this replica still leads, with the entries that they lack. */
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
            // At the start of a term the guessed index is tried once; later only an answer confirms it.
            if (!peer.probing || entry.index() == peer.nextIndex && kind == Entry.Kind.NOOP) {
                replicator.sendPending(now, peer);
            }
        }
        return entry.index();
    }

    /** Every voter is a peer; one that is a voter no more stays a peer for a while, so that it learns of it. */
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

    /** Commits what a majority has on disk, and confirms barriers that waited for it. */
    void advanceCommitIndex(double now) {
        long index = majorityMatchIndex();
        // An entry of an older term may be on most disks and yet be undone; one of this term may not (Raft, 5.4.2).
        if (index > state.commitIndex && state.log.termAt(index) == state.term) {
            boolean votersChanged = state.log.membersIndex() > state.commitIndex && state.log.membersIndex() <= index;
            state.commitTo(now, index);
            if (votersChanged && !state.isVoter()) {
                quorum.becomeFollower(now, state.term, null);
                return;
            }
            if (votersChanged) {
                // A removal makes the core weaker until the newcomer is in: the next tick would be late.
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

    /** Notes a response of this term; null if it is none, or from nobody that is replicated to. */
    private ReplicaProgress noteResponse(double now, Member from, long responseTerm, long round) {
        ReplicaProgress peer = state.isLeader() ? peers.get(from.id()) : null;
        if (peer == null || responseTerm < state.term) {
            return null;
        }
        if (responseTerm > state.term) {
            if (state.log.isVoter(from.id())) {
                quorum.becomeFollower(now, responseTerm, null);
            } else {
                // A learner can follow only a later term than its own: so it gets one, from the same leader.
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
        if (state.isLeader() && (voterChanges.isAwaiting() || isLearner(now, peer))) {
            // A voter's place may be free, and the core is weaker until it is filled: the next tick is late.
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

    /** Replicates to a learner that asks to become a voter, as far as {@link #MAX_LEARNERS} allows. */
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

    /** Whether a peer is no voter and has lately requested to become one. */
    boolean isLearner(double now, ReplicaProgress peer) {
        return !state.log.isVoter(peer.member.id())
                && now - peer.joinRequestedAt <= ReplicaState.LEADER_LOST_MS
                && !peer.isLeaving(now, state.config);
    }

    /** Whether a learner answers. */
    boolean hasLearner(double now) {
        return peers.values().stream().anyMatch(peer -> isLearner(now, peer) && peer.isAlive(now, state.config));
    }
}

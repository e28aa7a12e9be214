package sablehinge.controlplane.raft;

/**
 * The follower role: replicates entries and snapshots from the leader.
 *
 * <p>A follower acknowledges entries only up to the index that its disk has synced and up to which its log is known to
 * match the leader's: entries after that index may stem from a deposed leader.
 */
final class FollowerState {

    private final ReplicaState state;
    private final QuorumState quorum;
    private final SnapshotReceiver snapshotReceiver = new SnapshotReceiver();
    /** The index up to which the log is known to match the leader's. */
    private long verifiedIndex;
    /** The highest heartbeat round of the leader that this replica has seen in this term. */
    private long lastRound;

    FollowerState(ReplicaState state, QuorumState quorum) {
        this.state = state;
        this.quorum = quorum;
    }

    /** A later term may have another leader: the log is unverified against it, and rounds restart from 1. */
    void resetForTerm() {
        resetVerifiedIndex();
        lastRound = 0;
    }

    void resetVerifiedIndex() {
        verifiedIndex = state.commitIndex;
    }

    void discardSnapshotChunks() {
        snapshotReceiver.clear();
    }

    /** Clears a leader that no longer sends messages, and requests pre-votes when the election timer has expired. */
    void tick(double now) {
        if (state.leader != null && now - state.lastLeaderContactAt > ReplicaState.LEADER_LOST_MS) {
            state.leader = null;
        }
        if (now >= state.electionDeadline) {
            if (quorum.candidate.isElectable() && !state.isDiskStalled(now)) {
                quorum.candidate.requestPreVotes(now);
            } else {
                state.resetElectionTimer(now);
            }
        }
    }

    /** The disk has synced more entries: acknowledges them, so that the leader can commit them. */
    void onPersisted() {
        if (state.leader != null && state.queue.syncedTerm() == state.term) {
            state.actions.send(state.leader, response(true, verifiedIndex));
        }
    }

    private Message.AppendResponse response(boolean success, long hint) {
        // Entries count in a term only once the term is on disk: otherwise an older leader could truncate them.
        long match = success && state.queue.syncedTerm() == state.term
                ? Math.min(state.queue.syncedIndex(), verifiedIndex)
                : 0;
        return new Message.AppendResponse(state.term, success, match, hint, lastRound);
    }

    /** Whether a leader's message is of the latest term; if so, records the contact with the leader. */
    private boolean acceptLeader(double now, Member from, long leaderTerm, long round) {
        if (leaderTerm < state.term || leaderTerm == state.term && state.isLeader()) {
            // Answers round 0: the sender may lead a later term by now, in which the same number is another round.
            state.actions.send(from, new Message.AppendResponse(state.term, false, 0, 0, 0));
            return false;
        }
        quorum.becomeFollower(now, leaderTerm, from);
        state.lastLeaderContactAt = now;
        lastRound = Math.max(lastRound, round);
        state.resetElectionTimer(now);
        return true;
    }

    void handleAppendRequest(double now, Member from, Message.AppendRequest request) {
        if (!acceptLeader(now, from, request.term(), request.round())) {
            return;
        }
        if (state.log.isEmpty()) {
            state.actions.send(from, response(false, -1));
            return;
        }
        long previous = request.prevIndex();
        if (previous > state.log.lastIndex()) {
            state.actions.send(from, response(false, state.log.lastIndex()));
            return;
        }
        // Up to the commit index all logs are identical.
        if (previous > state.commitIndex && state.log.termAt(previous) != request.prevTerm()) {
            state.actions.send(from, response(false, beforeTermOf(previous)));
            return;
        }
        if (!request.entries().isEmpty() && state.queue.isFull()) {
            // The leader resends them with its next heartbeat, or when the disk has synced a batch.
            verifiedIndex = Math.max(verifiedIndex, previous);
            state.commitTo(now, Math.min(request.commit(), verifiedIndex));
            state.actions.send(from, response(false, verifiedIndex));
            return;
        }
        if (!request.entries().isEmpty()) {
            snapshotReceiver.clear();
        }
        for (Entry entry : request.entries()) {
            appendEntry(entry);
        }
        verifiedIndex = Math.max(verifiedIndex, previous + request.entries().size());
        state.commitTo(now, Math.min(request.commit(), verifiedIndex));
        state.actions.send(from, response(true, verifiedIndex));
    }

    /**
     * The last index before all entries with the same term as the entry at {@code index}, as all of them may differ
     * from the leader's.
     */
    private long beforeTermOf(long index) {
        long hint = index - 1;
        while (hint > state.commitIndex && state.log.termAt(hint) == state.log.termAt(index)) {
            hint--;
        }
        return hint;
    }

    private void appendEntry(Entry entry) {
        if (entry.index() <= state.log.base().index()) {
            return;
        }
        if (entry.index() <= state.log.lastIndex()) {
            if (state.log.termAt(entry.index()) == entry.term()) {
                return;
            }
            if (entry.index() <= state.commitIndex) {
                throw new IllegalStateException(
                        "entry " + entry.index() + " of term " + entry.term() + " conflicts with a committed entry");
            }
            state.log.truncate(entry.index());
            state.queue.truncate(entry.index());
        }
        state.log.append(entry);
        state.queue.append(entry);
    }

    void handleInstallSnapshotRequest(double now, Member from, Message.InstallSnapshotRequest request) {
        if (!acceptLeader(now, from, request.term(), request.round())) {
            return;
        }
        if (state.queue.isFull()) {
            state.actions.send(from, response(false, state.log.isEmpty() ? -1 : verifiedIndex));
            return;
        }
        boolean wanted = request.chunk().index() > state.commitIndex || state.log.isEmpty();
        Snapshot snapshot = wanted ? snapshotReceiver.receive(request) : null;
        if (wanted && snapshot == null) {
            state.actions.send(
                    from,
                    new Message.InstallSnapshotResponse(
                            state.term, request.chunk().index(), snapshotReceiver.receivedBytes(request), lastRound));
            return;
        }
        if (wanted) {
            install(snapshot);
        }
        verifiedIndex = Math.max(verifiedIndex, request.chunk().index());
        state.actions.send(from, response(true, verifiedIndex));
    }

    private void install(Snapshot snapshot) {
        RaftLog log = state.log;
        if (!log.containsEntry(snapshot.index(), snapshot.term())
                && log.lastIndex() > log.base().index()) {
            state.queue.truncate(log.base().index() + 1);
        }
        log.install(snapshot);
        state.queue.snapshot(snapshot);
        state.commitIndex = snapshot.index();
        if (state.commitIndex > 0) {
            state.actions.restore(snapshot);
        }
    }
}

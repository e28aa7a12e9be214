package sablehinge.controlplane.raft;

/**
 * What a follower holds of its leader, and how it takes entries and snapshots from it.
 *
 * <p>It acknowledges entries only as far as its disk has them and its log is known to be the leader's: an entry that it
 * holds behind that may be one of a deposed leader.
 */
final class FollowerState {

    private final ReplicaState state;
    private final QuorumState quorum;
    private final SnapshotReceiver snapshotReceiver = new SnapshotReceiver();
    /** Up to this index the log is the leader's. */
    private long verifiedIndex;
    /** The highest heartbeat round of the leader that was seen in this term. */
    private long lastRound;

    FollowerState(ReplicaState state, QuorumState quorum) {
        this.state = state;
        this.quorum = quorum;
    }

    /** Another leader may come in a later term: nothing is verified by it, and its rounds begin anew. */
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

    /** Forgets a leader that sends nothing any more, and starts an election when the timer has run out. */
    void tick(double now) {
        if (state.leader != null && now - state.leaderHeardAt > ReplicaState.LEADER_LOST_MS) {
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

    /** The disk has more than before: the leader may commit by it. */
    void onPersisted() {
        if (state.leader != null && state.queue.syncedTerm() == state.term) {
            state.actions.send(state.leader, response(true, verifiedIndex));
        }
    }

    private Message.AppendResponse response(boolean success, long hint) {
        // Entries count for a term only if the disk knows the term: else an older leader could undo them.
        long match = success && state.queue.syncedTerm() == state.term
                ? Math.min(state.queue.syncedIndex(), verifiedIndex)
                : 0;
        return new Message.AppendResponse(state.term, success, match, hint, lastRound);
    }

    /** Whether a leader's message is of the latest term; notes that the leader was heard then. */
    private boolean acceptLeader(double now, Member from, long leaderTerm, long round) {
        if (leaderTerm < state.term || leaderTerm == state.term && state.isLeader()) {
            // Its sender may lead a later term by now, where a round of this number is another.
            state.actions.send(from, new Message.AppendResponse(state.term, false, 0, 0, 0));
            return false;
        }
        quorum.becomeFollower(now, leaderTerm, from);
        state.leaderHeardAt = now;
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
        // What lies before the commit index is the same in all logs.
        if (previous > state.commitIndex && state.log.termAt(previous) != request.prevTerm()) {
            state.actions.send(from, response(false, beforeTermOf(previous)));
            return;
        }
        if (!request.entries().isEmpty() && state.queue.isFull()) {
            // The leader sends them again with its next heartbeat, or when the disk has taken something.
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

    /** The last index before all entries of the term of the entry at {@code index}: they may all differ. */
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
                        "entry " + entry.index() + " of term " + entry.term() + " differs from a committed one");
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
        if (!log.holdsEntry(snapshot.index(), snapshot.term())
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

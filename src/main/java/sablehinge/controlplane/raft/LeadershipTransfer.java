package sablehinge.controlplane.raft;

/**
 * Hands leadership to a peer: where the own disk stalls, and where this process is about to end. The peer is notified
 * by {@link Message.TimeoutNowRequest} to start an election at once (Ongaro's thesis, 3.10); it need not succeed, and
 * the transfer is tried again later.
 */
final class LeadershipTransfer {

    /** Between two attempts, ms. */
    private static final double RETRY_INTERVAL_MS = 500;

    private final ReplicaState state;
    private final LeaderState leader;
    private double nextAttemptAt;

    LeadershipTransfer(ReplicaState state, LeaderState leader) {
        this.state = state;
        this.leader = leader;
    }

    /** Begins a term. */
    void reset(double now) {
        nextAttemptAt = now;
    }

    boolean isDue(double now) {
        return now >= nextAttemptAt;
    }

    /** The successor may be gone: the transfer may be tried again at once. */
    void retryNow(double now) {
        nextAttemptAt = Math.min(nextAttemptAt, now);
    }

    /** The own disk stalls: whoever answers, and has on disk what this one could not write, leads better. */
    void transferFromStalledDisk(double now) {
        ReplicaProgress successor = successor(now, Math.max(state.commitIndex, state.queue.syncedIndex() + 1));
        if (successor != null) {
            transferTo(now, successor);
        }
    }

    /** The peer that answers, stays and has most on disk, at least up to an index; null if there is none. */
    ReplicaProgress successor(double now, long minMatchIndex) {
        ReplicaProgress best = null;
        for (ReplicaProgress peer : leader.peers.values()) {
            if (state.log.isVoter(peer.member.id())
                    && peer.isAlive(now, state.config)
                    && !peer.isLeaving(now, state.config)
                    && peer.matchIndex >= minMatchIndex
                    && (best == null || peer.matchIndex > best.matchIndex)) {
                best = peer;
            }
        }
        return best;
    }

    /** Asks a peer to take over; without a lease from now on, as both may lead for a moment. */
    void transferTo(double now, ReplicaProgress successor) {
        nextAttemptAt = now + RETRY_INTERVAL_MS;
        leader.rounds.giveUpLease();
        state.actions.send(successor.member, new Message.TimeoutNowRequest(state.term));
    }
}

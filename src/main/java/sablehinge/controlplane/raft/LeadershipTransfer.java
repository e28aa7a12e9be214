package sablehinge.controlplane.raft;

/**
 * Transfers the leadership to a peer, when the leader's disk stalls or its process is shutting down. A
 * {@link Message.TimeoutNowRequest} requests the peer to start an election at once (Ongaro's thesis, 3.10). The peer
 * may fail to win it; the leader then retries later.
 */
final class LeadershipTransfer {

    /** Time between two attempts, ms. */
    private static final double RETRY_INTERVAL_MS = 500;

    private final ReplicaState state;
    private final LeaderState leader;
    private double nextAttemptAt;

    LeadershipTransfer(ReplicaState state, LeaderState leader) {
        this.state = state;
        this.leader = leader;
    }

    /** Resets the state at the start of a term. */
    void reset(double now) {
        nextAttemptAt = now;
    }

    boolean isDue(double now) {
        return now >= nextAttemptAt;
    }

    /** Allows the next attempt at once, as the successor may be leaving too. */
    void retryNow(double now) {
        nextAttemptAt = Math.min(nextAttemptAt, now);
    }

    /**
     * Transfers the leadership away from this replica, whose disk is stalled, to a peer that answers and has entries on
     * disk that this replica could not write.
     */
    void transferFromStalledDisk(double now) {
        ReplicaProgress successor = successor(now, Math.max(state.commitIndex, state.queue.syncedIndex() + 1));
        if (successor != null) {
            transferTo(now, successor);
        }
    }

    /**
     * Returns the voter with the highest match index, which is at least {@code minMatchIndex}, among those that answer
     * and are not leaving; null if there is none.
     */
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

    /** Requests a peer to take over, and ends the lease, as both replicas may be leader for a moment. */
    void transferTo(double now, ReplicaProgress successor) {
        nextAttemptAt = now + RETRY_INTERVAL_MS;
        leader.rounds.revokeLease();
        state.actions.send(successor.member, new Message.TimeoutNowRequest(state.term));
    }
}

package sablehinge.controlplane.node;

/**
 * The contact with a majority of the core that a control node needs before it answers a request. A node with less
 * contact redirects the client to the leader or answers that the outcome is unknown; see {@link QuorumGate}.
 */
enum QuorumContact {
    /** No contact: the answer concerns only this node or the call itself, and no other node could contradict it. */
    NONE,
    /**
     * The node is the leader, and a majority has answered a heartbeat round that was sent within
     * {@link QuorumGate#MAJORITY_RECENT_MS}. For answers that may be out of date by at most that time.
     */
    RECENT,
    /** The node is the leader and holds a lease now. For actions that only one node may perform at a time. */
    LEASE,
    /**
     * A majority has confirmed, after the request arrived, that this node is the leader, and all entries committed
     * before then are applied here. For linearizable reads.
     */
    CONFIRMED,
    /** {@link #RECENT} to accept the request; the answer is the outcome of a committed log entry. */
    COMMITTED
}

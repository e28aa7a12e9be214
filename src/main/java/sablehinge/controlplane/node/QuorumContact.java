package sablehinge.controlplane.node;

/**
 * What a control machine must know of the majority of the core before it answers something. Whoever has less names who
 * leads instead, or leaves the question without a clear answer; see {@link QuorumGate}.
 */
enum QuorumContact {
    /** Nothing: the answer is about this machine or the call itself, and no other machine could deny it. */
    NONE,
    /**
     * It leads, and a majority has answered a heartbeat round that was sent within {@link QuorumGate#RECENT_MS}. For
     * what may be somewhat old, but not older than that.
     */
    RECENT,
    /** It leads and holds a lease at this moment. For what only one machine may do at a time. */
    LEASE,
    /**
     * After the question came, a majority has confirmed that this machine leads, and all that was committed before is
     * applied here. For what must be the newest.
     */
    CONFIRMED,
    /** {@link #RECENT} to begin with; the answer then is what a committed entry of the log has come to. */
    COMMITTED
}

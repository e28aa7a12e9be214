package sablehinge.controlplane.raft;

/**
 * What the host does on behalf of a {@link RaftNode}: network, disk, state machine. All methods are called on the
 * thread that called the node, and none may call the node back, except that {@link RaftNode#compact} may be called from
 * within {@link #apply}.
 */
public interface RaftActions {

    /**
     * Sends a message. Messages may be lost, duplicated and reordered.
     *
     * @param to the receiver; if its id is 0, only its {@code address} is known
     */
    void send(Member to, Message message);

    /**
     * Writes and syncs a batch; batches are written in the order of their numbers. The host calls
     * {@link RaftNode#persisted} once the batch is on disk, and makes no such call if the write fails: a failing disk
     * is treated like a slow one. Several batches may be outstanding at a time.
     */
    void persist(WriteBatch batch);

    /** Applies a committed entry. Called for entries of every kind in index order, once per process for each entry. */
    void apply(Entry entry);

    /** Replaces the applied state by the state of a snapshot. */
    void restore(Snapshot snapshot);

    /** Called whenever the status has changed. */
    void onStatusChanged(RaftStatus status);

    /**
     * A barrier is confirmed: every entry that was committed before the call of {@link RaftNode#barrier} is applied
     * here, and this member was still the leader.
     */
    void barrierConfirmed(long token);

    /** A barrier is rejected: this member is not the leader, lost its leadership, or the barrier timed out. */
    void barrierRejected(long token);

    /** After {@link RaftNode#leave}: this process may end; no committed entry depends on it any more. */
    default void released() {}
}

package sablehinge.controlplane.raft;

/**
 * What the host does on behalf of a {@link RaftNode}: network, disk, state machine. All methods are called on the
 * thread that called the node, and none may call the node back, except that {@link RaftNode#compact} may be called from
 * within {@link #apply}.
 */
public interface RaftActions {

    /**
     * Sends a message. It may be lost, duplicated or overtaken by a later one.
     *
     * @param to the receiver; one whose id is 0 is known by its {@code address} only
     */
    void send(Member to, Message message);

    /**
     * Writes and syncs a batch; batches are written in the order of their numbers. {@link RaftNode#persisted} is called
     * once the batch is on disk, never when the disk refuses it: a refusing disk is treated as a slow one. A few
     * batches are outstanding at a time.
     */
    void persist(WriteBatch batch);

    /** Applies a committed entry. Entries of every kind come in the order of their index, each once per process. */
    void apply(Entry entry);

    /** Replaces everything that was applied by the state of a snapshot. */
    void restore(Snapshot snapshot);

    /** Reports a new status; called whenever it has changed. */
    void onStatusChanged(RaftStatus status);

    /**
     * A barrier is confirmed: what was committed before {@link RaftNode#barrier} was called is applied here, and this
     * member was still the leader.
     */
    void barrierConfirmed(long token);

    /** The barrier's outcome is unknown: this member does not lead, lost its leadership, or ran out of time. */
    void barrierRejected(long token);

    /** After {@link RaftNode#leave}: this process may end, nothing committed depends on it any more. */
    default void released() {}
}

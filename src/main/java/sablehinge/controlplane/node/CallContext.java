package sablehinge.controlplane.node;

import sablehinge.controlplane.raft.Member;
import sablehinge.controlplane.raft.RaftMetrics;
import sablehinge.controlplane.raft.RaftStatus;
import sablehinge.controlplane.state.ConfigurationState;

/** Services that operator calls use. Every method but {@link #runOffLoop} is called on the API server's event loop. */
interface CallContext {

    /** The monotonic clock in ms. */
    double now();

    /** The wall clock in ms since 1970. */
    long timeOfDay();

    /** This node as a member of the core; null until its disk has been read. */
    Member self();

    /** The Raft role, term and leader as this node knows them. */
    RaftStatus raftStatus();

    /** The metrics of this node's Raft replica. */
    RaftMetrics metrics();

    /** Checks that this node has the quorum contact which an answer requires. */
    QuorumGate gate();

    /** Replicates configuration changes through the Raft log. */
    ChangeCoordinator changes();

    /** The configuration state that this node has applied. */
    default ConfigurationState configurations() {
        return changes().configurations();
    }

    /** Runs long work on a separate thread, which returns its result with {@link #runOnLoop}. */
    void runOffLoop(Runnable work);

    /** Runs work on the API server's event loop. */
    void runOnLoop(Runnable work);
}

package sablehinge.controlplane.node;

import sablehinge.controlplane.raft.Member;
import sablehinge.controlplane.raft.RaftMetrics;
import sablehinge.controlplane.raft.RaftStatus;
import sablehinge.controlplane.state.ConfigurationState;

/** What settles operators' calls; all but {@link #runOffLoop} is called on the thread of the API server. */
interface CallContext {

    /** A steady clock, ms. */
    double now();

    /** The time of day, ms since 1970. */
    long timeOfDay();

    /** This machine as a member; null until its disk has been read. */
    Member self();

    /** The place of this machine in the core. */
    RaftStatus raftStatus();

    /** What this machine can tell of its part in the agreement. */
    RaftMetrics metrics();

    /** Holds what each answer needs of a majority. */
    QuorumGate gate();

    /** Takes changes through the log. */
    ChangeCoordinator changes();

    /** The state that is applied here. */
    default ConfigurationState configurations() {
        return changes().configurations();
    }

    /** Does work that takes long on a thread beside, and {@link #runOnLoop} comes back from there. */
    void runOffLoop(Runnable work);

    /** Comes back to the thread of the API server. */
    void runOnLoop(Runnable work);
}

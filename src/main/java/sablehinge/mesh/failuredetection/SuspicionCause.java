package sablehinge.mesh.failuredetection;

/** What a watcher has found at a peer that sends no heartbeats; the order is their number on the wire. */
public enum SuspicionCause {
    /** Nothing answers at its address: no power there, or a cut between. */
    SILENT,
    /** The machine takes connections, and the process says nothing. */
    FROZEN,
    /** The machine refuses connections: no process listens. */
    RESET
}

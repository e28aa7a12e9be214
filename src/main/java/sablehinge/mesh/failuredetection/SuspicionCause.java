package sablehinge.mesh.failuredetection;

/** What a watcher's probe found at a peer that sends no heartbeats. The ordinals are written on the wire. */
public enum SuspicionCause {
    /** No answer from the address: the machine is down, or the network is partitioned. */
    SILENT,
    /** The machine accepts connections, but the process sends no heartbeats. */
    FROZEN,
    /** The machine refuses connections: no process is listening. */
    RESET
}

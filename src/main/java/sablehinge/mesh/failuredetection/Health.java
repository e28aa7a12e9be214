package sablehinge.mesh.failuredetection;

/** A balancer's health as seen by the leader and its watchers. */
public enum Health {
    /** The leader is in contact with it, and no watcher suspects it. */
    WELL,
    /** The leader has lost contact, but at least half of its watchers receive its heartbeats: it stays available. */
    CUT_FROM_CORE,
    /** The leader is in contact with it, but a watcher does not receive its heartbeats: it stays available. */
    CUT_FROM_SOME,
    /** The leader has lost contact and has no conclusive report from watchers: no decision is made. */
    UNSEEN,
    /** No heartbeats are received, but its machine accepts connections. */
    FROZEN,
    /** No heartbeats are received, and its machine refuses connections. */
    DEAD,
    /** No heartbeats are received, and nothing answers at its address. */
    LOST;

    /** Whether no new requests may be sent to it. */
    public boolean isUnavailable() {
        return this == FROZEN || this == DEAD || this == LOST;
    }
}

package sablehinge.mesh.failuredetection;

/** What is known of a balancer, by all who listen to it. */
public enum Health {
    /** All hear it. */
    WELL,
    /** The leader doesn't hear it, and most of its watchers do: it serves on. */
    CUT_FROM_CORE,
    /** The leader receives its heartbeats, and a watcher does not: it serves on. */
    CUT_FROM_SOME,
    /** The leader doesn't hear it, and no watcher is in touch who could tell more: nothing is concluded. */
    UNSEEN,
    /** Nobody receives its heartbeats, and its machine accepts connections. */
    FROZEN,
    /** Nobody receives its heartbeats, and its machine refuses connections. */
    DEAD,
    /** Nobody receives its heartbeats, and nothing answers there. */
    LOST;

    /** Whether nothing new is to be sent there. */
    public boolean isUnavailable() {
        return this == FROZEN || this == DEAD || this == LOST;
    }
}

package sablehinge.mesh.failuredetection;

/** What is known of a balancer, by all who listen to it. */
public enum Health {
    /** All hear it. */
    WELL,
    /** The leader doesn't hear it, and most of its watchers do: it serves on. */
    CUT_FROM_CORE,
    /** The leader hears it, and a watcher doesn't: it serves on. */
    CUT_FROM_SOME,
    /** The leader doesn't hear it, and no watcher is in touch who could tell more: nothing is concluded. */
    UNSEEN,
    /** Nobody hears it, and its machine takes connections. */
    FROZEN,
    /** Nobody hears it, and its machine refuses connections. */
    DEAD,
    /** Nobody hears it, and nothing answers there. */
    LOST;

    /** Whether nothing new is to be sent there. */
    public boolean isUnavailable() {
        return this == FROZEN || this == DEAD || this == LOST;
    }
}

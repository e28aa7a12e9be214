package sablehinge.mesh.failuredetection;

/** What is known of a balancer, by all who listen to it. */
public enum Health {
    /** All hear it. */
    WELL,
    /** The leader doesn't hear it, and most of its watchers do: it serves on. */
    CUT_FROM_CORE,
    /** The leader hears from it, and a watcher does not: it serves on. */
    CUT_FROM_SOME,
    /** The leader doesn't hear it, and no watcher is in touch who could tell more: nothing is concluded. */
    UNSEEN,
    /** Nobody hears from it, and its machine accepts connections. */
    FROZEN,
    /** Nobody hears from it, and its machine refuses connections. */
    DEAD,
    /** Nobody hears from it, and nothing answers there. */
    LOST;

    /** Whether nothing new is to be sent there. */
    public boolean isUnavailable() {
        return this == FROZEN || this == DEAD || this == LOST;
    }
}

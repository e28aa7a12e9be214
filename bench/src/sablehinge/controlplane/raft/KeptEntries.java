package sablehinge.controlplane.raft;

import java.lang.reflect.Field;

/**
 * Entries that a member keeps in memory behind its snapshot, so that who lags a little needs none. Schedules are too
 * short to push them out by hundreds of others, so this does.
 */
final class KeptEntries {

    private static final Field STATE = field(RaftNode.class, "state");
    private static final Field RECENT = field(RaftLog.class, "recent");

    private KeptEntries() {}

    private static Field field(Class<?> of, String name) {
        try {
            Field field = of.getDeclaredField(name);
            field.setAccessible(true);
            return field;
        } catch (NoSuchFieldException e) {
            throw new IllegalStateException(of + " has no field " + name, e);
        }
    }

    /** Has a member forget them. */
    static void forget(RaftNode member) {
        try {
            ReplicaState state = (ReplicaState) STATE.get(member);
            ((RecentEntries) RECENT.get(state.log)).clear();
        } catch (IllegalAccessException e) {
            throw new IllegalStateException(e);
        }
    }
}

package sablehinge.controlplane.raft;

/**
 * One entry of the log.
 *
 * @param index position in the log, from 1 on without gaps
 * @param term term of the leader that appended the entry
 * @param data payload, whose format depends on the kind; must not be modified
 */
public record Entry(long index, long term, Kind kind, byte[] data) {

    /** The kind of an entry. */
    public enum Kind {
        /** Empty; its commit tells a new leader which earlier entries are committed. */
        NOOP,
        /** The members of the core from this entry on, in the format of {@link MemberListCodec}. */
        MEMBERS,
        /** A command for the state machine. */
        COMMAND
    }
}

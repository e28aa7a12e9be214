package sablehinge.controlplane.raft;

/**
 * One entry of the log.
 *
 * @param index its place, from 1 on without gaps
 * @param term of the leader that made it
 * @param data what the kind says; not to be changed
 */
public record Entry(long index, long term, Kind kind, byte[] data) {

    /** What an entry is. */
    public enum Kind {
        /** Nothing; by its commit a new leader learns what was committed before it. */
        NOOP,
        /** The members of the core from here on, as {@link MemberListCodec} writes them. */
        MEMBERS,
        /** A command to the state machine. */
        COMMAND
    }
}

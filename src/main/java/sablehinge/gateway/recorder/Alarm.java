package sablehinge.gateway.recorder;

/**
 * Something that must not be.
 *
 * @param connection the number of the connection that it is about; 0 for none
 * @param exchange the number of the request; 0 likewise
 * @param detail what was seen, in words
 */
public record Alarm(Kind kind, int connection, long exchange, String detail) {

    /** What is wrong. */
    public enum Kind {
        /** A reader waits though its writer can take more. */
        LOST_WAKE_UP,
        /** Bytes lay unread in the kernel of a connection that is read. */
        UNREAD,
        /** Bytes lay unwritten though the kernel could take them. */
        UNWRITTEN,
        /** A request is past its deadline and not forgotten. */
        OVERDUE,
        /** The loop had no turn for too long. */
        LONG_TURN,
        /** The loop stands still now. */
        HUNG,
        /** A count is below zero. */
        BELOW_ZERO,
        /** A count is not back at zero, though nothing is at work. */
        LEFT_OVER,
        /** Buffers are in use, though nothing is at work. */
        LEAK
    }
}

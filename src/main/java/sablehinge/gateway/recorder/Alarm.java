package sablehinge.gateway.recorder;

/**
 * A violation of an invariant of the balancer.
 *
 * @param connection the number of the affected connection; 0 for none
 * @param exchange the number of the affected request; 0 for none
 * @param detail a description of the observation
 */
public record Alarm(Kind kind, int connection, long exchange, String detail) {

    /** The kind of violation. */
    public enum Kind {
        /** Reading is paused although the writer can accept more. */
        LOST_WAKE_UP,
        /** Bytes remained unread in the kernel although reading was not paused. */
        UNREAD,
        /** Bytes remained unwritten although the kernel could accept them. */
        UNWRITTEN,
        /** A request still exists after its deadline. */
        OVERDUE,
        /** The event loop ran a tick too late. */
        LONG_TURN,
        /** The event loop is blocked now. */
        HUNG,
        /** A counter is negative. */
        BELOW_ZERO,
        /** A counter did not return to zero although the balancer is idle. */
        LEFT_OVER,
        /** Buffers are in use although the balancer is idle. */
        LEAK
    }
}

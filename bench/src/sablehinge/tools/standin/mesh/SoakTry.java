package sablehinge.tools.standin.mesh;

/**
 * One try of a client in a soak run, as that client saw it. Times in ms of {@link TrafficLog#now}.
 *
 * @param machine by its outbound address
 * @param ahead requests before it on its connection that had no answer when it was sent
 * @param startedAt when its first byte was sent
 * @param writtenAt when its last byte was sent; NaN where it could not be
 * @param end how it ended
 * @param begun whether a part of its answer had come
 * @param status of the answer; 0 where there is none
 * @param stamped whether the answer has an upstream's stamp
 * @param endedAt when it had ended
 * @param leftMs the time that it has, from its last byte on
 * @param readMs how much of the time its client takes to read its answer by itself, ms
 */
record SoakTry(
        String id,
        TrafficLog.Kind kind,
        int machine,
        int ahead,
        double startedAt,
        double writtenAt,
        End end,
        boolean begun,
        int status,
        boolean stamped,
        double endedAt,
        double leftMs,
        double readMs) {

    /** How a try ends. */
    enum End {
        /** With a complete answer. */
        ANSWERED,
        /** With the end of its connection. */
        CUT,
        /** With an answer before it that closed the connection: it counts as not read. */
        UNREAD,
        /** The client has waited in vain. */
        SILENT
    }
}

package sablehinge.dataplane.proxy;

import java.util.List;
import sablehinge.dataplane.budget.Report;

/**
 * The final answer to a request; a front end writes it in its protocol.
 *
 * @param payload the server's response if it served the request, otherwise {@link Payload#NONE}; valid only during the
 *     call that passes the answer
 * @param retryAfter when a rejected client should retry, in ms from now; 0 for no advice
 * @param spent the budget report for the client; null for none
 * @param path the services that a call loop has passed; empty if there is no loop
 */
public record Answer(Kind kind, Payload payload, double retryAfter, Report spent, List<Long> path) {

    /** Creates an answer without a budget report. */
    public Answer(Kind kind, Payload payload, double retryAfter) {
        this(kind, payload, retryAfter, null, List.of());
    }

    Answer with(Report report) {
        return new Answer(kind, payload, retryAfter, report, path);
    }

    /** The kinds of answer. Only {@link #REFUSED} promises that a retry is safe. */
    public enum Kind {
        SERVED,
        REFUSED,
        /** The module failed the request; it may have run. */
        FAILED,
        /** No response arrived in time; the request may have run. */
        UNANSWERED,
        /** An internal error of the proxy interrupted the request; it may have run. */
        BROKEN,
        /** The call returned to a service that it had passed already; nothing has run here. */
        LOOP
    }

    static Answer of(Kind kind) {
        return new Answer(kind, Payload.NONE, 0);
    }
}

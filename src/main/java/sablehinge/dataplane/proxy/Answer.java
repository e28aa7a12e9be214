package sablehinge.dataplane.proxy;

import java.util.List;
import sablehinge.dataplane.budget.Report;

/**
 * The one final answer to a request; a front renders it in its protocol.
 *
 * @param payload what the server answered where it served, otherwise {@link Payload#NONE}; lent for the call in which
 *     it is handed over
 * @param retryAfter when a refused caller ought to come back, in ms from now; 0 for no advice
 * @param spent what goes back of its budget; null for nothing
 * @param path the services that a loop has passed; empty where there is none
 */
public record Answer(Kind kind, Payload payload, double retryAfter, Report spent, List<Long> path) {

    /** An answer without a budget report. */
    public Answer(Kind kind, Payload payload, double retryAfter) {
        this(kind, payload, retryAfter, null, List.of());
    }

    Answer with(Report report) {
        return new Answer(kind, payload, retryAfter, report, path);
    }

    /** The kinds of answer: only {@link #REFUSED} promises that trying again is harmless. */
    public enum Kind {
        SERVED,
        REFUSED,
        /** The module gave it up; something may have run. */
        FAILED,
        /** Nobody answered it in time; something may have run. */
        UNANSWERED,
        /** An error of this program struck it; something may have run. */
        BROKEN,
        /** It has come back to a service that it has passed; nothing of it has run here. */
        LOOP
    }

    static Answer of(Kind kind) {
        return new Answer(kind, Payload.NONE, 0);
    }
}

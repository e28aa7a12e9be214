package sablehinge.core;

/**
 * The one final answer to a request; a front puts it into the words of its protocol.
 *
 * @param payload what the server answered where it served, otherwise {@link Payload#NONE}; lent for the call
 *     in which it is handed over
 * @param retryAfter when a refused caller ought to come back, in ms from now; 0 for no advice
 */
public record Answer(Kind kind, Payload payload, double retryAfter) {

    /** The kinds of answer: only {@link #REFUSED} promises that trying again is harmless. */
    public enum Kind {
        SERVED,
        REFUSED,
        /** The module gave it up; something may have run. */
        FAILED,
        /** Nobody answered it in time; something may have run. */
        UNANSWERED,
        /** An error of this program struck it; something may have run. */
        BROKEN
    }

    static Answer of(Kind kind) {
        return new Answer(kind, Payload.NONE, 0);
    }
}

package sablehinge.dataplane.proxy;

/**
 * Until when a process that was told to end takes, begins and finishes requests. The end is known from the first moment
 * on, so every part that takes or sends a request asks whether it can still be answered before it: the fronts, the
 * admission, the attempts and the queues at upstreams that these wait in. All times in ms of the core's clock.
 *
 * @param admitUntil a request whose first byte comes later is not taken
 * @param startUntil no attempt begins later, nor waits longer for an upstream to begin on it
 * @param answerUntil what is not answered by then is given up
 */
public record ShutdownDeadlines(double admitUntil, double startUntil, double answerUntil) {

    /** After how many ms a caller that was turned away may come back: others can take its request at once. */
    private static final double RETRY_AFTER_MS = 100;
    /** By how much a front that stops late may extend what it admits, ms: the rules excuse nothing sent later. */
    private static final double MAX_LATE_STOP_MS = 500;
    /** The part of the time until the last start that this may take at most, where the grace is short. */
    private static final double LATE_STOP_SHARE = 1.0 / 3;

    /** Bounds that are in order. */
    public ShutdownDeadlines {
        if (!(admitUntil <= startUntil && startUntil <= answerUntil)) {
            throw new IllegalArgumentException("not in order: " + admitUntil + ", " + startUntil + ", " + answerUntil);
        }
    }

    /** Bounds for what is admitted until a time, of which half of the rest is left to requests that have begun. */
    public static ShutdownDeadlines between(double admitUntil, double answerUntil) {
        double latest = Math.max(admitUntil, answerUntil);
        return new ShutdownDeadlines(admitUntil, (admitUntil + latest) / 2, latest);
    }

    /**
     * The same, for a front that stops to admit only now, later than it was to: what has come by now is admitted,
     * unless it stops so late, as a process does that was paused, that too little time would be left for it.
     */
    public ShutdownDeadlines withAdmissionExtendedTo(double now) {
        double latest = admitUntil + Math.min(MAX_LATE_STOP_MS, LATE_STOP_SHARE * (startUntil - admitUntil));
        return new ShutdownDeadlines(Math.min(Math.max(admitUntil, now), latest), startUntil, answerUntil);
    }

    /** Whether a request may be taken now whose first byte came at the given time. */
    public boolean admits(double firstByteAt, double now) {
        return firstByteAt <= admitUntil && mayStart(now);
    }

    /** Whether an attempt may begin now. */
    public boolean mayStart(double now) {
        return now < startUntil;
    }

    /** The answer to a request that is not taken, or that no upstream has been sent: it has not run. */
    public Answer refusal() {
        return new Answer(Answer.Kind.REFUSED, Payload.NONE, RETRY_AFTER_MS);
    }
}

package sablehinge.dataplane.proxy;

/**
 * The deadlines of a graceful shutdown: until when the process admits requests, starts attempts and answers requests.
 * They are known from the start of the shutdown, so each component that accepts or sends a request checks whether the
 * request can still be answered: the front ends, the admission control, the attempts, and the queues at upstreams. All
 * times are in ms of the proxy's clock.
 *
 * @param admitUntil a request whose first byte arrives later is not admitted
 * @param startUntil no attempt starts later, nor waits longer in an upstream's queue
 * @param answerUntil requests that are not answered by then are aborted
 */
public record ShutdownDeadlines(double admitUntil, double startUntil, double answerUntil) {

    /** When a rejected client may retry; short, as other proxies can serve the request immediately. */
    private static final double RETRY_AFTER_MS = 100;
    /**
     * The maximum extension of admission for a front end that stops late: later requests are not exempt from the rules.
     */
    private static final double MAX_LATE_STOP_MS = 500;
    /**
     * Limits the extension to this share of the time from the end of admission to the last start, for short grace
     * periods.
     */
    private static final double LATE_STOP_SHARE = 1.0 / 3;

    /** Checks the order of the deadlines. */
    public ShutdownDeadlines {
        if (!(admitUntil <= startUntil && startUntil <= answerUntil)) {
            throw new IllegalArgumentException(
                    "deadlines are not in order: " + admitUntil + ", " + startUntil + ", " + answerUntil);
        }
    }

    /**
     * Creates deadlines for a given end of admission; attempts may start during the first half of the remaining time.
     */
    public static ShutdownDeadlines between(double admitUntil, double answerUntil) {
        double latest = Math.max(admitUntil, answerUntil);
        return new ShutdownDeadlines(admitUntil, (admitUntil + latest) / 2, latest);
    }

    /**
     * Returns deadlines for a front end that stops admission only now, later than planned: requests that arrived by now
     * are admitted. The extension is limited, so that a process that was paused for long keeps enough time to answer
     * them.
     */
    public ShutdownDeadlines withAdmissionExtendedTo(double now) {
        double latest = admitUntil + Math.min(MAX_LATE_STOP_MS, LATE_STOP_SHARE * (startUntil - admitUntil));
        return new ShutdownDeadlines(Math.min(Math.max(admitUntil, now), latest), startUntil, answerUntil);
    }

    /** Whether a request whose first byte arrived at the given time may be admitted now. */
    public boolean admits(double firstByteAt, double now) {
        return firstByteAt <= admitUntil && mayStart(now);
    }

    /** Whether an attempt may start now. */
    public boolean mayStart(double now) {
        return now < startUntil;
    }

    /** The answer to a request that is not admitted, or that was sent to no upstream: it has not run. */
    public Answer refusal() {
        return new Answer(Answer.Kind.REFUSED, Payload.NONE, RETRY_AFTER_MS);
    }
}

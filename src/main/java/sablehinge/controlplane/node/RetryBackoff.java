package sablehinge.controlplane.node;

/**
 * When a disk that refuses is tried again, and which of its refusals are logged. It decides only; {@code now} is a
 * steady clock in ms.
 */
final class RetryBackoff {

    /** The pause after the first refusal, ms; each is twice the one before. */
    static final double FIRST_PAUSE_MS = 10;
    /** The longest pause, ms: so much later than the disk is well again, at most, it is found to be. */
    static final double MAX_PAUSE_MS = 640;
    /** Between two lines while the code stays, ms. */
    static final double SAME_CODE_LOG_INTERVAL_MS = 60_000;
    /** Between two lines whatever has changed, ms. */
    static final double MIN_LOG_INTERVAL_MS = 5_000;

    private int refusals;
    private double since;
    private double loggedAt = Double.NEGATIVE_INFINITY;
    /** Whether these refusals were logged. */
    private boolean logged;

    private StoreException.Code code;

    /**
     * The disk has refused.
     *
     * @return whether to log it
     */
    boolean refused(double now, StoreException.Code why) {
        if (refusals == 0) {
            since = now;
        }
        refusals++;
        boolean logs = now - loggedAt >= (logged && why == code ? SAME_CODE_LOG_INTERVAL_MS : MIN_LOG_INTERVAL_MS);
        if (logs) {
            loggedAt = now;
            logged = true;
            code = why;
        }
        return logs;
    }

    /** How long to wait after the last refusal, ms. */
    double pause() {
        return Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * (1L << Math.min(16, refusals - 1)));
    }

    /**
     * The disk has taken all that waited: what comes next is a first refusal again.
     *
     * @return whether to log it, as the refusals were
     */
    boolean recovered() {
        boolean logs = logged;
        refusals = 0;
        logged = false;
        return logs;
    }

    /** Refusals in a row; 0 while the disk is well. */
    int refusals() {
        return refusals;
    }

    /** How long the disk has been refusing, ms. */
    double failingForMs(double now) {
        return refusals == 0 ? 0 : now - since;
    }
}

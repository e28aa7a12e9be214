package sablehinge.controlplane.node;

/**
 * Decides when an operation on a failing disk is retried and which failures are logged. {@code now} is a monotonic
 * clock in ms.
 */
final class RetryBackoff {

    /** The delay after the first failure; it doubles with each further one. */
    static final double INITIAL_DELAY_MS = 10;
    /** The maximum delay, which also bounds how late the recovery of the disk is noticed. */
    static final double MAX_DELAY_MS = 640;
    /** The minimum interval between log lines with the same error code. */
    static final double SAME_CODE_LOG_INTERVAL_MS = 60_000;
    /** The minimum interval between any two log lines. */
    static final double MIN_LOG_INTERVAL_MS = 5_000;

    private int failures;
    private double failingSinceMs;
    private double loggedAtMs = Double.NEGATIVE_INFINITY;
    /** Whether the current series of failures was logged. */
    private boolean logged;

    private StoreException.Code loggedCode;

    /**
     * Records a failure.
     *
     * @return whether to log it
     */
    boolean recordFailure(double now, StoreException.Code code) {
        if (failures == 0) {
            failingSinceMs = now;
        }
        failures++;
        boolean shouldLog =
                now - loggedAtMs >= (logged && code == loggedCode ? SAME_CODE_LOG_INTERVAL_MS : MIN_LOG_INTERVAL_MS);
        if (shouldLog) {
            loggedAtMs = now;
            logged = true;
            loggedCode = code;
        }
        return shouldLog;
    }

    /** The delay after the last failure. */
    double delayMs() {
        return Math.min(MAX_DELAY_MS, INITIAL_DELAY_MS * (1L << Math.min(16, failures - 1)));
    }

    /**
     * Records that everything pending was written. The next failure counts as the first of a new series.
     *
     * @return whether to log the recovery: only if a failure was logged
     */
    boolean recordRecovery() {
        boolean shouldLog = logged;
        failures = 0;
        logged = false;
        return shouldLog;
    }

    /** The number of consecutive failures; 0 while the disk works. */
    int failures() {
        return failures;
    }

    /** How long the disk has been failing. */
    double failingForMs(double now) {
        return failures == 0 ? 0 : now - failingSinceMs;
    }
}

package sablehinge.tools.replay.schedule;

import java.util.SplittableRandom;

/**
 * Timeout and retry decisions of the client of one request. The client never retries a request that may have been
 * executed and must not be executed twice.
 */
public final class ReplayClient {

    /**
     * Settings of the clients. Times are in milliseconds.
     *
     * @param retries maximum number of retries
     * @param minTimeoutShare lower bound of the attempt timeout as a share of the deadline; the share is drawn
     *     uniformly for each client
     * @param maxTimeoutShare upper bound of that share
     * @param backoff delay before a retry
     * @param honour probability, 0 to 1, that a client follows Retry-After
     * @param maxRetryAfter maximum delay that a client accepts from Retry-After
     */
    public record Terms(
            int retries,
            double minTimeoutShare,
            double maxTimeoutShare,
            double backoff,
            double honour,
            double maxRetryAfter) {

        /** The settings of the clients in the deployment. */
        public static Terms usual() {
            return new Terms(2, 0.4, 0.55, 100, 0.4, 2_000);
        }
    }

    /** Whether an attempt may be retried although it may have been executed. */
    public enum Repeat {
        ALWAYS,
        WITHIN_WINDOW,
        NEVER
    }

    /** The result of an attempt. */
    public enum Outcome {
        SERVED,
        REFUSED,
        FAILED,
        /** No server received the request. */
        UNREACHABLE
    }

    private final Terms terms;
    private final Repeat repeat;
    private final double deadlineMs;
    private final double windowMs;
    private final double timeoutMs;
    private int attempts;

    /**
     * Creates the client of one request.
     *
     * @param deadlineMs total time that the client waits for a response, in milliseconds
     * @param windowMs milliseconds after the first attempt within which a repeated request is dropped; used for
     *     {@link Repeat#WITHIN_WINDOW}
     */
    public ReplayClient(Terms terms, Repeat repeat, double deadlineMs, double windowMs, SplittableRandom random) {
        this.terms = terms;
        this.repeat = repeat;
        this.deadlineMs = deadlineMs;
        this.windowMs = windowMs;
        double share = terms.maxTimeoutShare() > terms.minTimeoutShare()
                ? random.nextDouble(terms.minTimeoutShare(), terms.maxTimeoutShare())
                : terms.minTimeoutShare();
        timeoutMs = terms.retries() == 0 ? deadlineMs : deadlineMs * share;
    }

    /**
     * Starts an attempt.
     *
     * @param elapsedMs milliseconds since the first attempt was due
     * @return the timeout of the attempt in milliseconds
     */
    public double begin(double elapsedMs) {
        attempts++;
        return Math.max(1, Math.min(timeoutMs, deadlineMs - elapsedMs));
    }

    /**
     * Decides on a retry after an attempt has ended.
     *
     * @param elapsedMs milliseconds since the first attempt was due
     * @param retryAfterMs the Retry-After of the response in milliseconds; 0 for none
     * @return the delay before the next attempt in milliseconds; NaN if the client does not retry
     */
    public double next(double elapsedMs, Outcome outcome, double retryAfterMs, SplittableRandom random) {
        if (outcome == Outcome.SERVED || attempts > terms.retries()) {
            return Double.NaN;
        }
        double delayMs = terms.backoff();
        if (outcome == Outcome.REFUSED && retryAfterMs > 0 && random.nextDouble() < terms.honour()) {
            delayMs = Math.max(delayMs, Math.min(retryAfterMs, terms.maxRetryAfter()));
        }
        boolean repeatable = outcome == Outcome.REFUSED
                || outcome == Outcome.UNREACHABLE
                || repeat == Repeat.ALWAYS
                || repeat == Repeat.WITHIN_WINDOW && elapsedMs + delayMs < windowMs;
        return repeatable && elapsedMs + delayMs < deadlineMs ? delayMs : Double.NaN;
    }

    /** Number of attempts so far. */
    public int attempts() {
        return attempts;
    }
}

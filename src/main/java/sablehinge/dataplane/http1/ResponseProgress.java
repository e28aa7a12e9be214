package sablehinge.dataplane.http1;

/**
 * Decides until when a response that has begun may make no progress. All times are in ms of the transport's clock.
 *
 * <p>There are two rules, by the {@linkplain UpstreamTerms#responseStallTimeoutMs() terms} of the upstreams:
 *
 * <ul>
 *   <li>With a stall timeout, a response may not stall for longer than that. Its head must be complete after five times
 *       the timeout; a relayed response, which can't be retried, may stall for sixteen times the timeout.
 *   <li>Without one, silence alone does not end a response before the deadline of its request. Until the response is
 *       relayed, its attempt ends with its deadline. A relayed response has no attempt any more: it ends if it is
 *       silent at the deadline or after it, and goes on for as long as it makes progress.
 * </ul>
 */
final class ResponseProgress {

    private static final int MAX_HEAD_STALLS = 5;
    private static final int MAX_RELAY_STALLS = 16;
    /** Silence after which a response whose deadline has passed is given up, in ms. */
    private static final double SILENCE_AFTER_DEADLINE_MS = 300;

    private final double stallTimeoutMs;
    private double startedAt;
    private double progressedAt;
    private boolean headComplete;
    /** The deadline of the request, once its response is relayed; NaN before. */
    private double relayDeadline = Double.NaN;

    ResponseProgress(UpstreamTerms terms) {
        stallTimeoutMs = terms.responseStallTimeoutMs();
    }

    /** The first byte of a response has arrived. */
    void onStart(double now) {
        startedAt = now;
        progressedAt = now;
        headComplete = false;
        relayDeadline = Double.NaN;
    }

    /** The head of the response has arrived. */
    void onHead() {
        headComplete = true;
    }

    /** Bytes have arrived, or the client reads too slowly for more of them to be read. */
    void onProgress(double now) {
        progressedAt = now;
    }

    /** The response is relayed from now on. */
    void onRelay(double deadline) {
        relayDeadline = deadline;
    }

    /** When the response is given up if it makes no progress until then; infinite if it is not. */
    double failsAt() {
        boolean relayed = !Double.isNaN(relayDeadline);
        if (Double.isInfinite(stallTimeoutMs)) {
            return relayed
                    ? Math.max(relayDeadline, progressedAt + SILENCE_AFTER_DEADLINE_MS)
                    : Double.POSITIVE_INFINITY;
        }
        if (relayed) {
            return progressedAt + MAX_RELAY_STALLS * stallTimeoutMs;
        }
        double stallsAt = progressedAt + stallTimeoutMs;
        return headComplete ? stallsAt : Math.min(stallsAt, startedAt + MAX_HEAD_STALLS * stallTimeoutMs);
    }

    /** When to check next; with a stall timeout there is at most one check in that time. Infinite if never. */
    double nextCheckAt(double now) {
        double failsAt = failsAt();
        return Double.isInfinite(stallTimeoutMs) ? failsAt : Math.max(failsAt, now + stallTimeoutMs);
    }
}

package sablehinge.tools.replay.folding;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Separates logged retries from new requests, so that a replay does not send the retries that an incident caused.
 * Attempts are added in the order of their start times; each is a first attempt or a retry of an earlier attempt.
 *
 * <p>If an attempt has an id (an idempotency key or a request id), attempts with the same id within a time window
 * belong to the same request. Otherwise an attempt is a retry of an earlier attempt with the same caller, method and
 * target that failed shortly before. A failed attempt accounts for attempt retry only: of three attempts after attempt
 * failure, two are new requests. An attempt after a success is a new request.
 *
 * <p>Known error: if a caller polls a target that fails, its next poll within the window counts as a retry. The window
 * is short for this reason.
 */
public final class RetryFolder {

    /**
     * Whether callers usually retry after this status: no response, timeout, rejection or a failure on the way (RFC
     * 9110, 15.5 and 15.6; 425 by RFC 8470; nginx logs 499 if the caller closed the connection).
     */
    private static boolean isRetryable(int status) {
        return status <= 0
                || status == 408
                || status == 425
                || status == 429
                || status == 499
                || status == 500
                || status >= 502 && status <= 504;
    }

    /**
     * One logged attempt.
     *
     * @param startMs start time in milliseconds
     * @param endMs end time in milliseconds; equal to {@code startMs} if the log does not contain it
     * @param id the idempotency key or request id; null if there is none
     * @param idPerRequest whether a different id means a different request; false for an id that a proxy generates for
     *     each attempt
     * @param caller the sender; caller, method and target are as logged
     * @param status the response status; 0 if there was no response
     */
    public record Attempt(
            double startMs,
            double endMs,
            String id,
            boolean idPerRequest,
            String caller,
            String method,
            String target,
            int status) {

        /** An attempt whose id, if it has one, is unique per request. */
        public Attempt(
                double startMs, double endMs, String id, String caller, String method, String target, int status) {
            this(startMs, endMs, id, id != null, caller, method, target, status);
        }
    }

    /**
     * Limits for recognizing retries.
     *
     * @param idWindowMs milliseconds within which attempts with the same id belong to the same request
     * @param retryWindowMs milliseconds after a failed attempt within which the next attempt is its retry
     * @param maxEntries maximum number of ids, and of failed attempts, in memory
     */
    public record Terms(double idWindowMs, double retryWindowMs, int maxEntries) {

        /** Defaults that fit most logs: ids match for an hour, retries within 10 s, a million entries. */
        public static Terms usual() {
            return new Terms(3.6e6, 10_000, 1_000_000);
        }
    }

    /** A request with an id: the index of its first attempt and the start time of its last attempt. */
    private static final class IdentifiedRequest {
        final long firstAttempt;
        double lastStartMs;

        IdentifiedRequest(long firstAttempt, double lastStartMs) {
            this.firstAttempt = firstAttempt;
            this.lastStartMs = lastStartMs;
        }
    }

    /** A failed attempt that no retry has been assigned to yet. */
    private record FailedAttempt(long firstAttempt, double endMs) {}

    private final Terms terms;
    private final LinkedHashMap<String, IdentifiedRequest> requestsById = new LinkedHashMap<>();
    /** Failed attempts by caller, method and target, oldest first; empty queues are removed. */
    private final LinkedHashMap<String, ArrayDeque<FailedAttempt>> failedAttempts = new LinkedHashMap<>();

    private int failedAttemptCount;
    private long attempts;
    private long folded;
    private long evicted;

    /** Creates a folder that has seen no attempts. */
    public RetryFolder(Terms terms) {
        this.terms = terms;
    }

    /**
     * Adds the next attempt.
     *
     * @return the index of the first attempt of the same request, counted from 0 over all attempts; the index of this
     *     attempt if it is the first
     */
    public long fold(Attempt attempt) {
        long index = attempts++;
        expire(attempt.startMs());
        long first = attempt.id() == null ? index : firstAttemptById(attempt, index);
        if (first == index && !attempt.idPerRequest()) {
            first = firstAttemptByFailure(attempt, index);
        }
        if (first != index) {
            folded++;
        }
        if (isRetryable(attempt.status()) && !attempt.idPerRequest()) {
            failedAttempts
                    .computeIfAbsent(callKey(attempt), absent -> new ArrayDeque<>())
                    .addLast(new FailedAttempt(first, attempt.endMs()));
            failedAttemptCount++;
        }
        evictExcess();
        return first;
    }

    private long firstAttemptById(Attempt attempt, long index) {
        IdentifiedRequest request = requestsById.remove(attempt.id());
        if (request == null || attempt.startMs() - request.lastStartMs > terms.idWindowMs()) {
            request = new IdentifiedRequest(index, attempt.startMs());
        }
        request.lastStartMs = attempt.startMs();
        // Reinserted at the end: the map is in the order of the last attempts.
        requestsById.put(attempt.id(), request);
        return request.firstAttempt;
    }

    private long firstAttemptByFailure(Attempt attempt, long index) {
        String key = callKey(attempt);
        ArrayDeque<FailedAttempt> candidates = failedAttempts.get(key);
        if (candidates == null) {
            return index;
        }
        FailedAttempt retried = null;
        for (FailedAttempt failed : candidates) {
            // The newest failure that had ended: a caller does not retry an attempt that is still in flight.
            if (failed.endMs() <= attempt.startMs() && attempt.startMs() - failed.endMs() <= terms.retryWindowMs()) {
                retried = failed;
            }
        }
        if (retried == null) {
            return index;
        }
        candidates.remove(retried);
        failedAttemptCount--;
        if (candidates.isEmpty()) {
            failedAttempts.remove(key);
        }
        return retried.firstAttempt();
    }

    private static String callKey(Attempt attempt) {
        // A line feed cannot occur in any part of a request line, so the key is unambiguous.
        return attempt.caller() + '\n' + attempt.method() + '\n' + attempt.target();
    }

    private void expire(double now) {
        while (!requestsById.isEmpty()) {
            Map.Entry<String, IdentifiedRequest> oldest =
                    requestsById.entrySet().iterator().next();
            if (now - oldest.getValue().lastStartMs <= terms.idWindowMs()) {
                break;
            }
            requestsById.remove(oldest.getKey());
        }
        while (!failedAttempts.isEmpty()) {
            Map.Entry<String, ArrayDeque<FailedAttempt>> oldest =
                    failedAttempts.entrySet().iterator().next();
            if (now - oldest.getValue().peekLast().endMs() <= terms.retryWindowMs()) {
                break;
            }
            failedAttemptCount -= oldest.getValue().size();
            failedAttempts.remove(oldest.getKey());
        }
    }

    /** Evicts the oldest entries over the limit; their retries then count as new requests. */
    private void evictExcess() {
        while (requestsById.size() > terms.maxEntries()) {
            requestsById.remove(requestsById.keySet().iterator().next());
            evicted++;
        }
        while (failedAttemptCount > terms.maxEntries()) {
            String oldest = failedAttempts.keySet().iterator().next();
            failedAttemptCount -= failedAttempts.remove(oldest).size();
            evicted++;
        }
    }

    /** Number of attempts that were retries of an earlier attempt. */
    public long folded() {
        return folded;
    }

    /** Number of evictions before the window had passed; retries of evicted requests may count as new requests. */
    public long evicted() {
        return evicted;
    }

    /** Number of ids and failed attempts in memory. */
    int entryCount() {
        return requestsById.size() + failedAttemptCount;
    }
}

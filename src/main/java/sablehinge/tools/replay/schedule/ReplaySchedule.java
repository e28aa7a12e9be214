package sablehinge.tools.replay.schedule;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Computes when, and how many times, a logged request is sent in a replay. Time is compressed uniformly, so the mix of
 * requests in every slice is that of the log. If the rate is scaled up, copies are sent within one second of log time
 * after the original; if it is scaled down, requests are dropped evenly within each service class.
 *
 * @param <T> type of a request
 */
public final class ReplaySchedule<T> {

    /** Maximum delay of a copy after its original, in milliseconds of log time. */
    private static final double MAX_COPY_DELAY_MS = 1_000;

    private static final int MAX_CLASSES = 10_000;
    /** Maximum number of pending copies; beyond it, the earliest copy is sent ahead of time. */
    static final int MAX_PENDING_COPIES = 1 << 18;

    /**
     * Settings of a replay.
     *
     * @param compress hours of log time per hour of the replay
     * @param rateScale number of requests sent per logged request
     * @param from start of the replayed range in milliseconds since the epoch, inclusive; NaN for the start of the log
     * @param to end of the range in milliseconds since the epoch, exclusive; NaN for the end of the log
     * @param seed seed of the random number generator
     */
    public record Terms(double compress, double rateScale, double from, double to, long seed) {}

    /** Receives requests in the order of their due times. */
    public interface Sink<T> {

        /**
         * Receives one request; {@code dueMs} is relative to the start of the replay, {@code copy} is 0 for the
         * original.
         */
        void due(double dueMs, int copy, T request);
    }

    private record PendingCopy<T>(double timeMs, long sequence, int copy, T request) {}

    private final Terms terms;
    private final Sink<T> sink;
    private final SplittableRandom random;
    private final Map<String, double[]> creditByClass = new HashMap<>();
    private final PriorityQueue<PendingCopy<T>> pendingCopies = new PriorityQueue<>(
            Comparator.<PendingCopy<T>>comparingDouble(PendingCopy::timeMs).thenComparingLong(PendingCopy::sequence));
    private double startMs = Double.NaN;
    private double lastDueMs;
    private long nextSequence;

    /** Creates an empty schedule. */
    public ReplaySchedule(Terms terms, Sink<T> sink) {
        this.terms = terms;
        this.sink = sink;
        random = new SplittableRandom(terms.seed());
        startMs = terms.from();
    }

    /** Whether a request at the given time, and hence every later one, is after the end of the replayed range. */
    public boolean isPast(double timeMs) {
        return timeMs >= terms.to();
    }

    /** Adds the next request of the log; times must not decrease. */
    public void take(double timeMs, String serviceClass, T request) {
        if (timeMs < terms.from() || isPast(timeMs)) {
            return;
        }
        if (Double.isNaN(startMs)) {
            startMs = timeMs;
        }
        release(timeMs);
        // Beyond the limit, all classes share one credit.
        double[] credit = creditByClass.computeIfAbsent(creditByClass.size() < MAX_CLASSES ? serviceClass : "", name ->
                new double[] {terms.rateScale() < 1 ? random.nextDouble() : 0});
        credit[0] += terms.rateScale();
        // A sum of tenths may be slightly less than an integer.
        int copies = (int) Math.floor(credit[0] + 1e-9);
        credit[0] -= copies;
        for (int copy = 0; copy < copies; copy++) {
            if (copy == 0) {
                send(timeMs, 0, request);
            } else {
                pendingCopies.add(new PendingCopy<>(
                        timeMs + random.nextDouble(MAX_COPY_DELAY_MS), nextSequence++, copy, request));
            }
        }
    }

    private void release(double timeMs) {
        while (!pendingCopies.isEmpty()
                && (pendingCopies.peek().timeMs <= timeMs || pendingCopies.size() > MAX_PENDING_COPIES)) {
            PendingCopy<T> next = pendingCopies.poll();
            send(next.timeMs, next.copy, next.request);
        }
    }

    private void send(double timeMs, int copy, T request) {
        lastDueMs = Math.max(lastDueMs, (timeMs - startMs) / terms.compress());
        sink.due(lastDueMs, copy, request);
    }

    /** Ends the log: sends all pending copies in order. */
    public void end() {
        release(Double.POSITIVE_INFINITY);
    }
}

package sablehinge.tools.replay.schedule;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * When a logged request is due in a replay, and how often. Time is compressed evenly, so that the mix of every slice is
 * the log's. A rate that is scaled up sends copies, each within a second of the log from its original; one that is
 * scaled down leaves out evenly within each class.
 *
 * @param <T> a request
 */
public final class ReplaySchedule<T> {

    /** How far a copy may lie from its original, in ms of the log. */
    private static final double SPREAD = 1_000;

    private static final int MAX_CLASSES = 10_000;
    /** Copies that wait for their time at most; beyond it the first one goes early. */
    static final int MAX_WAITING = 1 << 18;

    /**
     * How a day is replayed.
     *
     * @param compress hours of the log in one of the replay
     * @param rateScale requests sent for one of the log
     * @param from ms since 1970 from which on requests are taken; NaN for the log's beginning
     * @param to likewise until when, itself not included; NaN for its end
     */
    public record Terms(double compress, double rateScale, double from, double to, long seed) {}

    /** Takes requests in the order in which they are due. */
    public interface Sink<T> {

        /** {@code due} in ms from the replay's start; {@code copy} is 0 for the original. */
        void due(double due, int copy, T request);
    }

    private record Copy<T>(double time, long order, int copy, T request) {}

    private final Terms terms;
    private final Sink<T> sink;
    private final SplittableRandom random;
    private final Map<String, double[]> owed = new HashMap<>();
    private final PriorityQueue<Copy<T>> waiting =
            new PriorityQueue<>(Comparator.<Copy<T>>comparingDouble(Copy::time).thenComparingLong(Copy::order));
    private double start = Double.NaN;
    private double last;
    private long order;

    /** A schedule by which nothing has been sent yet. */
    public ReplaySchedule(Terms terms, Sink<T> sink) {
        this.terms = terms;
        this.sink = sink;
        random = new SplittableRandom(terms.seed());
        start = terms.from();
    }

    /** Whether a request of the given time, and so each later one, lies behind the end. */
    public boolean isPast(double time) {
        return time >= terms.to();
    }

    /** Takes the next request of the log; times must not go back. */
    public void take(double time, String serviceClass, T request) {
        if (time < terms.from() || isPast(time)) {
            return;
        }
        if (Double.isNaN(start)) {
            start = time;
        }
        release(time);
        // Beyond the bound all classes share one account.
        double[] owes = owed.computeIfAbsent(owed.size() < MAX_CLASSES ? serviceClass : "", name ->
                new double[] {terms.rateScale() < 1 ? random.nextDouble() : 0});
        owes[0] += terms.rateScale();
        // A sum of tenths may lie a little under an integer.
        int copies = (int) Math.floor(owes[0] + 1e-9);
        owes[0] -= copies;
        for (int copy = 0; copy < copies; copy++) {
            if (copy == 0) {
                send(time, 0, request);
            } else {
                waiting.add(new Copy<>(time + random.nextDouble(SPREAD), order++, copy, request));
            }
        }
    }

    private void release(double time) {
        while (!waiting.isEmpty() && (waiting.peek().time <= time || waiting.size() > MAX_WAITING)) {
            Copy<T> next = waiting.poll();
            send(next.time, next.copy, next.request);
        }
    }

    private void send(double time, int copy, T request) {
        last = Math.max(last, (time - start) / terms.compress());
        sink.due(last, copy, request);
    }

    /** The log has ended: what waits is due in its turn. */
    public void end() {
        release(Double.POSITIVE_INFINITY);
    }
}

package sablehinge.tools.replay.timeline;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Sorts logged events by time. Events are added in log order and emitted in time order in bounded memory: an event is
 * pending until no earlier event can follow within the window, or until too many events are pending. An event without a
 * time is placed between its neighbours. If the clock was set back, later times are shifted so that time continues.
 * Times with a resolution of one second are spread randomly over their second, in log order, so that they form no
 * burst.
 *
 * @param <T> type of the payload of an event
 */
public final class Timeline<T> {

    /**
     * Number of consecutive events older than the window after which the clock counts as set back; fewer are late
     * events.
     */
    private static final int MIN_EVENTS_FOR_CLOCK_JUMP = 20;

    private static final double SECOND_MS = 1_000;

    /** Receives the sorted events. */
    public interface Sink<T> {

        /** Receives the next event; times are in milliseconds and never decrease. */
        void event(double timeMs, T item);
    }

    /**
     * Settings of the sort.
     *
     * @param windowMs milliseconds by which an event may be late and still be sorted correctly
     * @param maxPending maximum number of pending events
     * @param secondResolution whether times are logged without fractions of a second
     * @param seed seed of the random offsets within a second
     */
    public record Terms(double windowMs, int maxPending, boolean secondResolution, long seed) {}

    private record PendingEvent<T>(double timeMs, long sequence, T item) {}

    private final Terms terms;
    private final Sink<T> sink;
    private final SplittableRandom random;
    private final PriorityQueue<PendingEvent<T>> pending =
            new PriorityQueue<>(Comparator.<PendingEvent<T>>comparingDouble(PendingEvent::timeMs)
                    .thenComparingLong(PendingEvent::sequence));
    private final List<T> untimed = new ArrayList<>();
    private long nextSequence;
    private double newestMs = Double.NEGATIVE_INFINITY;
    private double lastKnownMs = Double.NaN;
    private double lastEmittedMs = Double.NEGATIVE_INFINITY;
    /** Added to logged times to compensate for a clock that was set back. */
    private double clockOffsetMs;

    private int consecutiveFarBack;
    private long missing;
    private long outOfOrder;
    private long late;
    private long jumps;

    /** Creates an empty timeline. */
    public Timeline(Terms terms, Sink<T> sink) {
        this.terms = terms;
        this.sink = sink;
        random = new SplittableRandom(terms.seed());
    }

    /** Adds the next event of the log; its time is in milliseconds, or NaN if it is missing. */
    public void add(double loggedMs, T item) {
        if (Double.isNaN(loggedMs)) {
            missing++;
            untimed.add(item);
            if (untimed.size() >= terms.maxPending()) {
                placeUntimed(lastKnownMs);
                release();
            }
            return;
        }
        double timeMs = correctClock(loggedMs);
        placeUntimed(timeMs);
        if (timeMs < newestMs) {
            outOfOrder++;
        }
        newestMs = Math.max(newestMs, timeMs);
        lastKnownMs = timeMs;
        pending.add(new PendingEvent<>(timeMs, nextSequence++, item));
        release();
    }

    /** Returns the time as shown by a clock that was never set back. */
    private double correctClock(double loggedMs) {
        double timeMs = loggedMs + clockOffsetMs;
        if (timeMs >= newestMs - terms.windowMs()) {
            consecutiveFarBack = 0;
            return timeMs;
        }
        consecutiveFarBack++;
        if (consecutiveFarBack < MIN_EVENTS_FOR_CLOCK_JUMP) {
            return timeMs;
        }
        jumps++;
        consecutiveFarBack = 0;
        clockOffsetMs = newestMs - loggedMs;
        return newestMs;
    }

    /** Spaces events without a time evenly between the last known time and the next one. */
    private void placeUntimed(double nextMs) {
        double fromMs = Double.isNaN(lastKnownMs) ? nextMs : lastKnownMs;
        double toMs = Double.isNaN(nextMs) ? 0 : nextMs;
        fromMs = Double.isNaN(fromMs) ? toMs : fromMs;
        for (int i = 0; i < untimed.size(); i++) {
            double timeMs = fromMs + (toMs - fromMs) * (i + 1) / (untimed.size() + 1);
            pending.add(new PendingEvent<>(timeMs, nextSequence++, untimed.get(i)));
        }
        untimed.clear();
    }

    private void release() {
        while (!pending.isEmpty()
                && (pending.size() > terms.maxPending()
                        || pending.peek().timeMs()
                                < newestMs - terms.windowMs() - (terms.secondResolution() ? SECOND_MS : 0))) {
            emitFirst();
        }
    }

    /** Emits the first event, together with all events of the same second if only the second is known. */
    private void emitFirst() {
        PendingEvent<T> first = pending.poll();
        if (!terms.secondResolution() || first.timeMs() % SECOND_MS != 0) {
            emit(first.timeMs(), first.item());
            return;
        }
        List<T> group = new ArrayList<>(List.of(first.item()));
        while (!pending.isEmpty() && pending.peek().timeMs() == first.timeMs()) {
            group.add(pending.poll().item());
        }
        double[] offsets = random.doubles(group.size(), 0, SECOND_MS).sorted().toArray();
        for (int i = 0; i < offsets.length; i++) {
            emit(first.timeMs() + offsets[i], group.get(i));
        }
    }

    private void emit(double timeMs, T item) {
        // A random offset may move an event past the time of the next one by less than a second; the next one is then
        // not late.
        if (timeMs < lastEmittedMs - (terms.secondResolution() ? SECOND_MS : 0)) {
            late++;
        }
        lastEmittedMs = Math.max(lastEmittedMs, timeMs);
        sink.event(lastEmittedMs, item);
    }

    /** Ends the log: emits all pending events. */
    public void end() {
        placeUntimed(lastKnownMs);
        while (!pending.isEmpty()) {
            emitFirst();
        }
    }

    /** Number of events without a time. */
    public long missing() {
        return missing;
    }

    /** Number of events with a time before that of an event added earlier. */
    public long outOfOrder() {
        return outOfOrder;
    }

    /** Number of events too late to be sorted; they are emitted with the time of the preceding event. */
    public long late() {
        return late;
    }

    /** Number of times that the clock was set back. */
    public long jumps() {
        return jumps;
    }

    /** Number of pending events. */
    int pendingCount() {
        return pending.size() + untimed.size();
    }
}

package sablehinge.tools.replay.timeline;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Sorts logged events into one line of time. They come in the order of the log and leave in the order of time, however
 * long the log is: an event waits until all that may still come before it has come, or until too many wait. A time that
 * is missing lies between its neighbours; a clock that is set back is taken to go on; times in full seconds are spread
 * over their second by seed, in the log's order, so that they are no burst.
 *
 * @param <T> the payload of an event
 */
public final class Timeline<T> {

    /** Events in a row that must lie far back before the clock counts as set back; fewer are stragglers. */
    private static final int JUMP = 20;

    private static final double SECOND = 1_000;

    /** Takes events as they leave. */
    public interface Sink<T> {

        /** The next event; times, in ms, never go back. */
        void event(double time, T item);
    }

    /**
     * How events are placed.
     *
     * @param window ms by which an event may come too late and still find its place
     * @param mostHeld events that wait at most
     * @param secondSteps whether times have no fractions of a second
     * @param seed of the spread within a second
     */
    public record Terms(double window, int mostHeld, boolean secondSteps, long seed) {}

    private record Held<T>(double time, long order, T item) {}

    private final Terms terms;
    private final Sink<T> sink;
    private final SplittableRandom random;
    private final PriorityQueue<Held<T>> held =
            new PriorityQueue<>(Comparator.<Held<T>>comparingDouble(Held::time).thenComparingLong(Held::order));
    private final List<T> untimed = new ArrayList<>();
    private long order;
    private double newest = Double.NEGATIVE_INFINITY;
    private double lastKnown = Double.NaN;
    private double left = Double.NEGATIVE_INFINITY;
    /** What is added to the log's times, as its clock was set back. */
    private double shift;

    private int farBack;
    private long missing;
    private long outOfOrder;
    private long late;
    private long jumps;

    /** An empty line. */
    public Timeline(Terms terms, Sink<T> sink) {
        this.terms = terms;
        this.sink = sink;
        random = new SplittableRandom(terms.seed());
    }

    /** Takes the next event of the log; its time is in ms, or NaN where it is missing. */
    public void add(double logged, T item) {
        if (Double.isNaN(logged)) {
            missing++;
            untimed.add(item);
            if (untimed.size() >= terms.mostHeld()) {
                placeUntimed(lastKnown);
                release();
            }
            return;
        }
        double time = follow(logged);
        placeUntimed(time);
        if (time < newest) {
            outOfOrder++;
        }
        newest = Math.max(newest, time);
        lastKnown = time;
        held.add(new Held<>(time, order++, item));
        release();
    }

    /** The time on a clock that was never set back. */
    private double follow(double logged) {
        double time = logged + shift;
        if (time >= newest - terms.window()) {
            farBack = 0;
            return time;
        }
        farBack++;
        if (farBack < JUMP) {
            return time;
        }
        jumps++;
        farBack = 0;
        shift = newest - logged;
        return newest;
    }

    /** Places what has no time evenly between the last known one and the next. */
    private void placeUntimed(double next) {
        double from = Double.isNaN(lastKnown) ? next : lastKnown;
        double to = Double.isNaN(next) ? 0 : next;
        from = Double.isNaN(from) ? to : from;
        for (int i = 0; i < untimed.size(); i++) {
            double time = from + (to - from) * (i + 1) / (untimed.size() + 1);
            held.add(new Held<>(time, order++, untimed.get(i)));
        }
        untimed.clear();
    }

    private void release() {
        while (!held.isEmpty()
                && (held.size() > terms.mostHeld()
                        || held.peek().time() < newest - terms.window() - (terms.secondSteps() ? SECOND : 0))) {
            leave();
        }
    }

    /** Lets the first go, with the others of its second where that is all that is known of them. */
    private void leave() {
        Held<T> first = held.poll();
        if (!terms.secondSteps() || first.time() % SECOND != 0) {
            emit(first.time(), first.item());
            return;
        }
        List<T> group = new ArrayList<>(List.of(first.item()));
        while (!held.isEmpty() && held.peek().time() == first.time()) {
            group.add(held.poll().item());
        }
        double[] offsets = random.doubles(group.size(), 0, SECOND).sorted().toArray();
        for (int i = 0; i < offsets.length; i++) {
            emit(first.time() + offsets[i], group.get(i));
        }
    }

    private void emit(double time, T item) {
        // By less than a second a spread one may lie behind the next; that is the spread's doing and no
        // straggler.
        if (time < left - (terms.secondSteps() ? SECOND : 0)) {
            late++;
        }
        left = Math.max(left, time);
        sink.event(left, item);
    }

    /** The log has ended: lets all go. */
    public void end() {
        placeUntimed(lastKnown);
        while (!held.isEmpty()) {
            leave();
        }
    }

    /** Events that had no time. */
    public long missing() {
        return missing;
    }

    /** Events whose time lay before one that came earlier. */
    public long outOfOrder() {
        return outOfOrder;
    }

    /** Events that came so late that their place had passed; they stand at the time of the one before them. */
    public long late() {
        return late;
    }

    /** How often the clock was set back. */
    public long jumps() {
        return jumps;
    }

    /** Events that wait. */
    int waiting() {
        return held.size() + untimed.size();
    }
}

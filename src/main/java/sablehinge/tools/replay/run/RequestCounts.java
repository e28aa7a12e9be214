package sablehinge.tools.replay.run;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What became of the requests, counted where they were sent. One thread owns it. */
final class RequestCounts {

    /** An hour in µs; what takes longer counts as that. */
    private static final long MAX = 3_600_000_000L;

    static final int SLICES = 300;

    /** How a request, over all its tries, came out. */
    enum Outcome {
        IN_TIME,
        LATE,
        REFUSED,
        FAILED,
        UNANSWERED,
        UNREACHABLE
    }

    /** The requests of a class. */
    static final class OfClass {
        final long[] outcomes = new long[Outcome.values().length];
        final Histogram latency = new Histogram(MAX, 3);
    }

    /** A slice of time: what was requested in it, and what was answered. */
    static final class Slice {
        long requested;
        final long[] outcomes = new long[Outcome.values().length];
        Histogram latency;

        void add(Slice other) {
            requested += other.requested;
            for (int i = 0; i < outcomes.length; i++) {
                outcomes[i] += other.outcomes[i];
            }
            if (other.latency != null) {
                histogram().add(other.latency);
            }
        }

        Histogram histogram() {
            if (latency == null) {
                latency = new Histogram(1, MAX, 2);
            }
            return latency;
        }

        double quantile(double percent) {
            return latency == null ? Double.NaN : latency.getValueAtPercentile(percent) / 1e3;
        }
    }

    final Map<String, OfClass> classes = new TreeMap<>();
    final Histogram sendError = new Histogram(MAX, 3);
    Slice[] slices = new Slice[SLICES];
    double sliceWidth = 1_000;
    long requests;
    long tries;
    long again;
    long unasked;
    long wrongBodies;
    long connections;
    long waited;

    /** Counts a request as it is sent; times in ms from the start. */
    void requested(double at, double late) {
        requests++;
        sendError.recordValue(micros(late));
        slice(at).requested++;
    }

    /** Counts what became of a request. */
    void ended(String serviceClass, double at, Outcome outcome, double latency) {
        OfClass own = classes.computeIfAbsent(serviceClass, name -> new OfClass());
        own.outcomes[outcome.ordinal()]++;
        Slice slice = slice(at);
        slice.outcomes[outcome.ordinal()]++;
        if (outcome == Outcome.IN_TIME || outcome == Outcome.LATE) {
            own.latency.recordValue(micros(latency));
            slice.histogram().recordValue(micros(latency));
        }
    }

    private static long micros(double millis) {
        return Math.max(0, Math.min(MAX, Math.round(millis * 1_000)));
    }

    private Slice slice(double at) {
        int place = (int) Math.max(0, at / sliceWidth);
        while (place >= SLICES) {
            widen();
            place = (int) (at / sliceWidth);
        }
        if (slices[place] == null) {
            slices[place] = new Slice();
        }
        return slices[place];
    }

    private void widen() {
        Slice[] wider = new Slice[SLICES];
        for (int i = 0; i < SLICES; i++) {
            if (slices[i] != null) {
                if (wider[i / 2] == null) {
                    wider[i / 2] = slices[i];
                } else {
                    wider[i / 2].add(slices[i]);
                }
            }
        }
        slices = wider;
        sliceWidth *= 2;
    }

    /** Adds another's counts to these. */
    void add(RequestCounts other) {
        other.classes.forEach((name, theirs) -> {
            OfClass own = classes.computeIfAbsent(name, key -> new OfClass());
            for (int i = 0; i < own.outcomes.length; i++) {
                own.outcomes[i] += theirs.outcomes[i];
            }
            own.latency.add(theirs.latency);
        });
        sendError.add(other.sendError);
        while (sliceWidth < other.sliceWidth) {
            widen();
        }
        while (other.sliceWidth < sliceWidth) {
            other.widen();
        }
        for (int i = 0; i < SLICES; i++) {
            if (other.slices[i] != null) {
                if (slices[i] == null) {
                    slices[i] = new Slice();
                }
                slices[i].add(other.slices[i]);
            }
        }
        requests += other.requests;
        tries += other.tries;
        again += other.again;
        unasked += other.unasked;
        wrongBodies += other.wrongBodies;
        connections += other.connections;
        waited += other.waited;
    }

    /** Requests that have come out. */
    long ended() {
        return classes.values().stream()
                .flatMapToLong(c -> java.util.Arrays.stream(c.outcomes))
                .sum();
    }
}

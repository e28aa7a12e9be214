package sablehinge.node;

/**
 * The time in ms since 1970, read off the monotonic clock. It is set by the system's clock once, at the
 * start, so that later corrections of that clock neither stretch a time-out nor let time run backwards.
 */
final class Clock {

    private static final double NANOS_PER_MS = 1e6;

    private final long wallMillis = System.currentTimeMillis();
    private final long nanos = System.nanoTime();

    double now() {
        return wallMillis + (System.nanoTime() - nanos) / NANOS_PER_MS;
    }

    /** The delay from now, in ns, until a point in time; 0 if it has passed. */
    long nanosUntil(double at) {
        return (long) Math.ceil(Math.max(0, at - now()) * NANOS_PER_MS);
    }
}

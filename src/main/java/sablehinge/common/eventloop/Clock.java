package sablehinge.common.eventloop;

/** The time that all of the program reads. */
public interface Clock {

    /** The time in ms since 1970, with fractions; it never goes back. */
    double now();

    /**
     * A clock that reads the monotonic one of the system. It is set by the system's wall clock once, at its making, so
     * that later corrections of that neither stretch a time-out nor let time run backwards.
     */
    static Clock system() {
        double nanosPerMs = 1e6;
        long wallMillis = System.currentTimeMillis();
        long nanos = System.nanoTime();
        return () -> wallMillis + (System.nanoTime() - nanos) / nanosPerMs;
    }
}

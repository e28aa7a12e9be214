package sablehinge.common.eventloop;

/** The clock that all of the program reads. */
public interface Clock {

    /** The time in ms since 1970, with fractions; it never goes back. */
    double now();

    /**
     * A clock that reads the monotonic clock of the system. It is set to the system's wall clock once, when it is
     * created, so that later corrections of the wall clock neither stretch a timeout nor let time run backwards.
     */
    static Clock system() {
        double nanosPerMs = 1e6;
        long wallMillis = System.currentTimeMillis();
        long nanos = System.nanoTime();
        return () -> wallMillis + (System.nanoTime() - nanos) / nanosPerMs;
    }
}

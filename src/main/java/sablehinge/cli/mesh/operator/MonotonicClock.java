package sablehinge.cli.mesh.operator;

/** A monotonic clock with a sleep operation, replaceable in tests. */
public interface MonotonicClock {

    /** The current monotonic time in milliseconds. */
    long now();

    /** Sleeps for the given time. */
    void sleep(long ms) throws InterruptedException;
}

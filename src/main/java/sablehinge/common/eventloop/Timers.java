package sablehinge.common.eventloop;

/** Schedules callbacks on the thread that owns the proxy. */
public interface Timers {

    /** A scheduled callback. */
    interface Timer {

        /** Cancels the callback if it has not run. */
        void cancel();
    }

    /** Schedules a callback for the given time, in ms of the {@link Clock}, or as soon as possible after it. */
    Timer at(double time, Runnable call);
}

package sablehinge.common.eventloop;

/** Calls back on the thread that owns the core. */
public interface Timers {

    /** A call that is to come. */
    interface Timer {

        /** Calls it off, if it has not come. */
        void cancel();
    }

    /** Calls at the given time, in ms of the {@link Clock}, or as soon as possible after it. */
    Timer at(double time, Runnable call);
}

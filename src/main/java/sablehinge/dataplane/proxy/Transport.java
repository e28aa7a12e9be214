package sablehinge.dataplane.proxy;

import java.util.function.Consumer;
import sablehinge.common.eventloop.Clock;
import sablehinge.dataplane.budget.AttemptBudgets;

/**
 * Sends attempts and health checks to servers, and nothing on its own account: what breaks is a result. All calls are
 * made, and all results come, on the thread that owns the core.
 */
public interface Transport {

    /** Listens to an attempt that is in flight. */
    interface Progress {

        /**
         * Its answer has begun to come and is not complete yet, at most once: what the body takes from here on depends
         * on its sender's speed, and not on how long the server had it wait.
         *
         * @return until when it may come, in ms of the {@link Clock}, in place of the time given to {@code send}
         */
        double responseStarted();

        /**
         * How long the request has from when it has come completely, in ms; an upstream that takes nothing of a body
         * for as long is given up.
         */
        default double requestTimeMs() {
            return Double.POSITIVE_INFINITY;
        }

        /** It has ended, once. */
        void finished(AttemptResult result);
    }

    /** An attempt that is out. */
    interface Attempt {

        /** Stops waiting; the result comes before this returns, unless it has come already. */
        void cancel();

        /** Whether nothing but its server's word could prove that it has not run. */
        default boolean mayHaveRun() {
            return true;
        }

        /** The request has come to its end only now: from here on waits until the given time. */
        default void waitUntil(double until) {}
    }

    /**
     * Sends a request to a server and waits until the given time.
     *
     * @param version whose limits and rules hold for the attempt
     * @param request lent until the result has come
     * @param until in ms of the {@link Clock}; of a request that is still coming, the time that it would have if it
     *     ended now, and {@link Attempt#waitUntil} tells the true one
     * @param grant its part of the request's budget, read when it is written; null where budgets are off
     * @param progress is called, perhaps before this returns
     */
    Attempt send(
            Version version,
            long upstream,
            Payload request,
            double until,
            AttemptBudgets.Grant grant,
            Progress progress);

    /** Asks a server how it does. */
    void healthCheck(Version version, long upstream, double until, Consumer<AttemptResult> end);

    /** Gives back what is kept for a server between attempts. */
    void closeIdle(long upstream);

    /** Takes in a list of servers, complete or a delta. */
    void update(Roster roster);

    /**
     * The process is about to end: what has not begun to be written by {@link ShutdownDeadlines#startUntil()} never is,
     * also where its connection was still being made. Nothing to do for a transport that writes at once.
     */
    default void drain(ShutdownDeadlines deadlines) {}

    /** From now on requests arrive under this version; its limits hold for what is kept between attempts. */
    void adopt(Version version);
}

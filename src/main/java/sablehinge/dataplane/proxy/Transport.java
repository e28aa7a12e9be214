package sablehinge.dataplane.proxy;

import java.util.function.Consumer;
import sablehinge.common.eventloop.Clock;
import sablehinge.dataplane.budget.AttemptBudgets;

/**
 * Sends attempts and health checks to servers. It never retries by itself: each failure is reported as a result. All
 * calls and all results are made on the thread that owns the proxy.
 */
public interface Transport {

    /** Listener of an attempt in flight. */
    interface Progress {

        /**
         * Called at most once, when the response has started to arrive and is not complete yet. The duration of the
         * body from here on depends on the transfer speed and not on the server's load.
         *
         * @return the new deadline of the response, in ms of the {@link Clock}, which replaces the one given to
         *     {@code send}
         */
        double responseStarted();

        /**
         * The timeout of the request from its complete arrival, in ms. An attempt fails if its upstream reads nothing
         * of the body for this long.
         */
        default double requestTimeMs() {
            return Double.POSITIVE_INFINITY;
        }

        /**
         * The deadline of the request, in ms of the {@link Clock}, which may be later than that of the attempt;
         * infinite while the request is still being received.
         */
        default double requestDeadline() {
            return Double.POSITIVE_INFINITY;
        }

        /** Called once, when the attempt has ended. */
        void finished(AttemptResult result);
    }

    /** An attempt in flight. */
    interface Attempt {

        /** Cancels the attempt; its result is reported before this method returns, unless it was reported already. */
        void cancel();

        /** Whether only the server's response could prove that the attempt has not run. */
        default boolean mayHaveRun() {
            return true;
        }

        /** Called when a streamed request was received completely: sets the deadline of the attempt. */
        default void waitUntil(double until) {}
    }

    /**
     * Sends a request to a server and waits for the response until a deadline.
     *
     * @param version the version whose limits and rules apply to the attempt
     * @param request valid until the result is reported
     * @param until the deadline in ms of the {@link Clock}; for a request that is still being received, the deadline if
     *     it were complete now, replaced later by {@link Attempt#waitUntil}
     * @param grant the attempt's part of the request's budget, read when the request is written; null if budgets are
     *     off
     * @param progress listener, possibly called before this method returns
     */
    Attempt send(
            Version version,
            long upstream,
            Payload request,
            double until,
            AttemptBudgets.Grant grant,
            Progress progress);

    /** Sends a health check to a server. */
    void healthCheck(Version version, long upstream, double until, Consumer<AttemptResult> callback);

    /** Closes the idle connections to a server. */
    void closeIdle(long upstream);

    /** Applies a server list, complete or a delta. */
    void update(Roster roster);

    /**
     * Begins the shutdown: an attempt whose first byte is not written by {@link ShutdownDeadlines#startUntil()} is
     * never written, even if its connection is still being established. A transport that writes immediately need not do
     * anything.
     */
    default void drain(ShutdownDeadlines deadlines) {}

    /** Adopts the version of new requests; its limits apply to idle connections. */
    void adopt(Version version);
}

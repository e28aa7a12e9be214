package sablehinge.tools.audit.judge;

/**
 * An observation of one party. Times are milliseconds since 1970 on one machine's clock; NaN if the event never
 * happened.
 */
public sealed interface Evidence {

    /** When the observed event ended, as the party saw it. */
    double at();

    /** How a client attempt ended. */
    enum End {
        /** With a complete answer. */
        ANSWERED,
        /** The connection ended before any byte of an answer arrived. */
        BROKEN,
        /** The connection ended during an answer: the caller can tell that the answer is incomplete. */
        PARTIAL,
        /** No answer arrived before the caller's deadline. */
        SILENT,
        /** The caller disconnected before its deadline. */
        LEFT,
        /** The request was never written completely to an accepted connection. */
        UNREACHABLE
    }

    /** Whether the body of an answer was produced by a server for this request. */
    enum Echo {
        SAME,
        OTHER,
        UNKNOWN
    }

    /** What a server did with an attempt. */
    enum How {
        SERVED,
        /** Answered with an error; the request may have run in part. */
        ERROR,
        /** Rejected with proof that the request never ran. */
        TURNED_AWAY,
        /** The last byte of the request never arrived: the request can't have run. */
        CUT,
        /** The connection was closed, or the server was killed, after the last byte of the request. */
        RESET,
        /** Cancelled by the balancer. */
        CANCELLED;

        /** Whether the attempt may have run. */
        public boolean mayHaveRun() {
            return this != TURNED_AWAY && this != CUT;
        }
    }

    /**
     * An attempt of a caller at a balancer.
     *
     * @param first the id of the first attempt of the same call; the attempt's own id if it is the first
     * @param key the idempotency key; empty if there is none
     * @param sent when the last byte of the request was written
     * @param until the caller's deadline, as the request states it
     * @param answered when the last byte of the answer arrived
     * @param status the status of the answer; 0 if there was none
     */
    record ClientAttempt(
            double at,
            String caller,
            String balancer,
            String txn,
            String first,
            String serviceClass,
            String key,
            double sent,
            double until,
            double answered,
            End end,
            int status,
            Echo echo)
            implements Evidence {}

    /** A second answer to a request that was already answered. */
    record DuplicateAnswer(double at, String caller, String balancer, String txn) implements Evidence {}

    /**
     * An attempt at a server.
     *
     * @param balancer the balancer that sent the request
     * @param about the key that the caller sent with the request; empty if there is none
     * @param begun when the first byte of the request arrived
     * @param taken when the last byte of the request arrived
     */
    record ServerAttempt(
            double at,
            String server,
            String zone,
            int cell,
            String balancer,
            String txn,
            String key,
            String serviceClass,
            String about,
            double begun,
            double taken,
            How how)
            implements Evidence {}

    /** A balancer was notified of a server's state: up, draining or removed. */
    record ServerStateUpdate(double at, String balancer, String server, String state) implements Evidence {}

    /** A cold server was overloaded; {@code informed} is the share of its work from balancers that knew it was cold. */
    record ColdOverload(double at, String server, double informed) implements Evidence {}

    /** A balancer was killed or requested to end, so that its in-flight requests may be lost. */
    record PartyEnded(double at, String party) implements Evidence {}

    /** A balancer's own account of a request: shown in timelines, not used to check the rules. */
    record BalancerNote(double at, String balancer, String txn, String text) implements Evidence {}
}

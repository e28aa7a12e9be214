package sablehinge.tools.audit.judge;

/** What one party saw. Times are ms since 1970 on one machine's clock; NaN where something never happened. */
public sealed interface Evidence {

    /** When it was over, as the party saw it. */
    double at();

    /** How a caller's try ended. */
    enum End {
        /** With a complete answer. */
        ANSWERED,
        /** Its connection ended before anything of an answer had come. */
        BROKEN,
        /** Its connection ended amid an answer: the caller can tell that it is not complete. */
        PARTIAL,
        /** Nobody answered, and the caller's time was up. */
        SILENT,
        /** The caller went away of its own accord before its time was up. */
        LEFT,
        /** It was never written completely to a connection that was accepted. */
        UNREACHABLE
    }

    /** Whether the body of an answer is one that a server made for this request. */
    enum Echo {
        SAME,
        OTHER,
        UNKNOWN
    }

    /** What a server did with an attempt. */
    enum How {
        SERVED,
        /** Answered with a failure; some of it may have run. */
        ERROR,
        /** Rejected with proof that it never ran. */
        TURNED_AWAY,
        /** The request's last byte never came: it can't have run. */
        CUT,
        /** The connection was ended, or the server died, after the last byte. */
        RESET,
        /** Given up by the balancer. */
        CANCELLED;

        /** Whether the attempt may have run. */
        public boolean mayHaveRun() {
            return this != TURNED_AWAY && this != CUT;
        }
    }

    /**
     * A try of a caller at a balancer.
     *
     * @param first the id of the first try that it belongs to; its own for a first one
     * @param key its idempotency key; empty for none
     * @param sent when its last byte was written
     * @param until when its caller gives up, as the request says
     * @param answered when the answer's last byte had come
     * @param status of the answer; 0 for none
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

    /** An answer that came to a caller who had one already. */
    record DuplicateAnswer(double at, String caller, String balancer, String txn) implements Evidence {}

    /**
     * An attempt at a server.
     *
     * @param balancer who sent it
     * @param about the key that its caller sent with it; empty for none
     * @param begun when its first byte came
     * @param taken when its last byte came
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

    /** A cold server was pushed over; {@code informed} is the share of its work from balancers that knew it cold. */
    record ColdOverload(double at, String server, double informed) implements Evidence {}

    /** A party ended: a balancer was killed, or requested to end, so that what it had may be lost. */
    record PartyEnded(double at, String party) implements Evidence {}

    /** What a balancer says of a request, to explain and not to judge. */
    record BalancerNote(double at, String balancer, String txn, String text) implements Evidence {}
}

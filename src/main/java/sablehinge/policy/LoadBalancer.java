package sablehinge.policy;

import java.util.List;

/**
 * The decisions of one load balancer instance: events go in, actions come out.
 *
 * <p>An instance has no clock, thread or socket of its own. Its host calls one event method at a time, with the time of
 * the event, and executes what is requested by {@link Actions} during that call. All times are ms; the clock never goes
 * back and has no special zero. Same events, settings and seed give the same actions.
 */
public interface LoadBalancer {

    /** Begins; the first call, followed by a {@link Change#CACHED} list. */
    void start(double now, Settings settings, long seed);

    /**
     * An update of the upstreams. {@link Change#DELTA} brings changed entries only, {@link Change#FULL} and
     * {@link Change#CACHED} the complete list, {@link Change#FAILED} none: a call to the registry failed.
     */
    void upstreamsChanged(double now, Change change, List<Upstream> upstreams);

    /** A request has arrived; the instance now owes it exactly one final answer. */
    void request(double now, Request request);

    /**
     * Other settings hold for what arrives from now on; what has come keeps its own, and goes only to servers listed
     * under both. An object may be handed in again. A {@link Change#FULL} list follows if they differ.
     */
    default void adopt(double now, Settings settings) {
        throw new UnsupportedOperationException("the settings stay as they were at the start");
    }

    /** Nothing that came under such settings is left, and nothing goes back to them. */
    default void forget(double now, Settings settings) {}

    /** How an attempt ended; one such event for every {@link Actions#send}. */
    void attemptFinished(double now, Outcome outcome);

    /** An answer that is streamed, or not complete at once, has begun: the time-out of its attempt is over. */
    void streamStarted(double now, long requestId, int attempt, double elapsed);

    /** The client has left; nothing more is owed. Outcomes of running attempts still follow. */
    void clientGone(double now, long requestId);

    /** A timer set by {@link Actions#setTimer} is due. */
    void timer(double now, long token);

    /** The result of a health check; {@code report} is null where none came. */
    default void healthCheckResult(double now, long upstream, Result result, double elapsed, double[] report) {}

    /** A message from another instance of the same tier. */
    default void peerMessage(double now, int sender, byte[] payload) {}

    /** What an instance can ask of its host; all of it takes effect at the time of the event at hand. */
    interface Actions {

        /** Sends an attempt; those of a request are numbered 0, 1, 2 ... in the order of these calls. */
        void send(long requestId, long upstream, double timeout);

        /** Final answer: refused, and trying again is harmless. 0 gives no advice on when. */
        void refuse(long requestId, double retryAfter);

        /** Final answer: failed, with no promise about effects. */
        void fail(long requestId);

        /** Stops waiting for one attempt. */
        void cancel(long requestId, int attempt);

        /** Checks on an upstream. */
        void healthCheck(long upstream);

        /** Closes this instance's idle connections to an upstream. */
        void closeIdle(long upstream);

        /** Asks the registry once for the complete list. */
        void fetch();

        /** Subscribes to the registry's changes, or ends the subscription. */
        void watch(boolean on);

        /** Asks for a {@link LoadBalancer#timer} event at or after the given time. */
        void setTimer(long token, double at);

        /** Sends a message to one instance of this tier, or to all with {@link #ALL_PEERS}. */
        void tell(int peer, byte[] payload);

        /** Writes a line to the host's log. */
        void log(String text);

        /** Every other instance of the tier. */
        int ALL_PEERS = -1;
    }

    /** The kinds of updates about upstreams. */
    enum Change {
        DELTA,
        FULL,
        CACHED,
        FAILED
    }

    /** An upstream's state; a removed one is listed only in a {@link Change#DELTA}. */
    enum State {
        REMOVED,
        READY,
        DRAINING
    }

    /**
     * One upstream as listed.
     *
     * @param id opaque address
     * @param zone index of its zone
     * @param kind index of its machine type
     * @param cell the handful of upstreams that share which keys they have seen
     * @param weight relative size, see {@link Settings#weightKind}
     * @param startedAt when its process last started; 0 for long ago
     */
    record Upstream(long id, int zone, int kind, int cell, State state, double weight, double startedAt) {

        Upstream gone() {
            return new Upstream(id, zone, kind, cell, State.REMOVED, weight, startedAt);
        }
    }

    /**
     * A client's request.
     *
     * @param serviceClass index into {@link Settings#classes}
     * @param tenant index into {@link Settings#tenants}
     * @param key what ties requests together; 0 for none
     * @param deadline when the client gives this try up
     * @param cost expected work in ms of a standard core; 0 when not known
     * @param retry whether the client marked it as a repeat
     * @param write whether it changes something
     * @param attempts the most that it may have, where the limits allow more; 0 for as many as they do
     */
    record Request(
            long id,
            int serviceClass,
            int tenant,
            long key,
            double deadline,
            double cost,
            boolean retry,
            boolean write,
            int attempts) {}

    /** How an attempt or a health check ended. */
    enum Result {
        OK,
        ERROR,
        FULL,
        TIMEOUT,
        CONNECT_FAILED,
        RESET,
        CANCELLED,
        NOT_SENT;

        /** Whether this proves that the attempt never ran. */
        public boolean neverRan() {
            return this == FULL || this == CONNECT_FAILED || this == NOT_SENT;
        }
    }

    /**
     * The end of one attempt.
     *
     * @param closed whether the request is over; otherwise it is still owed its final answer
     * @param elapsed time since the attempt was sent
     * @param report the upstream's load report in the order of {@link Settings#reportFields}, or null
     */
    record Outcome(
            long requestId,
            int attempt,
            long upstream,
            Result result,
            boolean closed,
            double elapsed,
            double[] report) {}

    /** Whether a request of a class may run more than once. */
    enum Repeat {
        IDEMPOTENT,
        DEDUPLICATED,
        AT_MOST_ONCE
    }

    /** Which upstreams drop repeats of a request of a deduplicated class. */
    enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** How load reports come, if at all. */
    enum Reports {
        PIGGYBACK,
        PROBE,
        NONE
    }

    /** What an upstream's weight means. */
    enum WeightKind {
        NONE,
        NOMINAL,
        ROUGH,
        LIVE
    }

    /**
     * A class of requests.
     *
     * @param aim answered within this it earns its full value
     * @param aimStretch the aim grows by this many times the request's own work
     * @param deadline how long a client waits over all its tries
     * @param lateValue the share of the value left after the aim
     * @param memory how long repeats are dropped, from the first attempt that may have run
     * @param streamed whether answers are streams
     * @param inOrder whether requests of one key, over all such classes, take turns in order of arrival
     * @param zones the only zones it may be sent to; null where any will do, empty where none will
     * @param kinds the only machine types it may be sent to; null where any will do, empty where none will
     * @param crossing growth of l across zones beside what the site's price makes of it, as for large bodies
     */
    record ServiceClass(
            String name,
            double aim,
            double aimStretch,
            double deadline,
            double value,
            double lateValue,
            Repeat repeat,
            Group group,
            double memory,
            boolean streamed,
            boolean inOrder,
            List<Integer> zones,
            List<Integer> kinds,
            double crossing) {

        /** Whether placement allows an upstream for this class, at any attempt. */
        public boolean admits(Upstream upstream) {
            return (zones == null || zones.contains(upstream.zone()))
                    && (kinds == null || kinds.contains(upstream.kind()));
        }
    }

    /** A tenant, its share of the service and its quota in requests per second over all instances. */
    record Tenant(String name, double share, double quotaPerSecond) {}

    /**
     * What a site allows.
     *
     * @param cpuPerRequest microseconds of CPU for a request with its outcomes; 0 for no limit
     * @param cpuPerSecond microseconds of CPU for an instance in a second
     */
    record Limits(
            int maxAttempts,
            int maxOpen,
            boolean cancel,
            boolean parallel,
            boolean probes,
            boolean peers,
            boolean retryAfter,
            double maxRetryAfter,
            double connectTimeout,
            double connectionIdle,
            int streamsPerConnection,
            double cpuPerRequest,
            double cpuPerSecond) {}

    /**
     * The figures of the rules; see {@code docs/design.md}.
     *
     * @param orderSettle how long a key rests after an attempt that may still run was given up
     */
    record Rules(
            double answerGrace,
            double drainGrace,
            double askEvery,
            double startCapacity,
            double warmUp,
            double fallMultiple,
            double fallAfter,
            double orderSettle) {}

    /**
     * The weights of the parts of the result; a part that a site leaves out weighs 0.
     *
     * @param tail value counts in full only while at most the share {@code tailMiss} misses its aim; what is refused
     *     inside the aim is no miss
     * @param nines tenfold steps by which the unserved value lies below the total, full at {@code topNines}
     */
    record Goal(
            double exact,
            double worstWindow,
            double worstClass,
            double worstTenant,
            double tail,
            double tailMiss,
            double nines,
            double topNines) {}

    /** Points taken off the result, each for its share or rate. */
    record Prices(
            double crossZone,
            double healthCheck,
            double waste,
            double lateFail,
            double connection,
            double handshake,
            double peer,
            double registry) {}

    /**
     * The settings of an instance.
     *
     * @param position this instance's number among its siblings
     * @param siblings how many instances its tier has
     * @param tier the tier it sends to, 0 being the one that clients reach
     * @param subscribe whether the registry tells only those who ask
     * @param passesDeadline whether calls between tiers carry the time their caller has left
     * @param warmKeys whether an upstream that served a key lately serves it cheaper
     * @param valueByWork whether value counts per unit of work rather than per request
     * @param overShareValue the value of a request beyond its tenant's share, of its class's value
     */
    record Settings(
            int position,
            int siblings,
            int tier,
            int tiers,
            int zone,
            int zones,
            int kinds,
            boolean subscribe,
            boolean passesDeadline,
            boolean warmKeys,
            boolean retriesMarked,
            boolean valueByWork,
            double overShareValue,
            WeightKind weightKind,
            Reports reports,
            List<String> reportFields,
            List<ServiceClass> classes,
            List<Tenant> tenants,
            Limits limits,
            Rules rules,
            Goal goal,
            Prices prices) {}
}

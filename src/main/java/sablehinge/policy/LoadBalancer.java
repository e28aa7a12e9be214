package sablehinge.policy;

import java.util.List;

/**
 * The decisions of one load balancer instance: it receives events and requests actions.
 *
 * <p>An instance has no clock, thread or socket of its own. Its host calls one event method at a time, with the time of
 * the event, and executes the {@link Actions} requested during that call. All times are in ms; the clock is monotonic
 * with an arbitrary origin. The same events, settings and seed give the same actions.
 */
public interface LoadBalancer {

    /** Starts the instance; the first call, followed by a {@link Change#CACHED} list. */
    void start(double now, Settings settings, long seed);

    /**
     * An update of the upstreams. {@link Change#DELTA} contains changed entries only, {@link Change#FULL} and
     * {@link Change#CACHED} the complete list, {@link Change#FAILED} none, as a call to the registry failed.
     */
    void upstreamsChanged(double now, Change change, List<Upstream> upstreams);

    /** A request has arrived; the instance must give it exactly one final answer. */
    void request(double now, Request request);

    /**
     * Activates settings for the requests that arrive from now on. Earlier requests keep their own settings and go only
     * to servers that are listed in both versions. The same object may be activated again. A {@link Change#FULL} list
     * follows if the lists of servers differ.
     */
    default void adopt(double now, Settings settings) {
        throw new UnsupportedOperationException("this load balancer does not support a change of settings");
    }

    /** No request with these settings is left, and they will not be activated again. */
    default void forget(double now, Settings settings) {}

    /** How an attempt ended; one such event for every {@link Actions#send}. */
    void attemptFinished(double now, Outcome outcome);

    /** An answer that is streamed, or arrives in parts, has begun; the timeout of its attempt no longer applies. */
    void streamStarted(double now, long requestId, int attempt, double elapsed);

    /** The client has disconnected; no answer is needed. Outcomes of running attempts still follow. */
    void clientGone(double now, long requestId);

    /** A timer set by {@link Actions#setTimer} is due. */
    void timer(double now, long token);

    /** The result of a health check; {@code report} is null if there was none. */
    default void healthCheckResult(double now, long upstream, Result result, double elapsed, double[] report) {}

    /** A message from another instance of the same tier. */
    default void peerMessage(double now, int sender, byte[] payload) {}

    /** The actions that an instance can request from its host; they take effect at the time of the current event. */
    interface Actions {

        /** Sends an attempt; the attempts of a request are numbered 0, 1, 2 ... in the order of these calls. */
        void send(long requestId, long upstream, double timeout);

        /** Final answer: refused, and a retry is safe. A {@code retryAfter} of 0 gives no advice on when to retry. */
        void refuse(long requestId, double retryAfter);

        /** Final answer: failed; the request may have taken effect. */
        void fail(long requestId);

        /** Cancels one attempt. */
        void cancel(long requestId, int attempt);

        /** Sends a health check to an upstream. */
        void healthCheck(long upstream);

        /** Closes this instance's idle connections to an upstream. */
        void closeIdle(long upstream);

        /** Requests the complete list from the registry once. */
        void fetch();

        /** Starts or ends the subscription to changes in the registry. */
        void watch(boolean on);

        /** Requests a {@link LoadBalancer#timer} event at or after the given time. */
        void setTimer(long token, double at);

        /** Sends a message to one other instance of this tier, or to all of them with {@link #ALL_PEERS}. */
        void tell(int peer, byte[] payload);

        /** Writes a line to the log of the host. */
        void log(String text);

        /** Addresses every other instance of the tier. */
        int ALL_PEERS = -1;
    }

    /** The kinds of updates about upstreams. */
    enum Change {
        DELTA,
        FULL,
        CACHED,
        FAILED
    }

    /** State of an upstream; {@link #REMOVED} occurs only in a {@link Change#DELTA}. */
    enum State {
        REMOVED,
        READY,
        DRAINING
    }

    /**
     * An upstream in the list of the registry.
     *
     * @param id opaque address
     * @param zone index of its zone
     * @param kind index of its machine type
     * @param cell index of the small group of upstreams that share their record of seen keys
     * @param weight relative size, see {@link Settings#weightKind}
     * @param startedAt when its process last started; 0 if that was long ago
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
     * @param key groups related requests; 0 for none
     * @param deadline when the client abandons this request
     * @param cost expected work in ms of a standard core; 0 if unknown
     * @param retry whether the client marked it as a retry
     * @param write whether it modifies state
     * @param attempts upper bound of its attempts, below that of the limits; 0 for the bound of the limits
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

        /** Whether this result proves that the attempt never ran. */
        public boolean neverRan() {
            return this == FULL || this == CONNECT_FAILED || this == NOT_SENT;
        }
    }

    /**
     * The end of one attempt.
     *
     * @param closed whether the request is finished; otherwise it still needs its final answer
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

    /** Which upstreams discard duplicates of a request of a deduplicated class. */
    enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** How load reports are delivered, if at all. */
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
     * @param aim target latency; an answer within it has its full value
     * @param aimStretch the aim grows by this multiple of the request's own work
     * @param deadline how long a client waits in total, including its own retries
     * @param lateValue the share of the value that an answer after the aim has
     * @param memory how long duplicates are discarded, from the first attempt that may have run
     * @param streamed whether answers are streams
     * @param inOrder whether requests with the same key, over all such classes, run one at a time in order of arrival
     * @param zones the zones it may be sent to; null for any, empty for none
     * @param kinds the machine types it may be sent to; null for any, empty for none
     * @param crossing growth of the cost l across zones in addition to that from the site's price, as for large bodies
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

        /** Whether placement allows this class to be sent to an upstream. */
        public boolean admits(Upstream upstream) {
            return (zones == null || zones.contains(upstream.zone()))
                    && (kinds == null || kinds.contains(upstream.kind()));
        }
    }

    /** A tenant, its share of the service and its quota in requests per second over all instances. */
    record Tenant(String name, double share, double quotaPerSecond) {}

    /**
     * The limits of a site.
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
     * The parameters of the rules; see {@code docs/design.md}.
     *
     * @param orderSettle how long requests of a key wait after an abandoned attempt that may still run
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
     * The weights of the components of the score; a component that a site omits has weight 0.
     *
     * @param tail weight of the tail: the value counts in full only while at most the share {@code tailMiss} misses its
     *     aim; a request refused within the aim is no miss
     * @param nines weight of the number of tenfold steps by which the unserved value is below the total, full at
     *     {@code topNines}
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

    /** Penalties subtracted from the score, each multiplied by its share or rate. */
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
     * @param position index of this instance among its siblings
     * @param siblings number of instances in its tier
     * @param tier the tier it sends to; 0 is the one that clients reach
     * @param subscribe whether the registry sends updates only to subscribers
     * @param passesDeadline whether calls between tiers carry the remaining time of their caller
     * @param warmKeys whether an upstream that recently served a key serves it at a lower cost
     * @param valueByWork whether value counts per unit of work rather than per request
     * @param overShareValue the value of a request beyond its tenant's share, as a fraction of the value of its class
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

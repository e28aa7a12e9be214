package sablehinge.policy;

import sablehinge.policy.Call.Attempt;
import sablehinge.policy.LoadBalancer.Settings;

/**
 * The cost l of a server for a request: base + p * (1/s - 1), where base is its smoothed served latency, s its decaying
 * success share and p the aim of the class. Zones, connections and calls in flight increase it.
 */
final class ServerCost {

    /** Minimum s; keeps l finite, so that even a failed server is drawn occasionally. */
    private static final double MIN_SUCCESS_SHARE = 0.05;
    /** Growth of l for each of this instance's calls in flight at the server, which are served first. */
    private static final double IN_FLIGHT_GROWTH = 1.4;
    /** Ms added to l per ms that the oldest call at the server is overdue; detects a hang before the timeout. */
    private static final double OVERDUE_WEIGHT = 4;
    /** Growth of l across zones, times the square root of the price, so that an expensive crossing stays possible. */
    private static final double CROSS_ZONE_GROWTH = 400;
    /**
     * Exponent with which congestion at a server offsets the price of a crossing; the effect is small at half the aim.
     */
    private static final double CONGESTION_EXPONENT = 4;
    /**
     * Share of calls failed at a server that justifies a crossing; about the cost of a crossing relative to a call's
     * value.
     */
    private static final double ZONE_EXIT_FAILURE_SHARE = 0.4;
    /**
     * Upper bound of the factor for failed calls, so that the server still gets enough calls to detect its recovery.
     */
    private static final double MAX_ZONE_EXIT_FACTOR = 16;
    /** Calls that a server is assumed to serve concurrently; as many in flight are no congestion. */
    private static final double UNCONGESTED_CALLS = 4;
    /** Growth of l outside the subset without recent calls; shrinks as the number of calls per server grows. */
    private static final double OUTSIDE_SUBSET_GROWTH = 60;
    /** Growth of l outside the subset per unit of connection price, as a full mesh would fill all connection tables. */
    private static final double CONNECTION_PRICE_GROWTH = 200;
    /** Growth of l with the pressure of a class restricted to the server, for requests that may go elsewhere. */
    private static final double RELIEF_GROWTH = 40;
    /** Pressure added in that growth, so that it begins before any work is refused. */
    private static final double RELIEF_PRESSURE_OFFSET = 0.025;

    private ServerCost() {}

    /**
     * The server's l for this request.
     *
     * @param recentCallsPerServer recent calls of this instance per ready server
     * @param capacityShare share of its full capacity that the server is assumed to have, above 0 and at most 1
     */
    static double of(Server server, Call call, double recentCallsPerServer, double capacityShare, double now) {
        server.decay(now);
        double success = server.success(call.record.index);
        double l = server.relativeLatency() * call.record.latency.value();
        l += call.type.aim() * (1 / Math.max(MIN_SUCCESS_SHARE, success) - 1);
        // If crossing zones is expensive, an unhealthy server in the local zone would otherwise attract calls: it fails
        // them at once, so it has none in flight, while healthy servers appear busy. One or two failures, which can
        // happen at any server, do not justify a crossing.
        Settings settings = call.view.settings;
        double crossZoneGrowth = CROSS_ZONE_GROWTH * Math.sqrt(settings.prices().crossZone()) + call.type.crossing();
        l *= 1
                + crossZoneGrowth
                        * Math.min(
                                MAX_ZONE_EXIT_FACTOR,
                                Math.pow((1 - success) / ZONE_EXIT_FAILURE_SHARE, CONGESTION_EXPONENT));
        l *= 1 + IN_FLIGHT_GROWTH * server.inFlight.size();
        l += OVERDUE_WEIGHT * overdue(server, now);
        l *= 1 + crossZoneGrowth * Math.pow(expectedQueueLatency(server, call) / call.type.aim(), CONGESTION_EXPONENT);
        if (server.entry.zone() != settings.zone()) {
            l *= 1 + crossZoneGrowth;
        }
        if (!server.inSubset) {
            l *= 1
                    + OUTSIDE_SUBSET_GROWTH / Math.pow(1 + recentCallsPerServer, 2)
                    + CONNECTION_PRICE_GROWTH
                            * (settings.prices().connection()
                                    + settings.prices().handshake());
        }
        return addRelief(l, server, call) / capacityShare;
    }

    /** Time in ms for which the oldest call in flight at the server has been overdue. */
    private static double overdue(Server server, double now) {
        if (server.inFlight.isEmpty()) {
            return 0;
        }
        Attempt oldest = server.inFlight.peekFirst();
        return Math.max(0, now - oldest.sentAt - LatencyEstimate.slowAfter(oldest.call));
    }

    /**
     * Increases l where classes are restricted to the server and this request is not in their placement. Weights alone
     * equalize latencies, but only requests that may go elsewhere can make room for the restricted classes.
     */
    private static double addRelief(double l, Server server, Call call) {
        double raised = l;
        for (ClassRecord c : call.view.classes) {
            if (c.placementHead == c
                    && c != call.record.placementHead
                    && c.isPlacementRestricted()
                    && c.type.admits(server.entry)) {
                raised *= 1 + RELIEF_GROWTH * (RELIEF_PRESSURE_OFFSET + c.pressure);
            }
        }
        return raised;
    }

    /**
     * The expected latency of a call queued behind the calls in flight at the server, by Little's law: the service rate
     * follows from the served latencies and the number of calls in flight when they were sent. Without this term, the
     * price of crossing would keep calls in the local zone even while they queue until they are late, other zones are
     * idle and clients are refused. The term reacts as soon as calls queue up, before any of them is late, and falls as
     * soon as the queue is gone, whatever slowed the server down: a burst, a pause, an unhealthy core. It is harmful if
     * a call is worth less than a crossing costs, or if a server became faster and its statistics still show
     * congestion.
     */
    private static double expectedQueueLatency(Server server, Call call) {
        double perCall = server.relativeLatency()
                * LatencyEstimate.expected(call)
                / (1 + Math.max(UNCONGESTED_CALLS, server.meanInFlight()));
        return perCall * (1 + server.inFlight.size());
    }
}

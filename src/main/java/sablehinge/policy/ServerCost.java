package sablehinge.policy;

import sablehinge.policy.Call.Attempt;
import sablehinge.policy.LoadBalancer.Settings;

/**
 * The cost l of a server for a request: base + p * (1/s - 1), where base is its smoothed served latency, s its windowed
 * success share and p the class's aim; then what zones, connections and calls in flight add.
 */
final class ServerCost {

    /** Least s: keeps l finite, so that even a dead server is drawn now and then. */
    private static final double SUCCESS_FLOOR = 0.05;
    /** Growth of l for each own call in flight there: they will be served first. */
    private static final double IN_FLIGHT = 1.4;
    /** Ms added to l per ms that the oldest call there is overdue: a hang shows before it times out. */
    private static final double OVERDUE_WEIGHT = 4;
    /** Growth of l across zones, times the root of the price: a dear crossing must still be possible. */
    private static final double CROSSING = 400;
    /** Power with which a crowd at a server offsets the price of crossing: little at half the aim. */
    private static final double CROWD_POWER = 4;
    /** Share of calls lost at a server that justifies a crossing, about what a crossing costs of a call. */
    private static final double ZONE_EXIT_RATIO = 0.4;
    /** Bound of the factor for that: its few calls must still show when it has recovered. */
    private static final double MAX_LEAVING = 16;
    /** Own calls that a server takes beside each other; so few in flight are no crowd. */
    private static final double ROOM = 4;
    /** Growth of l outside the subset while there is no evidence; it shrinks as servers become known. */
    private static final double OUTSIDE = 60;
    /** Growth of l outside it for each point of price on connections: all to all fills every table. */
    private static final double CONNECTION = 200;
    /** Growth of a server's l with the pressure of a class bound there, for those that may go elsewhere. */
    private static final double RELIEF = 40;
    /** Pressure that is added in that growth: it begins before any work is refused. */
    private static final double RELIEF_PRESSURE = 0.025;

    private ServerCost() {}

    /**
     * The server's l for this request.
     *
     * @param evidence own calls of late for each ready server
     * @param warmth share of its capacity that the server is trusted to have, above 0 and at most 1
     */
    static double of(Server server, Call call, double evidence, double warmth, double now) {
        server.fade(now);
        double success = server.success(call.record.index);
        double l = server.base() * call.record.latency.value();
        l += call.type.aim() * (1 / Math.max(SUCCESS_FLOOR, success) - 1);
        // Where to leave a zone is dear, an unhealthy server at home would else keep the calls that it loses: it
        // fails them at once, so none are in flight there, while those that serve seem busy. A failure or
        // two, which may befall any server, does not yet justify a crossing.
        Settings settings = call.view.settings;
        double crossing = CROSSING * Math.sqrt(settings.prices().crossZone()) + call.type.crossing();
        l *= 1 + crossing * Math.min(MAX_LEAVING, Math.pow((1 - success) / ZONE_EXIT_RATIO, CROWD_POWER));
        l *= 1 + IN_FLIGHT * server.out.size();
        l += OVERDUE_WEIGHT * overdue(server, now);
        l *= 1 + crossing * Math.pow(crowding(server, call) / call.type.aim(), CROWD_POWER);
        if (server.listed.zone() != settings.zone()) {
            l *= 1 + crossing;
        }
        if (!server.preferred) {
            l *= 1
                    + OUTSIDE / Math.pow(1 + evidence, 2)
                    + CONNECTION
                            * (settings.prices().connection()
                                    + settings.prices().handshake());
        }
        return relieve(l, server, call) / warmth;
    }

    /** Ms for which the oldest call in flight there has been overdue. */
    private static double overdue(Server server, double now) {
        if (server.out.isEmpty()) {
            return 0;
        }
        Attempt oldest = server.out.peekFirst();
        return Math.max(0, now - oldest.sentAt - LatencyEstimate.slowAfter(oldest.call));
    }

    /** Weights even out latencies, yet only requests that may go elsewhere can make room for those bound there. */
    private static double relieve(double l, Server server, Call call) {
        double raised = l;
        for (ClassRecord c : call.view.classes) {
            if (c.leader == c && c != call.record.leader && c.isBound() && c.type.admits(server.listed)) {
                raised *= 1 + RELIEF * (RELIEF_PRESSURE + c.pressure);
            }
        }
        return raised;
    }

    /**
     * The latency to expect behind the calls in flight there, by Little's law: served latencies and the calls in flight
     * when they were sent tell at what rate the server works. The price of crossing keeps calls at home even where they
     * queue until they are late, while other zones stand idle and clients are refused. That shows here as soon as the
     * calls gather, before any comes back late, and is over as soon as they are gone, whatever made the server slow: a
     * burst, a pause, an unhealthy core. Does harm where one call has less value than a crossing costs, or where a
     * server got faster and its record tells of a jam.
     */
    private static double crowding(Server server, Call call) {
        double each = server.base() * LatencyEstimate.expected(call) / (1 + Math.max(ROOM, server.crowd()));
        return each * (1 + server.out.size());
    }
}

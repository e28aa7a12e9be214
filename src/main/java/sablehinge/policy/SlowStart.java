package sablehinge.policy;

import java.util.List;
import sablehinge.policy.LoadBalancer.Rules;
import sablehinge.policy.LoadBalancer.Upstream;

/** Rule 4: a newly started server gets a share of the traffic that rises during its warm-up. Times are in ms. */
final class SlowStart {

    /** Share of the allowed multiple of its capacity that the send budget of a warming server uses. */
    private static final double ALLOWED_MULTIPLE_SHARE = 0.3;

    /** Time until which some listed server may be warming up. */
    private double warmUpEndsAt = Double.NEGATIVE_INFINITY;

    /** Handles a newly listed server. */
    void onListed(Upstream upstream, Rules rules) {
        if (upstream.startedAt() != 0) {
            warmUpEndsAt = Math.max(warmUpEndsAt, upstream.startedAt() + rules.warmUp());
        }
    }

    /** The share of its full capacity that a server is assumed to have; rises linearly over the warm-up. */
    static double capacityShare(Server server, Rules rules, double now) {
        double age = now - server.entry.startedAt();
        if (server.entry.startedAt() == 0 || age >= rules.warmUp()) {
            return 1;
        }
        double startCapacity = rules.startCapacity();
        return startCapacity + (1 - startCapacity) * Math.max(0, age) / rules.warmUp();
    }

    /** Whether a server is fully warmed up or has budget for a send. */
    static boolean maySend(Server server, Rules rules, double now) {
        return server.warmUpBudget >= 1 || capacityShare(server, rules, now) >= 1;
    }

    /** Charges a send to the budget of a warming server. */
    static void onSend(Server server, Rules rules, double now) {
        if (capacityShare(server, rules, now) < 1) {
            server.warmUpBudget -= 1;
        }
    }

    /**
     * Adds to the budgets of the warming servers eligible for a request: each gets its capacity's share of the traffic
     * times the multiple that the rule allows, less a margin. The shares need no history, and the sends of all siblings
     * add up to the limit. Requests are counted rather than sends, so that a fleet in which all servers warm up can
     * start; assuming at least half of the full capacity protects such a fleet from overload.
     */
    void addSendBudget(Call call, Rules rules, double now) {
        if (now >= warmUpEndsAt) {
            return;
        }
        List<Server> eligible = call.view.ready.stream()
                .filter(server -> call.type.admits(server.entry))
                .toList();
        double totalCapacity = eligible.stream()
                .mapToDouble(server -> capacityShare(server, rules, now))
                .sum();
        double sendsPerCapacity = Math.min(1, ALLOWED_MULTIPLE_SHARE * rules.fallMultiple());
        sendsPerCapacity /= Math.max(totalCapacity, eligible.size() / 2.0);
        for (Server server : eligible) {
            server.warmUpBudget =
                    Math.min(1, server.warmUpBudget + sendsPerCapacity * capacityShare(server, rules, now));
        }
    }
}

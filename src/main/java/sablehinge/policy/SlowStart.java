package sablehinge.policy;

import java.util.List;
import sablehinge.policy.LoadBalancer.Rules;
import sablehinge.policy.LoadBalancer.Upstream;

/** Rule 4: servers that have just started get a part of the traffic that rises with their warmth. Times are ms. */
final class SlowStart {

    /** Share of the allowed multiple of a warming server's capacity that its send budget uses. */
    private static final double MARGIN = 0.3;

    /** Until when a server that is listed may be warming up. */
    private double until = Double.NEGATIVE_INFINITY;

    /** A server has been listed that started at {@link Upstream#startedAt}. */
    void onListed(Upstream upstream, Rules rules) {
        if (upstream.startedAt() != 0) {
            until = Math.max(until, upstream.startedAt() + rules.warmUp());
        }
    }

    /** The share of its capacity that a server can be trusted to have: a linear slow start over the warm-up. */
    static double warmth(Server server, Rules rules, double now) {
        double age = now - server.listed.startedAt();
        if (server.listed.startedAt() == 0 || age >= rules.warmUp()) {
            return 1;
        }
        double from = rules.startCapacity();
        return from + (1 - from) * Math.max(0, age) / rules.warmUp();
    }

    /** Whether a server is warm, or has earned a send. */
    static boolean maySend(Server server, Rules rules, double now) {
        return server.warmUpBudget >= 1 || warmth(server, rules, now) >= 1;
    }

    /** A request is sent to a server. */
    static void onSend(Server server, Rules rules, double now) {
        if (warmth(server, rules, now) < 1) {
            server.warmUpBudget -= 1;
        }
    }

    /**
     * Every request earns the warming servers open to it a part of a call: their warmth's share of the traffic times
     * what the rule allows, less a margin. Shares need no history and add up over siblings that do alike. Counting
     * requests, not sends, lets a fleet of which all servers warm up begin; the half that is taken as warm at least
     * keeps it from being pushed over.
     */
    void earn(Call call, Rules rules, double now) {
        if (now >= until) {
            return;
        }
        List<Server> open = call.view.ready.stream()
                .filter(server -> call.type.admits(server.listed))
                .toList();
        double warm =
                open.stream().mapToDouble(server -> warmth(server, rules, now)).sum();
        double part = Math.min(1, MARGIN * rules.fallMultiple());
        part /= Math.max(warm, open.size() / 2.0);
        for (Server server : open) {
            server.warmUpBudget = Math.min(1, server.warmUpBudget + part * warmth(server, rules, now));
        }
    }
}

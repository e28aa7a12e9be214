package sablehinge.policy;

import sablehinge.policy.Call.Attempt;
import sablehinge.policy.LoadBalancer.Group;
import sablehinge.policy.LoadBalancer.Limits;
import sablehinge.policy.LoadBalancer.Repeat;
import sablehinge.policy.LoadBalancer.ServiceClass;
import sablehinge.policy.LoadBalancer.Upstream;

/** Decides, from the attempts made so far, whether a request may be sent again and whether it may be refused. */
final class AttemptRules {

    private AttemptRules() {}

    /**
     * Whether the next attempt may go to a server. Rule 6: placement restricts the servers of a class. Rule 2: after an
     * attempt that may have run, a deduplicated request stays within its group and memory, and an at-most-once request
     * is not sent again.
     */
    static boolean mayGoTo(Call call, Server server, double now) {
        Limits limits = call.limits();
        if (call.attempts.size() >= call.maxAttempts
                || call.running > 0 && !limits.parallel()
                || !call.type.admits(server.entry)) {
            return false;
        }
        Attempt first = call.firstMaybeRun();
        if (first == null || call.type.repeat() == Repeat.IDEMPOTENT) {
            return true;
        }
        return call.type.repeat() == Repeat.DEDUPLICATED
                && now < first.sentAt + call.type.memory()
                && sharesGroup(call.type.group(), first.server.entry, server.entry);
    }

    private static boolean sharesGroup(Group group, Upstream first, Upstream second) {
        return switch (group) {
            case ALL -> true;
            case ZONE -> first.zone() == second.zone();
            default -> first.cell() == second.cell();
        };
    }

    /** Rule 1: whether the client can safely retry the request if it is refused. */
    static boolean mayRefuse(Call call) {
        ServiceClass type = call.type;
        return type.repeat() == Repeat.IDEMPOTENT
                || call.firstMaybeRun() == null
                || type.repeat() == Repeat.DEDUPLICATED && type.group() == Group.ALL;
    }
}

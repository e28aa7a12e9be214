package sablehinge.policy;

import sablehinge.policy.Call.Attempt;
import sablehinge.policy.LoadBalancer.Group;
import sablehinge.policy.LoadBalancer.Limits;
import sablehinge.policy.LoadBalancer.Repeat;
import sablehinge.policy.LoadBalancer.ServiceClass;
import sablehinge.policy.LoadBalancer.Upstream;

/** What a request may do next after the attempts that it has had. */
final class AttemptRules {

    private AttemptRules() {}

    /** Rules 6 and 2: placement; an attempt that may have run ties a request to its group, or ends it. */
    static boolean mayGoTo(Call call, Server server, double now) {
        Limits limits = call.limits();
        if (call.attempts.size() >= call.most
                || call.running > 0 && !limits.parallel()
                || !call.type.admits(server.listed)) {
            return false;
        }
        Attempt first = call.firstMaybeRun();
        if (first == null || call.type.repeat() == Repeat.IDEMPOTENT) {
            return true;
        }
        return call.type.repeat() == Repeat.DEDUPLICATED
                && now < first.sentAt + call.type.memory()
                && sharesGroup(call.type.group(), first.server.listed, server.listed);
    }

    private static boolean sharesGroup(Group group, Upstream first, Upstream second) {
        return switch (group) {
            case ALL -> true;
            case ZONE -> first.zone() == second.zone();
            default -> first.cell() == second.cell();
        };
    }

    /** Rule 1: whether a client that is refused may try again without harm. */
    static boolean mayRefuse(Call call) {
        ServiceClass type = call.type;
        return type.repeat() == Repeat.IDEMPOTENT
                || call.firstMaybeRun() == null
                || type.repeat() == Repeat.DEDUPLICATED && type.group() == Group.ALL;
    }
}

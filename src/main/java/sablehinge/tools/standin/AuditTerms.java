package sablehinge.tools.standin;

import sablehinge.policy.LoadBalancer;
import sablehinge.policy.LoadBalancer.Repeat;
import sablehinge.tools.audit.judge.AuditRules.ClassTerms;
import sablehinge.tools.audit.judge.AuditRules.Effect;
import sablehinge.tools.audit.judge.AuditRules.Group;

/** What the audit holds a class of requests to, from the terms that balancers have for it. */
public final class AuditTerms {

    private AuditTerms() {}

    /**
     * The audit's terms of a class.
     *
     * @param window in ms, for how long a repeat is recognized
     */
    public static ClassTerms of(Repeat repeat, LoadBalancer.Group group, double window) {
        return new ClassTerms(effect(repeat), Group.valueOf(group.name()), window);
    }

    private static Effect effect(Repeat repeat) {
        return switch (repeat) {
            case IDEMPOTENT -> Effect.SAFE;
            case DEDUPLICATED -> Effect.KEYED;
            case AT_MOST_ONCE -> Effect.UNSAFE;
        };
    }
}

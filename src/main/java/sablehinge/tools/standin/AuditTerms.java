package sablehinge.tools.standin;

import sablehinge.policy.LoadBalancer;
import sablehinge.policy.LoadBalancer.Repeat;
import sablehinge.tools.audit.judge.AuditRules.ClassTerms;
import sablehinge.tools.audit.judge.AuditRules.Effect;
import sablehinge.tools.audit.judge.AuditRules.Group;

/** Converts the terms of a request class from those of balancers to those of the audit. */
public final class AuditTerms {

    private AuditTerms() {}

    /**
     * Returns the terms of a class for the audit.
     *
     * @param window how long a repeated key is recognized, in ms
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

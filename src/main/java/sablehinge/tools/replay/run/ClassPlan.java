package sablehinge.tools.replay.run;

import sablehinge.tools.audit.judge.AuditRules.ClassTerms;
import sablehinge.tools.audit.judge.AuditRules.Effect;
import sablehinge.tools.audit.judge.AuditRules.Group;
import sablehinge.tools.replay.schedule.ReplayClient.Repeat;

/**
 * How requests of a class are sent. Times in ms.
 *
 * @param aim an answer by then is in time
 * @param deadline how long a client waits in all
 */
public record ClassPlan(ClassTerms terms, double aim, double deadline) {

    /** A class of which nothing is known but whether its requests may run twice. */
    public static ClassPlan unknown(Effect effect) {
        return new ClassPlan(new ClassTerms(effect, Group.ALL, 0), 1_000, 2_500);
    }

    /** Whether a client may try again what may have run. */
    Repeat repeat() {
        return switch (terms.effect()) {
            case SAFE -> Repeat.ALWAYS;
            // Another balancer may send it to another group, which knows nothing of the first try.
            case KEYED -> terms.group() == Group.ALL ? Repeat.WITHIN_WINDOW : Repeat.NEVER;
            case UNSAFE -> Repeat.NEVER;
        };
    }
}

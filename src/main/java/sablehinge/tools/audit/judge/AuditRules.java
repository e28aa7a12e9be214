package sablehinge.tools.audit.judge;

import java.util.Map;

/**
 * Parameters of the four rules. All times are in milliseconds.
 *
 * @param classes the request classes, by name
 * @param answerGrace how long after the caller's deadline an answer may still arrive
 * @param drainGrace how long a balancer may still send to a server after it was notified that the server is draining or
 *     removed
 * @param slack tolerance between the timestamps of two parties on a busy machine
 * @param hold how long after the last evidence of a request further evidence of the request may arrive
 * @param callersComplete whether the records of all callers are present
 * @param serversComplete whether the records of all servers are present
 */
public record AuditRules(
        Map<String, ClassTerms> classes,
        double answerGrace,
        double drainGrace,
        double slack,
        double hold,
        boolean callersComplete,
        boolean serversComplete) {

    /** Whether a request may run more than once. */
    public enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** The servers among which a repeated keyed request is deduplicated. */
    public enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** A request class; the group and the window, in milliseconds, apply to keyed classes only. */
    public record ClassTerms(Effect effect, Group group, double window) {}
}

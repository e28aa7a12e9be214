package sablehinge.tools.audit.judge;

import java.util.Map;

/**
 * By what the four rules are judged. Times in ms.
 *
 * @param classes by name
 * @param answerGrace after the caller's time is up, by when an answer must have come
 * @param drainGrace after a balancer was notified that a server drains or is gone, until when it may send
 * @param slack for the stamps of two parties on a busy machine
 * @param hold for how long after its last trace a request may leave another
 * @param callersComplete whether every caller's record is there
 * @param serversComplete likewise every server's
 */
public record AuditRules(
        Map<String, ClassTerms> classes,
        double answerGrace,
        double drainGrace,
        double slack,
        double hold,
        boolean callersComplete,
        boolean serversComplete) {

    /** May it run again? */
    public enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Who drops a repeat of a keyed request. */
    public enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** A class; the group and the window, in ms, count for keyed ones only. */
    public record ClassTerms(Effect effect, Group group, double window) {}
}

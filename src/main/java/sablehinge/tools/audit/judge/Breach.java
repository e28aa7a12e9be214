package sablehinge.tools.audit.judge;

import java.util.List;

/**
 * A breach of a rule.
 *
 * @param txn the request's id, or the server's name if the breach concerns a server
 * @param what a sentence that describes the breach
 * @param timeline the evidence of all parties, ordered by time
 */
public record Breach(Rule rule, String txn, String what, List<Evidence> timeline) {

    /** The four rules. */
    public enum Rule {
        ANSWER,
        EFFECT,
        DRAIN,
        COLD
    }
}

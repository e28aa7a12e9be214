package sablehinge.tools.audit.judge;

import java.util.List;

/**
 * A broken rule.
 *
 * @param txn the request, or the server where it is about one
 * @param what happened, in a sentence
 * @param timeline what all parties saw of it, in order
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

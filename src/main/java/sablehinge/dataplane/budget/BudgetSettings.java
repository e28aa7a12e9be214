package sablehinge.dataplane.budget;

/**
 * What an operator states for one hop.
 *
 * @param attempts the most attempts at the last tier for one client's request, whatever a caller says
 * @param remaining the most time in ms, likewise
 * @param value the most value, likewise
 * @param unknown attempts for a call that has no readable budget where one is expected
 * @param calls the most calls that one server makes for one request; first attempts of these come before retries
 * @param need attempts at the last tier that one attempt here takes without any retry at the most: 1 at the last tier,
 *     elsewhere the product of the calls of the tiers below
 * @param last whether an attempt here is one at the last tier
 * @param margin time in ms that is kept for an answer to travel back over this hop
 * @param wire time in ms that a call takes on the wire to the next hop
 * @param kept share of a grant that is kept for another attempt here while one is out, 0 to below 1
 * @param reentries how often a call may come back to a service that it has passed; 0 where that is a loop
 * @param attemptBudgets grants that are remembered at most
 */
public record BudgetSettings(
        int attempts,
        double remaining,
        double value,
        int unknown,
        int calls,
        int need,
        boolean last,
        double margin,
        double wire,
        double kept,
        int reentries,
        int attemptBudgets) {

    /** Throws {@link IllegalArgumentException} for what is out of range. */
    public BudgetSettings {
        if (attempts < 1
                || attempts > Budget.MAX_ATTEMPTS
                || unknown < 0
                || unknown > attempts
                || calls < 1
                || need < 1
                || last && need > 1
                || !(remaining > 0)
                || !(value >= 0)
                || !(margin >= 0)
                || !(wire >= 0)
                || !(kept >= 0 && kept < 1)
                || reentries < 0
                || attemptBudgets < 1) {
            throw new IllegalArgumentException("terms of a budget out of range");
        }
    }
}

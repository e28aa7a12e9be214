package sablehinge.dataplane.budget;

/**
 * The operator's budget settings for one hop.
 *
 * @param maxAttempts maximum number of attempts at the last tier for one client request, regardless of the caller's
 *     value
 * @param maxRemainingMs maximum remaining time in milliseconds, regardless of the caller's value
 * @param maxValue maximum value of a call, regardless of the caller's value
 * @param attemptsWithoutBudget number of attempts for a call without a readable budget where one is expected
 * @param maxCallsPerRequest maximum number of calls that one server makes for one request; their first attempts take
 *     precedence over retries
 * @param attemptsPerGrant maximum number of attempts at the last tier that one attempt at this hop needs without
 *     retries: 1 at the last tier, otherwise the product of the calls of the tiers below
 * @param lastTier whether attempts at this hop are attempts at the last tier
 * @param marginMs time in milliseconds reserved for the answer to travel back over this hop
 * @param wireMs network time in milliseconds of a call to the next hop
 * @param retryReserveShare share of the remaining budget that is reserved for a retry at this hop while an attempt is
 *     in flight, 0 to below 1
 * @param maxReentries how often a call may return to a service on its path; 0 if that is a loop
 * @param maxAttemptBudgets maximum number of remembered grants
 */
public record BudgetSettings(
        int maxAttempts,
        double maxRemainingMs,
        double maxValue,
        int attemptsWithoutBudget,
        int maxCallsPerRequest,
        int attemptsPerGrant,
        boolean lastTier,
        double marginMs,
        double wireMs,
        double retryReserveShare,
        int maxReentries,
        int maxAttemptBudgets) {

    /** Throws {@link IllegalArgumentException} if a value is out of range. */
    public BudgetSettings {
        if (maxAttempts < 1
                || maxAttempts > Budget.MAX_ATTEMPTS
                || attemptsWithoutBudget < 0
                || attemptsWithoutBudget > maxAttempts
                || maxCallsPerRequest < 1
                || attemptsPerGrant < 1
                || lastTier && attemptsPerGrant > 1
                || !(maxRemainingMs > 0)
                || !(maxValue >= 0)
                || !(marginMs >= 0)
                || !(wireMs >= 0)
                || !(retryReserveShare >= 0 && retryReserveShare < 1)
                || maxReentries < 0
                || maxAttemptBudgets < 1) {
            throw new IllegalArgumentException("budget settings out of range");
        }
    }
}

package sablehinge.gateway.rollout;

import java.util.Locale;
import sablehinge.gateway.rollout.OutcomeCounts.Outcome;

/**
 * Detects that the share of responses with one outcome has risen above its bound since a change. To avoid a decision on
 * a few responses, the lower bound of the Wilson score interval (E. B. Wilson, JASA 22, 1927) must exceed the bound,
 * over a minimum number of responses, at several consecutive checks that each saw new responses.
 *
 * <p>A fault with another cause that begins together with the change rolls the change back without need, which is the
 * cheaper error.
 */
public final class ErrorRateGuard {

    /** Standard deviations of the interval: the true share lies below the lower bound one time in 200. */
    private static final double Z_SCORE = 2.576;
    /** Consecutive checks that must find the share above the bound. */
    static final int REQUIRED_CHECKS = 3;
    /** The window of the share. It is short so that a fault late in the trial is not diluted. */
    private static final int WINDOW_SECONDS = 10;

    private final Outcome outcome;
    private final double maxShare;
    private final double baselineShare;
    private final int minCount;
    private int consecutiveChecks;
    private long lastTotal;

    /**
     * Creates a guard for one outcome.
     *
     * @param baselineShare the share before the change, 0 to 1
     * @param maxRise the rise of the share that is tolerated, 0 to 1
     * @param minCount responses below which no decision is made
     */
    public ErrorRateGuard(Outcome outcome, double baselineShare, double maxRise, int minCount) {
        this.outcome = outcome;
        this.baselineShare = baselineShare;
        this.maxShare = baselineShare + maxRise;
        this.minCount = minCount;
    }

    /** Checks the responses of the changed configuration; returns the reason to roll it back, or null. */
    public String check(double nowMs, OutcomeCounts counts) {
        long total = counts.total(nowMs, WINDOW_SECONDS);
        if (total == lastTotal) {
            return null;
        }
        lastTotal = total;
        long matching = counts.count(nowMs, WINDOW_SECONDS, outcome);
        consecutiveChecks = total >= minCount && lowerBound(matching, total) > maxShare ? consecutiveChecks + 1 : 0;
        return consecutiveChecks < REQUIRED_CHECKS
                ? null
                : String.format(
                        Locale.ROOT,
                        "%s answers rose from %.1f%% to %.1f%% (%d of %d)",
                        outcome.name().toLowerCase(Locale.ROOT),
                        100 * baselineShare,
                        100.0 * matching / total,
                        matching,
                        total);
    }

    /** The lower bound of the Wilson score interval of a share. */
    static double lowerBound(long hits, long total) {
        if (total == 0) {
            return 0;
        }
        double share = (double) hits / total;
        double zSquaredOverN = Z_SCORE * Z_SCORE / total;
        return (share + zSquaredOverN / 2 - Z_SCORE * Math.sqrt((share * (1 - share) + zSquaredOverN / 4) / total))
                / (1 + zSquaredOverN);
    }
}

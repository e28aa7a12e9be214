package sablehinge.gateway.rollout;

import java.util.Locale;
import sablehinge.gateway.rollout.OutcomeShares.Outcome;

/**
 * Whether a share of answers has risen over a bound against what it was before a change. A few answers prove nothing:
 * the lower end of the Wilson score interval (E. B. Wilson, JASA 22, 1927) must lie over the bound, over at least a
 * stated count, at several checks in a row that each saw new answers.
 *
 * <p>Does harm where a fault of another cause begins with a change: it is then undone for nothing, which is the cheaper
 * error.
 */
public final class ErrorRateGuard {

    /** Standard deviations of the interval: one time in 200 a true share lies below its lower end. */
    private static final double Z = 2.576;
    /** Checks in a row that must agree. */
    static final int CHECKS = 3;
    /** Seconds over which the share is taken: what goes wrong late must show too. */
    private static final int WINDOW = 10;

    private final Outcome outcome;
    private final double bound;
    private final double before;
    private final int leastCount;
    private int agreed;
    private long seen;

    /**
     * A guard over one outcome.
     *
     * @param before the share before the change, 0 to 1
     * @param rise by how much it may rise, 0 to 1
     * @param leastCount answers below which nothing is proved
     */
    public ErrorRateGuard(Outcome outcome, double before, double rise, int leastCount) {
        this.outcome = outcome;
        this.before = before;
        this.bound = before + rise;
        this.leastCount = leastCount;
    }

    /** Looks at the answers that the changed configuration gave; the reason to undo it, or null. */
    public String check(double now, OutcomeShares shares) {
        long all = shares.all(now, WINDOW);
        if (all == seen) {
            return null;
        }
        seen = all;
        long bad = shares.of(now, WINDOW, outcome);
        agreed = all >= leastCount && lowerEnd(bad, all) > bound ? agreed + 1 : 0;
        return agreed < CHECKS
                ? null
                : String.format(
                        Locale.ROOT,
                        "%s answers rose from %.1f%% to %.1f%% (%d of %d)",
                        outcome.name().toLowerCase(Locale.ROOT),
                        100 * before,
                        100.0 * bad / all,
                        bad,
                        all);
    }

    /** The lower end of the Wilson score interval of a share. */
    static double lowerEnd(long hits, long all) {
        if (all == 0) {
            return 0;
        }
        double share = (double) hits / all;
        double zz = Z * Z / all;
        return (share + zz / 2 - Z * Math.sqrt((share * (1 - share) + zz / 4) / all)) / (1 + zz);
    }
}

package sablehinge.reservoir;

/**
 * When a disk that refuses is tried again, and which of its refusals are worth a line of the log. It decides
 * only; {@code now} is a steady clock in ms.
 */
final class Patience {

    /** The pause after the first refusal, ms; each is twice the one before. */
    static final double FIRST = 10;
    /** The longest pause, ms: so much later than the disk is well again, at most, it is found to be. */
    static final double MOST = 640;
    /** Between two lines while the code stays, and while it changes, ms. */
    static final double SAME = 60_000;
    static final double OTHER = 5_000;

    private int refusals;
    private double since;
    private double told;
    private StoreException.Code code;

    /**
     * The disk has refused.
     *
     * @return whether it is worth a line
     */
    boolean refused(double now, StoreException.Code why) {
        boolean tells = refusals == 0 || now - told >= (why == code ? SAME : OTHER);
        if (refusals == 0) {
            since = now;
        }
        refusals++;
        if (tells) {
            told = now;
            code = why;
        }
        return tells;
    }

    /** How long to wait after the last refusal, ms. */
    double pause() {
        return Math.min(MOST, FIRST * (1L << Math.min(16, refusals - 1)));
    }

    /** The disk has taken a write: what comes next is a first refusal again. */
    void well() {
        refusals = 0;
    }

    /** Refusals in a row; 0 while the disk is well. */
    int refusals() {
        return refusals;
    }

    /** How long the disk has been refusing, ms. */
    double lasts(double now) {
        return refusals == 0 ? 0 : now - since;
    }
}

package sablehinge.controlplane.node;

/**
 * When a disk that refuses is tried again, and which of its refusals are worth a line of the log. It decides only;
 * {@code now} is a steady clock in ms.
 */
final class RetryBackoff {

    /** The pause after the first refusal, ms; each is twice the one before. */
    static final double FIRST = 10;
    /** The longest pause, ms: so much later than the disk is well again, at most, it is found to be. */
    static final double MOST = 640;
    /** Between two lines while the code stays, ms. */
    static final double SAME = 60_000;
    /** Between two lines whatever has changed, ms. */
    static final double OTHER = 5_000;

    private int refusals;
    private double since;
    private double toldAt = Double.NEGATIVE_INFINITY;
    /** Whether a line told of these refusals. */
    private boolean told;

    private StoreException.Code code;

    /**
     * The disk has refused.
     *
     * @return whether it is worth a line
     */
    boolean refused(double now, StoreException.Code why) {
        if (refusals == 0) {
            since = now;
        }
        refusals++;
        boolean tells = now - toldAt >= (told && why == code ? SAME : OTHER);
        if (tells) {
            toldAt = now;
            told = true;
            code = why;
        }
        return tells;
    }

    /** How long to wait after the last refusal, ms. */
    double pause() {
        return Math.min(MOST, FIRST * (1L << Math.min(16, refusals - 1)));
    }

    /**
     * The disk has taken all that waited: what comes next is a first refusal again.
     *
     * @return whether it is worth a line, as the refusals were
     */
    boolean well() {
        boolean tells = told;
        refusals = 0;
        told = false;
        return tells;
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

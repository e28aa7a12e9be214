package sablehinge.dataplane.budget;

/**
 * Tells how long a call may have lain unread because the process stood still, so that a pause makes no time: by a tick
 * that ought to come every so often, and the clock that goes on meanwhile.
 */
public final class PauseDetector {

    /** What is read so soon after a late tick had been waiting as long as the tick. */
    private static final double READ_AFTER_MS = 5;

    private final double period;
    private double last;
    private double late;

    /** Ticks are due every so many ms, the first one from the given time on. */
    public PauseDetector(double period, double now) {
        this.period = period;
        last = now;
    }

    /** A tick has come. */
    public void tick(double now) {
        late = over(now);
        last = now;
    }

    /** How long, in ms, what is read now may have waited for it; 0 while all goes on. */
    public double waitedMs(double now) {
        return now - last <= READ_AFTER_MS ? Math.max(late, over(now)) : over(now);
    }

    /** Ticks may be as late again as they are apart without anybody standing still. */
    private double over(double now) {
        double gap = now - last;
        return gap > 2 * period ? gap - period : 0;
    }
}

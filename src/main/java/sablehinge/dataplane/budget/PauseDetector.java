package sablehinge.dataplane.budget;

/**
 * Estimates how long a call may have waited unread because the process was paused, so that the pause counts against the
 * call's time. It detects pauses by late ticks.
 */
public final class PauseDetector {

    /** Calls read within this many milliseconds after a late tick may have waited as long as the tick. */
    private static final double READ_DELAY_MS = 5;

    private final double periodMs;
    private double lastTickAt;
    private double lastPauseMs;

    /** Creates a detector for ticks with a period in milliseconds, starting at the given time. */
    public PauseDetector(double periodMs, double now) {
        this.periodMs = periodMs;
        lastTickAt = now;
    }

    /** Records a tick. */
    public void tick(double now) {
        lastPauseMs = pauseMs(now);
        lastTickAt = now;
    }

    /** Time in milliseconds for which a call that is read now may have waited; 0 if there was no pause. */
    public double waitedMs(double now) {
        return now - lastTickAt <= READ_DELAY_MS ? Math.max(lastPauseMs, pauseMs(now)) : pauseMs(now);
    }

    /** A tick that is late by up to one period does not count as a pause. */
    private double pauseMs(double now) {
        double gapMs = now - lastTickAt;
        return gapMs > 2 * periodMs ? gapMs - periodMs : 0;
    }
}

package sablehinge.dataplane.sidecar;

/**
 * Detects recent pauses of this process from late periodic ticks: the process was stopped or got no CPU time. An event
 * that arrived during a pause, in particular a signal, may have arrived up to the length of the pause before the
 * process saw it. Owned by the event loop.
 */
final class PauseHistory {

    /** A shorter delay of a tick is ignored: the event loop may have been busy. */
    private static final double MIN_PAUSE_MS = 200;
    /** For how long a pause counts after its end: the threads of a process don't all resume at the same time. */
    private static final double RETENTION_MS = 1_000;
    /** Upper limit of a reported pause. */
    private static final double MAX_PAUSE_MS = 2_000;

    private final double periodMs;
    /** NaN before the first tick: no tick is due before it. */
    private double lastTickAt = Double.NaN;

    private double pauseMs;
    private double pauseEndedAt = Double.NEGATIVE_INFINITY;

    /** Creates a history for ticks of the given period, starting with the first tick. */
    PauseHistory(double periodMs) {
        this.periodMs = periodMs;
    }

    /** Records a tick. */
    void tick(double now) {
        double delay = tickDelayMs(now);
        lastTickAt = now;
        if (delay > 0) {
            pauseMs = now - pauseEndedAt > RETENTION_MS ? delay : Math.max(pauseMs, delay);
            pauseEndedAt = now;
        }
    }

    /** How much earlier, in ms, an event that is seen now may have arrived; 0 without a recent pause. */
    double recentPauseMs(double now) {
        double endedPauseMs = now - pauseEndedAt <= RETENTION_MS ? pauseMs : 0;
        return Math.min(MAX_PAUSE_MS, Math.max(endedPauseMs, tickDelayMs(now)));
    }

    private double tickDelayMs(double now) {
        double delay = now - lastTickAt - periodMs;
        return delay > MIN_PAUSE_MS ? delay : 0;
    }
}

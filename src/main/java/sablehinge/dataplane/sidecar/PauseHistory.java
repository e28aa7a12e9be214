package sablehinge.dataplane.sidecar;

/**
 * For how long this process stood still of late, by a tick that ought to come every so often: it was stopped, or had no
 * share of a core. Whatever came to it meanwhile, a signal above all, may have come as much earlier than it was seen.
 * Belongs to the event loop.
 */
final class PauseHistory {

    /** A tick that is late by less says nothing, ms: the loop may have been busy. */
    private static final double IGNORED_MS = 200;
    /** For how long a pause counts after its end, ms: the threads of a process don't all go on at once. */
    private static final double RECENT_MS = 1_000;
    /** The longest pause that is believed, ms. */
    private static final double MAX_MS = 2_000;

    private final double periodMs;
    /** NaN before the first tick: nothing is late until ticks are due. */
    private double lastTickAt = Double.NaN;

    private double pauseMs;
    private double pauseEndedAt = Double.NEGATIVE_INFINITY;

    /** Ticks are due every so many ms from the first one on. */
    PauseHistory(double periodMs) {
        this.periodMs = periodMs;
    }

    /** A tick has come. */
    void tick(double now) {
        double late = lateMs(now);
        lastTickAt = now;
        if (late > 0) {
            pauseMs = now - pauseEndedAt > RECENT_MS ? late : Math.max(pauseMs, late);
            pauseEndedAt = now;
        }
    }

    /** How much earlier than now something may have come that is seen now, ms; 0 while all goes on. */
    double recentMs(double now) {
        double ended = now - pauseEndedAt <= RECENT_MS ? pauseMs : 0;
        return Math.min(MAX_MS, Math.max(ended, lateMs(now)));
    }

    private double lateMs(double now) {
        double late = now - lastTickAt - periodMs;
        return late > IGNORED_MS ? late : 0;
    }
}

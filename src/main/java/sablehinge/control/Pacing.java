package sablehinge.control;

/**
 * Spaces rounds of work: after each one there is a pause as long as it took, so that however much there is to
 * do, half of the time is left for what else waits, and what comes in a pause goes in one round. A round that
 * takes next to no time is followed by next to no pause. {@code now} is a steady clock in ms.
 */
final class Pacing {

    /** The longest pause, in ms: a round during which this process stood still tells nothing of its work. */
    static final double MOST_PAUSE_MS = 100;

    private double pausesUntil = Double.NEGATIVE_INFINITY;

    /** How long, in ms, until the next round may begin; 0 for now. */
    double waits(double now) {
        return Math.max(0, pausesUntil - now);
    }

    /** A round has ended. */
    void ended(double began, double now) {
        pausesUntil = now + Math.min(MOST_PAUSE_MS, now - began);
    }
}

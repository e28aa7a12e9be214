package sablehinge.dataplane.sidecar;

import sablehinge.mesh.watch.Update;

/**
 * Decides which news of the core a balancer takes. A machine that was deposed may still answer, and a process that has
 * just started must not begin with a configuration of which nobody knows whether it is the newest.
 */
final class UpdateFilter {

    /** News that took longer, in ms, waited in a buffer while this process stood still, or the other one. */
    static final double MAX_AGE_MS = 1_500;

    private long latestTerm;
    private boolean confirmedOnce;

    /** What becomes of news. */
    enum Verdict {
        /** They are taken. */
        TAKE,
        /** Whoever sent them leads no more: another machine is to be asked. */
        DEPOSED,
        /** They are old, or the first that come and not confirmed: they are asked for once more. */
        ASK_AGAIN
    }

    /**
     * Judges news that have come.
     *
     * @param ageMs how long ago they were asked for: they tell nothing of what was acknowledged since
     */
    Verdict judge(double ageMs, Update update) {
        if (update.term() < latestTerm && !update.confirmed()) {
            return Verdict.DEPOSED;
        }
        if (ageMs > MAX_AGE_MS || !confirmedOnce && !update.confirmed()) {
            return Verdict.ASK_AGAIN;
        }
        latestTerm = update.term();
        confirmedOnce = true;
        return Verdict.TAKE;
    }
}

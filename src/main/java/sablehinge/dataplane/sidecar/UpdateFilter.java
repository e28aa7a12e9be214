package sablehinge.dataplane.sidecar;

import sablehinge.mesh.watch.Update;

/**
 * Decides which updates of the core a balancer accepts. A machine that was deposed may still answer, and a process that
 * has just started must not begin with a configuration of which nobody knows whether it is the newest.
 */
final class UpdateFilter {

    /** An update that took longer, ms, waited in a buffer while this process stood still, or the other one. */
    static final double MAX_AGE_MS = 1_500;

    private long latestTerm;
    private boolean confirmedOnce;

    /** What becomes of an update. */
    enum Verdict {
        /** They are taken. */
        TAKE,
        /** Its sender leads no more: another machine is to be tried. */
        DEPOSED,
        /** It is old, or the first that comes and not confirmed: it is requested once more. */
        ASK_AGAIN
    }

    /**
     * Judges an update that has come.
     *
     * @param ageMs how long ago it was requested, ms: it shows nothing of what was acknowledged since
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

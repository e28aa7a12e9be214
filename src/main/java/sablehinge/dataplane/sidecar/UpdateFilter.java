package sablehinge.dataplane.sidecar;

import sablehinge.mesh.watch.Update;

/**
 * Decides which updates of the control plane a sidecar accepts. A former leader may still respond, and a process that
 * has just started must not begin with a configuration that is not confirmed as the latest.
 */
final class UpdateFilter {

    /** An update that took longer was delayed in a buffer while this process or the control node was paused. */
    static final double MAX_AGE_MS = 1_500;

    private long latestTerm;
    private boolean confirmedOnce;

    /** The decision on an update. */
    enum Verdict {
        /** The update is applied. */
        TAKE,
        /** The sender is no longer the leader: the client must connect to a different node. */
        DEPOSED,
        /** The update is too old, or is the first one and not confirmed: it must be requested again. */
        ASK_AGAIN
    }

    /**
     * Evaluates an update.
     *
     * @param ageMs time since the update was requested, in ms: changes acknowledged since then may be missing in it
     */
    Verdict evaluate(double ageMs, Update update) {
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

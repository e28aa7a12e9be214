package sablehinge.sidecar;

import sablehinge.watch.Update;

/**
 * Decides which news of the core a balancer takes. A machine that was deposed may still answer, and a process
 * that has just started must not begin with a configuration of which nobody knows whether it is the newest.
 */
final class NewsFilter {

    private long latestTerm;
    private boolean confirmedOnce;

    /** What becomes of news. */
    enum Verdict {
        /** They are taken. */
        TAKE,
        /** Whoever sent them leads no more: another machine is to be asked. */
        DEPOSED,
        /** Nothing was confirmed to this process yet, nor are these: they are asked for once more. */
        UNCONFIRMED
    }

    /** Judges news that have come. */
    Verdict judge(Update update) {
        if (update.term() < latestTerm && !update.confirmed()) {
            return Verdict.DEPOSED;
        }
        if (!confirmedOnce && !update.confirmed()) {
            return Verdict.UNCONFIRMED;
        }
        latestTerm = update.term();
        confirmedOnce = true;
        return Verdict.TAKE;
    }
}

package sablehinge.controlplane.node;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.logging.Log;

/**
 * What becomes of an error inside a control node, such as memory that ran out. A periodic task that throws is never run
 * again, and an entry whose application throws would be passed over: either leaves a process that looks alive and is
 * not what it seems.
 */
final class FailStopExecutor {

    private static final Logger LOG = LoggerFactory.getLogger(FailStopExecutor.class);

    private final Runnable halt;

    /** A guard; {@code halt} ends the process at once. */
    FailStopExecutor(Runnable halt) {
        this.halt = halt;
    }

    /** Does work that is done again soon, or may be left out: an error is logged, and all else goes on. */
    void runTolerant(String what, Runnable work) {
        try {
            work.run();
        } catch (RuntimeException | Error e) {
            tell(what, e, "an error was passed over");
        }
    }

    /** Does work of which nothing may be left out: after an error the next process begins from the disk. */
    void failStop(String what, Runnable work) {
        try {
            work.run();
        } catch (RuntimeException | Error e) {
            tell(what, e, "an error ends this process");
            halt.run();
        }
    }

    private static void tell(String what, Throwable e, String text) {
        try {
            Log.error(LOG, "internal-error")
                    .addKeyValue("during", what)
                    .setCause(e)
                    .log(text);
        } catch (RuntimeException | Error second) {
            // Where memory has run out there may be none for a line either.
        }
    }
}

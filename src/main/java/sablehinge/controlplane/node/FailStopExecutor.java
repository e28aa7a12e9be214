package sablehinge.controlplane.node;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.logging.Log;

/**
 * Handles errors inside a control node, such as an {@link OutOfMemoryError}. A periodic task that throws is never run
 * again, and a committed entry whose application throws would be skipped: either leaves a process that looks alive but
 * is in an invalid state.
 */
final class FailStopExecutor {

    private static final Logger LOG = LoggerFactory.getLogger(FailStopExecutor.class);

    private final Runnable halt;

    /** An executor; {@code halt} ends the process at once. */
    FailStopExecutor(Runnable halt) {
        this.halt = halt;
    }

    /** Runs a task that is repeated soon or may be skipped: an error is logged, and the process continues. */
    void runTolerant(String taskName, Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error error) {
            logError(taskName, error, "an error was ignored");
        }
    }

    /** Runs a task that must not be skipped: an error ends the process, and the next one starts from the disk. */
    void runFailStop(String taskName, Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error error) {
            logError(taskName, error, "an error ends this process");
            halt.run();
        }
    }

    private static void logError(String taskName, Throwable error, String text) {
        try {
            Log.error(LOG, "internal-error")
                    .addKeyValue("during", taskName)
                    .setCause(error)
                    .log(text);
        } catch (RuntimeException | Error second) {
            // After memory has run out, logging may fail too.
        }
    }
}

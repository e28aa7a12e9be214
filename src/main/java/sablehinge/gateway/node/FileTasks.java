package sablehinge.gateway.node;

import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.logging.Log;

/** Runs blocking file operations sequentially on a dedicated thread and reports their results on the event loop. */
final class FileTasks {

    private static final Logger LOG = LoggerFactory.getLogger(FileTasks.class);

    private final ExecutorService fileThread;
    private final Executor loop;

    /** An operation that writes a file. */
    interface WriteOperation {

        void run() throws IOException;
    }

    FileTasks(ExecutorService fileThread, Executor loop) {
        this.fileThread = fileThread;
        this.loop = loop;
    }

    /** Runs a task; {@code callback} gets its result and null, or null and the failure in one line. */
    <T> void run(Callable<T> task, BiConsumer<T, String> callback) {
        fileThread.execute(() -> {
            T value = null;
            String failure = null;
            try {
                value = task.call();
            } catch (Exception e) {
                failure = reason(e);
            }
            T result = value;
            String reportedFailure = failure;
            try {
                loop.execute(() -> callback.accept(result, reportedFailure));
            } catch (RejectedExecutionException e) {
                Log.debug(LOG, "ended").log("the event loop has shut down; the result of a file operation is dropped");
            }
        });
    }

    /** Runs a write; {@code callback} gets the failure, or null. */
    void write(WriteOperation operation, Consumer<String> callback) {
        run(
                () -> {
                    operation.run();
                    return null;
                },
                (result, failure) -> callback.accept(failure));
    }

    private static String reason(Exception e) {
        return e.getMessage() == null
                ? e.getClass().getSimpleName()
                : e.getMessage().lines().findFirst().orElse("");
    }
}

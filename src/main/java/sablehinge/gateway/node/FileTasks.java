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

/** Work that waits for files, one task after another on a thread of its own; its end comes on the event loop. */
final class FileTasks {

    private static final Logger LOG = LoggerFactory.getLogger(FileTasks.class);

    private final ExecutorService files;
    private final Executor loop;

    /** What is written. */
    interface Writing {

        void run() throws IOException;
    }

    FileTasks(ExecutorService files, Executor loop) {
        this.files = files;
        this.loop = loop;
    }

    /** Runs a task; {@code end} gets what it made and null, or null and why it failed in one line. */
    <T> void run(Callable<T> task, BiConsumer<T, String> end) {
        files.execute(() -> {
            T value = null;
            String failure = null;
            try {
                value = task.call();
            } catch (Exception e) {
                failure = reason(e);
            }
            T made = value;
            String why = failure;
            try {
                loop.execute(() -> end.accept(made, why));
            } catch (RejectedExecutionException e) {
                Log.debug(LOG, "ended").log("the process has ended");
            }
        });
    }

    /** Writes something; {@code end} gets why it failed, or null. */
    void write(Writing writing, Consumer<String> end) {
        run(
                () -> {
                    writing.run();
                    return null;
                },
                (nothing, failure) -> end.accept(failure));
    }

    private static String reason(Exception e) {
        return e.getMessage() == null
                ? e.getClass().getSimpleName()
                : e.getMessage().lines().findFirst().orElse("");
    }
}

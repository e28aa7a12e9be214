package sablehinge.cli;

import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.util.Arrays;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Notices that the settings file has changed where no signal tells it, and that one which was half written at the
 * signal is whole. A process that is cut off from all machines that it knows has no other way to learn of them.
 */
final class SettingsWatch {

    /** Between two looks at the file, in ms. */
    private static final long EVERY_MS = 5_000;

    /** Reads the complete file. */
    interface Contents {
        byte[] read() throws IOException;
    }

    private final Contents file;
    private final Runnable changed;
    private byte[] seen;

    /**
     * A watch that has seen nothing yet: its first look finds a change, as the file may have changed since the process
     * has read it.
     *
     * @param file reads the complete file
     * @param changed is run once for each content
     */
    SettingsWatch(Contents file, Runnable changed) {
        this.file = file;
        this.changed = changed;
    }

    /** Looks every now and then, on a thread of its own, until the process ends. */
    void start() {
        Executors.newSingleThreadScheduledExecutor(new DefaultThreadFactory("settings", true))
                .scheduleWithFixedDelay(this::look, EVERY_MS, EVERY_MS, TimeUnit.MILLISECONDS);
    }

    /** Looks once. A file that can't be read is looked at again later. */
    void look() {
        try {
            byte[] now = file.read();
            if (!Arrays.equals(now, seen)) {
                seen = now;
                changed.run();
            }
        } catch (IOException e) {
            // It is being replaced, or there are no descriptors at the moment.
        }
    }
}

package sablehinge.cli;

import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.util.Arrays;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Polls the settings for changes that no signal announces, and for the completion of a write that was still in progress
 * at the signal. A process that cannot reach any of its known machines has no other way to learn new addresses.
 */
final class SettingsWatch {

    private static final long POLL_INTERVAL_MS = 5_000;

    /** Reads the complete settings. */
    interface FileReader {
        byte[] read() throws IOException;
    }

    private final FileReader reader;
    private final Runnable onChange;
    private byte[] lastContent;

    /**
     * Creates a watch. The first poll always reports a change, as the settings may have changed since the process read
     * them.
     *
     * @param reader reads the complete settings
     * @param onChange runs once for each new content
     */
    SettingsWatch(FileReader reader, Runnable onChange) {
        this.reader = reader;
        this.onChange = onChange;
    }

    /** Polls periodically on a separate daemon thread until the process ends. */
    void start() {
        Executors.newSingleThreadScheduledExecutor(new DefaultThreadFactory("settings", true))
                .scheduleWithFixedDelay(this::poll, POLL_INTERVAL_MS, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Polls once. Settings that can't be read are read again at the next poll. */
    void poll() {
        try {
            byte[] content = reader.read();
            if (!Arrays.equals(content, lastContent)) {
                lastContent = content;
                onChange.run();
            }
        } catch (IOException e) {
            // The settings are being replaced, or the process is out of descriptors; the next poll retries.
        }
    }
}

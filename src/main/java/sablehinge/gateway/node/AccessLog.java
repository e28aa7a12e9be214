package sablehinge.gateway.node;

import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Locale;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.logging.Log;
import sablehinge.dataplane.proxy.Answer;
import sablehinge.dataplane.proxy.Version;

/**
 * Writes one line of JSON per response. A dedicated thread writes the file, so that the event loop never waits for the
 * disk; lines that arrive faster than they can be written are dropped and counted. The file is rotated at a size limit,
 * and one rotated file is retained.
 */
final class AccessLog {

    private static final Logger LOG = LoggerFactory.getLogger(AccessLog.class);
    /** The maximum number of lines that wait to be written. */
    static final int MAX_WAITING = 16_384;

    private static final String END_OF_LOG = "";

    private final Path file;
    private final long maxBytes;
    private final ArrayBlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_WAITING);
    private final AtomicLong dropped = new AtomicLong();
    private final Thread writer;
    private long bytes;
    /** Null while a rotation could not be completed. Used by the writer thread only. */
    private BufferedWriter out;

    /** Appends to a file, which is renamed to {@code FILE.1} when it reaches {@code maxBytes}. */
    AccessLog(Path file, long maxBytes) throws IOException {
        this.file = file;
        this.maxBytes = maxBytes;
        BufferedWriter initialWriter = open();
        writer = new Thread(() -> writeLines(initialWriter), "access-log");
        writer.setDaemon(true);
        writer.start();
    }

    private BufferedWriter open() throws IOException {
        BufferedWriter opened = Files.newBufferedWriter(
                file, StandardCharsets.UTF_8, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        bytes = Files.size(file);
        return opened;
    }

    /** Records a response; {@code epochMs} is its time in ms since 1970. */
    void logResponse(
            double epochMs,
            String requestId,
            Version version,
            int serviceClass,
            Answer.Kind kind,
            int attempts,
            double elapsedMs) {
        // Ids are plain ASCII, see http1.RequestCheck; only these two characters need an escape in JSON.
        String escapedId = requestId.replace("\\", "\\\\").replace("\"", "\\\"");
        String line = String.format(
                Locale.ROOT,
                "{\"at_ms\":%.0f,\"request\":\"%s\",\"version\":%d,\"class\":\"%s\","
                        + "\"outcome\":\"%s\",\"attempts\":%d,\"ms\":%.1f}%n",
                epochMs,
                escapedId,
                version.number(),
                version.classes().get(serviceClass),
                kind.name().toLowerCase(Locale.ROOT),
                attempts,
                elapsedMs);
        if (!lines.offer(line)) {
            dropped.incrementAndGet();
        }
    }

    /** The number of lines that could not be written. */
    long dropped() {
        return dropped.get();
    }

    private void writeLines(BufferedWriter initialWriter) {
        out = initialWriter;
        while (true) {
            try {
                String line = lines.poll();
                if (line == null) {
                    flush();
                    line = lines.take();
                }
                if (line.equals(END_OF_LOG)) {
                    closeFile();
                    return;
                }
                append(line);
            } catch (IOException e) {
                // A full disk loses log lines but does not affect requests.
                dropped.incrementAndGet();
                Log.warn(LOG, "access-log-failed")
                        .addKeyValue("cause", e.getMessage())
                        .log("failed to write the access log: {}", e.getMessage());
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void append(String line) throws IOException {
        if (out == null || bytes + line.length() > maxBytes) {
            rotate();
        }
        out.write(line);
        bytes += line.length();
    }

    private void rotate() throws IOException {
        closeFile();
        // After a rotation that failed half way, the file to rename may be missing.
        if (Files.exists(file)) {
            Files.move(file, file.resolveSibling(file.getFileName() + ".1"), StandardCopyOption.REPLACE_EXISTING);
        }
        out = open();
    }

    /** Without an open file there is nothing to flush, and no line is lost. */
    private void flush() throws IOException {
        if (out != null) {
            out.flush();
        }
    }

    private void closeFile() throws IOException {
        BufferedWriter closing = out;
        out = null;
        if (closing != null) {
            closing.close();
        }
    }

    /** Writes the waiting lines and stops the writer thread. */
    void close() throws InterruptedException {
        lines.put(END_OF_LOG);
        writer.join();
    }
}

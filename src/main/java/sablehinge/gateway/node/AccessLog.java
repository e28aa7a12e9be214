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
 * A line of JSON for each answer. A thread of its own writes them: the loop never waits for the disk, and what comes
 * faster than that can write is dropped and counted. At a bound the file is renamed and begun anew; one old one is
 * kept.
 */
final class AccessLog {

    private static final Logger LOG = LoggerFactory.getLogger(AccessLog.class);
    /** Lines that may wait to be written. */
    static final int MAX_WAITING = 16_384;

    private static final String END = "";

    private final Path file;
    private final long mostBytes;
    private final ArrayBlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_WAITING);
    private final AtomicLong dropped = new AtomicLong();
    private final Thread writer;
    private long bytes;
    /** Null while a rotation could not be finished. Only the writer's thread uses it. */
    private BufferedWriter out;

    /** Appends to a file, which is renamed to {@code FILE.1} once it has so many bytes. */
    AccessLog(Path file, long mostBytes) throws IOException {
        this.file = file;
        this.mostBytes = mostBytes;
        BufferedWriter first = open();
        writer = new Thread(() -> write(first), "access-log");
        writer.setDaemon(true);
        writer.start();
    }

    private BufferedWriter open() throws IOException {
        BufferedWriter opened = Files.newBufferedWriter(
                file, StandardCharsets.UTF_8, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        bytes = Files.size(file);
        return opened;
    }

    /** Notes an answer; {@code at} is its time in ms since 1970. */
    void note(
            double at,
            String request,
            Version version,
            int serviceClass,
            Answer.Kind kind,
            int attempts,
            double elapsed) {
        // Ids are plain ASCII, see http1.RequestCheck; only two of its characters have a meaning here.
        String id = request.replace("\\", "\\\\").replace("\"", "\\\"");
        String line = String.format(
                Locale.ROOT,
                "{\"at_ms\":%.0f,\"request\":\"%s\",\"version\":%d,\"class\":\"%s\","
                        + "\"outcome\":\"%s\",\"attempts\":%d,\"ms\":%.1f}%n",
                at,
                id,
                version.number(),
                version.classes().get(serviceClass),
                kind.name().toLowerCase(Locale.ROOT),
                attempts,
                elapsed);
        if (!lines.offer(line)) {
            dropped.incrementAndGet();
        }
    }

    /** Lines that could not be written. */
    long dropped() {
        return dropped.get();
    }

    private void write(BufferedWriter first) {
        out = first;
        while (true) {
            try {
                String line = lines.poll();
                if (line == null) {
                    flush();
                    line = lines.take();
                }
                if (line.equals(END)) {
                    closeFile();
                    return;
                }
                append(line);
            } catch (IOException e) {
                // A full disk costs lines and nothing else.
                dropped.incrementAndGet();
                Log.warn(LOG, "access-log-failed")
                        .addKeyValue("cause", e.getMessage())
                        .log("the access log can't be written: {}", e.getMessage());
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void append(String line) throws IOException {
        if (out == null || bytes + line.length() > mostBytes) {
            rotate();
        }
        out.write(line);
        bytes += line.length();
    }

    private void rotate() throws IOException {
        closeFile();
        // A rotation that failed half way must not fail for good for want of the old file.
        if (Files.exists(file)) {
            Files.move(file, file.resolveSibling(file.getFileName() + ".1"), StandardCopyOption.REPLACE_EXISTING);
        }
        out = open();
    }

    /** Without a file there is nothing to flush, and no line is lost by it. */
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

    /** Writes what waits, and ends. */
    void close() throws InterruptedException {
        lines.put(END);
        writer.join();
    }
}

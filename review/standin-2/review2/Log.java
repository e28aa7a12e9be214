package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, with the time in ms since the start. */
final class Log implements AutoCloseable {
    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    Log(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    /** Milliseconds since the start of the case. */
    double now() {
        return (System.nanoTime() - startedAt) / 1e6;
    }

    synchronized void line(String text) {
        String line = String.format("%9.1f  %s", now(), text);
        out.println(line);
        System.out.println(line);
    }

    /** A line for the record only. */
    synchronized void quiet(String text) {
        out.println(String.format("%9.1f  %s", now(), text));
    }

    @Override
    public void close() {
        out.close();
    }
}

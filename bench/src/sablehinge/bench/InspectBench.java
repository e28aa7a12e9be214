package sablehinge.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.FilterWriter;
import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import sablehinge.tools.replay.SampleDay;

/** Reads a large made-up log in a small heap, beside {@code wc -l} and a bare regular expression. */
public final class InspectBench {

    private static final int HEAP_MB = 256;
    private static final double PEAK = 1_700;
    private static final Pattern BARE = Pattern.compile(
            "(\\S+) \\[([^\\]]+)\\] \"(\\S+) (\\S+) [^\"]*\" " + "(\\d+) (\\d+)" + " (\\S+) \"([^\"]*)\"");

    private InspectBench() {}

    /** Ends the writing once there is enough. */
    private static final class EnoughException extends IOException {
        private static final long serialVersionUID = 1;
    }

    /** Arguments: megabytes of the log, the seed. */
    public static void main(String[] args) throws Exception {
        long bytes = (args.length > 0 ? Long.parseLong(args[0]) : 2_048) << 20;
        long seed = args.length > 1 ? Long.parseLong(args[1]) : 1;
        Path log = Path.of("target/bench-inspect.log");
        try {
            write(log, bytes, seed);
            double[] wc = time("wc", "-l", log.toString());
            long begun = System.nanoTime();
            long matched = 0;
            try (BufferedReader in = Files.newBufferedReader(log)) {
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    Matcher matcher = BARE.matcher(line);
                    matched += matcher.matches() && matcher.group(5).length() == 3 ? 1 : 0;
                }
            }
            double regex = (System.nanoTime() - begun) / 1e9;
            Path out = Path.of("target/bench-inspect.json");
            begun = System.nanoTime();
            int status = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-Xmx" + HEAP_MB + "m",
                            "-jar",
                            "target/sablehinge.jar",
                            "replay",
                            "inspect",
                            "--json",
                            "--format",
                            SampleDay.FORMAT,
                            log.toString())
                    .redirectOutput(out.toFile())
                    .redirectError(ProcessBuilder.Redirect.INHERIT)
                    .start()
                    .waitFor();
            double inspect = (System.nanoTime() - begun) / 1e9;
            if (status != 0) {
                throw new IOException("inspect ended with " + status);
            }
            JsonNode json = new JsonMapper().readTree(out.toFile());
            long lines = json.path("requests").asLong()
                    + json.path("folded").asLong()
                    + json.path("unreadable").asLong();
            System.out.printf(Locale.ROOT, "%-28s %10s %16s%n", "pass", "seconds", "lines a second");
            row("wc -l", wc[0], lines);
            row("bare regular expression", regex, lines);
            row("replay inspect", inspect, lines);
            System.out.printf(
                    Locale.ROOT,
                    "%,d bytes, %,d lines, heap %d MB, %d cores%n",
                    Files.size(log),
                    lines,
                    HEAP_MB,
                    Runtime.getRuntime().availableProcessors());
            System.out.printf(
                    Locale.ROOT,
                    "{\"bytes\":%d,\"lines\":%d,\"heap_mb\":%d,\"inspect_lines_per_s\":%.0f,"
                            + "\"regex_lines_per_s\":%.0f,\"wc_lines_per_s\":%.0f,\"regex_matched\":%d,"
                            + "\"requests\":%d,"
                            + "\"folded\":%d,\"unreadable\":%d}%n",
                    Files.size(log),
                    lines,
                    HEAP_MB,
                    lines / inspect,
                    lines / regex,
                    lines / wc[0],
                    matched,
                    json.path("requests").asLong(),
                    json.path("folded").asLong(),
                    json.path("unreadable").asLong());
        } finally {
            Files.deleteIfExists(log);
        }
    }

    private static void write(Path log, long bytes, long seed) throws IOException {
        try (BufferedWriter file = Files.newBufferedWriter(log)) {
            long[] left = {bytes};
            Writer bounded = new FilterWriter(file) {
                @Override
                public void write(String text, int from, int count) throws IOException {
                    // At the end of a line only: the last one is complete.
                    if (left[0] <= 0 && text.startsWith("10.")) {
                        throw new EnoughException();
                    }
                    left[0] -= count;
                    super.write(text, from, count);
                }
            };
            // More than can be needed; it is cut off at the size.
            new SampleDay(SampleDay.Terms.usual(bytes / 20.0 / PEAK, PEAK, seed)).write(bounded);
        } catch (EnoughException e) {
            // As large as it was to be.
        }
    }

    private static double[] time(String... command) throws IOException, InterruptedException {
        long begun = System.nanoTime();
        new ProcessBuilder(command)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start()
                .waitFor();
        return new double[] {(System.nanoTime() - begun) / 1e9};
    }

    private static void row(String name, double seconds, long lines) {
        System.out.printf(Locale.ROOT, "%-28s %10.1f %,16.0f%n", name, seconds, lines / seconds);
    }
}

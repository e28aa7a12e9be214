package sablehinge.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import sablehinge.tools.replay.SampleDay;

/**
 * Replays a made-up hour against stand-ins behind balancers, with the packed program: the generator in one process,
 * servers and balancers in another. See docs/design/replay.md.
 */
public final class ReplayBench {

    private static final String JAR = "target/sablehinge.jar";
    private static final int BALANCERS = 4;

    private ReplayBench() {}

    /** Arguments: seconds of the log, its peak, hours in one, the seed, a folder for the records. */
    public static void main(String[] args) throws Exception {
        double seconds = args.length > 0 ? Double.parseDouble(args[0]) : 3_600;
        double peak = args.length > 1 ? Double.parseDouble(args[1]) : 1_700;
        double compress = args.length > 2 ? Double.parseDouble(args[2]) : 12;
        long seed = args.length > 3 ? Long.parseLong(args[3]) : 1;
        Path folder = args.length > 4 ? Path.of(args[4]) : Path.of("target/bench-replay");
        Files.createDirectories(folder);
        long begun = System.nanoTime();
        SampleDay day = ReplayRehearsal.write(folder, SampleDay.Terms.usual(seconds, peak, seed));
        Files.writeString(folder.resolve("scenario.toml"), ReplayRehearsal.scenario(seed, BALANCERS, "8s"));
        send(folder, compress, seed);
        JsonNode load =
                new JsonMapper().readTree(folder.resolve("clients/report.json").toFile());
        Files.move(
                folder.resolve("clients/requests.jsonl.gz"),
                folder.resolve("requests.jsonl.gz"),
                StandardCopyOption.REPLACE_EXISTING);
        ReplayRehearsal.Result result = ReplayRehearsal.judge(folder, day);
        table(result, load, (System.nanoTime() - begun) / 1e9);
        if (result.audit().breaches() > 0) {
            result.audit().print(new PrintWriter(System.err, true));
        }
        System.out.printf(
                Locale.ROOT,
                "{\"class_mix_error\":%.6f,\"key_mix_error\":%.6f,\"folded_true\":%d,"
                        + "\"folded_false\":%d,\"folded_missed\":%d,\"send_error_p99_ms\":%.3f,\"requests\":%d,"
                        + "\"breaches\":%d,\"unexplained\":%d,\"rate_per_s\":%.1f,\"generator_cores\":%.2f,"
                        + "\"figures_count\":%b}%n",
                result.classError(),
                result.keyError(),
                result.foldedTrue(),
                result.foldedFalse(),
                result.foldedMissed(),
                load.path("send_error_p99_ms").asDouble(),
                load.path("requests").asLong(),
                result.audit().breaches(),
                result.audit().unexplained(),
                load.path("rate_per_s").asDouble(),
                load.path("generator_cores").asDouble(),
                load.path("figures_count").asBoolean());
    }

    private static void send(Path folder, double compress, long seed) throws IOException, InterruptedException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        Process servers = new ProcessBuilder(
                        java,
                        "-Xmx6g",
                        "-XX:+UseZGC",
                        "-jar",
                        JAR,
                        "standin",
                        "--scenario",
                        folder.resolve("scenario.toml").toString(),
                        "--out",
                        folder.toString())
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        try {
            BufferedReader output =
                    new BufferedReader(new InputStreamReader(servers.getInputStream(), StandardCharsets.UTF_8));
            List<String> command = new ArrayList<>(List.of(
                    java,
                    "-Xmx2g",
                    "-XX:+UseZGC",
                    "-jar",
                    JAR,
                    "replay",
                    "run",
                    folder.resolve("day.log").toString(),
                    "--format",
                    SampleDay.FORMAT,
                    "--compress",
                    Double.toString(compress),
                    "--seed",
                    Long.toString(seed),
                    "--class",
                    "tile-order=keyed",
                    "--connections",
                    "12000",
                    "--out",
                    folder.resolve("clients").toString()));
            for (int i = 0; i < BALANCERS; i++) {
                String line = output.readLine();
                while (line != null && !line.startsWith("entry ")) {
                    line = output.readLine();
                }
                if (line == null) {
                    throw new IOException("the stand-ins did not start");
                }
                command.add("--target");
                command.add(line.substring("entry ".length()));
            }
            new ProcessBuilder(command).inheritIO().start().waitFor();
        } finally {
            servers.destroy();
            if (!servers.waitFor(30, TimeUnit.SECONDS)) {
                servers.destroyForcibly();
            }
        }
    }

    private static void table(ReplayRehearsal.Result result, JsonNode load, double seconds) {
        System.out.printf(Locale.ROOT, "%n%-32s %14s%n", "figure", "value");
        row("lines of the log", result.logLines());
        row("requests", load.path("requests").asLong());
        row("a second", load.path("rate_per_s").asDouble());
        row("largest error of a class", result.classError());
        row("largest error of 100 keys", result.keyError());
        row("folded rightly", result.foldedTrue());
        row("folded wrongly", result.foldedFalse());
        row("retries not folded", result.foldedMissed());
        row("sent late at p99, ms", load.path("send_error_p99_ms").asDouble());
        row("cores of the generator", load.path("generator_cores").asDouble());
        row("breaches", result.audit().breaches());
        row("unexplained", result.audit().unexplained());
        System.out.printf(
                Locale.ROOT, "%d cores; %.0f s in all%n", Runtime.getRuntime().availableProcessors(), seconds);
    }

    private static void row(String name, double value) {
        System.out.printf(Locale.ROOT, value == Math.rint(value) ? "%-32s %,14.0f%n" : "%-32s %,14.5f%n", name, value);
    }
}

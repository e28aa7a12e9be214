package sablehinge.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.OffsetDateTime;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sablehinge.cli.ReplayCommand.LogVerb;
import sablehinge.gateway.config.operator.OperatorConfig.ClassPart;
import sablehinge.gateway.settings.Addresses;
import sablehinge.tools.audit.AuditRulesFile;
import sablehinge.tools.audit.Recorder;
import sablehinge.tools.audit.judge.AuditRules.ClassTerms;
import sablehinge.tools.audit.judge.AuditRules.Effect;
import sablehinge.tools.replay.Logs;
import sablehinge.tools.replay.run.ClassPlan;
import sablehinge.tools.replay.run.Load;
import sablehinge.tools.replay.run.LoadResult;
import sablehinge.tools.replay.run.ReportPage;
import sablehinge.tools.replay.schedule.ReplayClient;
import sablehinge.tools.replay.schedule.ReplaySchedule;
import sablehinge.tools.standin.AuditTerms;

/** Replays the load of logs against a balancer. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Versions.class,
        description = "Sends the load of logs to a balancer, each request when it is due, whatever "
                + "becomes of those "
                + "before. Deadlines are not compressed. Exits with 1 if the figures don't count, as the "
                + "generator "
                + "ran late. Ctrl-C ends it with a whole report.")
final class ReplayRun extends LogVerb {

    private static final long PROGRESS_INTERVAL_MS = 500;
    private static final long SHUTDOWN_TIMEOUT_S = 30;

    @Option(
            names = "--target",
            required = true,
            paramLabel = "HOST:PORT",
            description = "A balancer, by a numeric address; several are used in turn.")
    private List<String> targets;

    @Option(names = "--compress", paramLabel = "N", description = "Hours of the log in one. Default: 1.")
    private double compress = 1;

    @Option(
            names = "--rate-scale",
            paramLabel = "N",
            description = "Requests sent for each one of the log. Default: 1.")
    private double rateScale = 1;

    @Option(
            names = "--from",
            paramLabel = "TIME",
            description = "Leave out what came before, such as 2026-08-03T06:00:00Z.")
    private String from;

    @Option(names = "--to", paramLabel = "TIME", description = "Leave out what came then or later.")
    private String to;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description = "A folder, made if there is none, for report.json, "
                    + "report.html, and a record of every try that `audit` reads.")
    private Path out;

    @Option(
            names = "--class",
            paramLabel = "NAME=EFFECT",
            description = "Whether a class may run twice: safe, keyed "
                    + "or unsafe. Default: as the rules' file says; else safe where first asked by GET, and unsafe.")
    private Map<String, String> effects = new HashMap<>();

    @Option(names = "--retries", paramLabel = "N", description = "Further tries of a client. Default: 2.")
    private int retries = ReplayClient.Terms.usual().retries();

    @Option(
            names = "--honour",
            paramLabel = "SHARE",
            description = "Of clients that do as Retry-After says, 0 to 1. Default: 0.4.")
    private double honour = ReplayClient.Terms.usual().honour();

    @Option(
            names = "--body",
            paramLabel = "BYTES",
            description = "Of bodies of which the log tells nothing. Default: 200.")
    private int body = 200;

    @Option(names = "--connections", paramLabel = "N", description = "Open at a time at most. Default: 2000.")
    private int connections = 2_000;

    @Option(
            names = "--threads",
            paramLabel = "N",
            description = "That send. Default: half as many as cores, 4 at most.")
    private int threads = Math.max(1, Math.min(4, Runtime.getRuntime().availableProcessors() / 2));

    @Override
    public Integer call() throws Exception {
        ReplaySchedule.Terms schedule = new ReplaySchedule.Terms(
                range("--compress", compress, 0.001, 10_000),
                range("--rate-scale", rateScale, 0.0001, 1_000),
                time("--from", from),
                time("--to", to),
                seed());
        range("--retries", retries, 0, 10);
        range("--honour", honour, 0, 1);
        range("--body", body, 0, 1 << 16);
        range("--connections", connections, 1, 60_000);
        range("--threads", threads, 1, 64);
        ReplayClient.Terms usual = ReplayClient.Terms.usual();
        ReplayClient.Terms clients = new ReplayClient.Terms(
                retries,
                usual.minTimeoutShare(),
                usual.maxTimeoutShare(),
                usual.backoff(),
                honour,
                usual.maxRetryAfter());
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String target : targets) {
            addresses.add(address(target));
        }
        Logs logs;
        try {
            logs = open();
        } catch (IOException e) {
            err().println("sablehinge: " + Commands.message(e));
            return Commands.BAD_INPUT;
        }
        if (logs == null) {
            return Commands.BAD_INPUT;
        }
        try (logs) {
            Load.Options options =
                    new Load.Options(addresses, classPlans(), clients, schedule, threads, connections, body, seed());
            return out == null ? runLoad(logs, options, null) : runRecorded(logs, options);
        }
    }

    private int runRecorded(Logs logs, Load.Options options) throws IOException, InterruptedException {
        Files.createDirectories(out);
        try (Recorder recorder = new Recorder(out.resolve("requests.jsonl.gz"))) {
            return runLoad(logs, options, recorder);
        }
    }

    private int runLoad(Logs logs, Load.Options options, Recorder recorder) throws IOException, InterruptedException {
        Load load = new Load(options, recorder == null ? evidence -> {} : recorder::note);
        CountDownLatch written = new CountDownLatch(1);
        // At Ctrl-C, the JVM exits only after this hook returns, so that the report is written first.
        Thread interrupted = new Thread(
                () -> {
                    load.stop();
                    try {
                        written.await(SHUTDOWN_TIMEOUT_S, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "interrupted");
        Runtime.getRuntime().addShutdownHook(interrupted);
        Thread progress = startProgressThread(load);
        int status = Commands.BAD_INPUT;
        try {
            try {
                load.run(logs::next);
            } catch (IOException e) {
                // A malformed line in strict mode, or a disk error: the requests sent so far are still reported.
                err().println("sablehinge: " + Commands.message(e));
                load.stop();
                load.run(() -> null);
                status = Commands.BAD_INPUT;
                report(load, logs, recorder);
                return status;
            }
            status = report(load, logs, recorder).doubts().isEmpty() ? 0 : Commands.REFUSED;
            return status;
        } finally {
            if (progress != null) {
                progress.interrupt();
            }
            load.close();
            written.countDown();
            removeShutdownHook(interrupted);
        }
    }

    private static void removeShutdownHook(Thread hook) {
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException e) {
            // The JVM is shutting down and the hook is running.
        }
    }

    private LoadResult report(Load load, Logs logs, Recorder recorder) throws IOException, InterruptedException {
        if (recorder != null) {
            recorder.close();
        }
        LoadResult result = load.result(recorder == null ? 0 : Math.max(0, recorder.cpuNanos()));
        result.print(out());
        Logs.Counts counts = logs.counts();
        out().printf(
                        Locale.ROOT,
                        "log: %,d requests, %,d folded, %,d unmatched, %,d unreadable%n",
                        counts.requests(),
                        counts.folded(),
                        counts.unmatched(),
                        counts.unreadable());
        if (recorder != null) {
            var json = result.json();
            json.putObject("log")
                    .put("requests", counts.requests())
                    .put("folded", counts.folded())
                    .put("missing_time", counts.missingTime())
                    .put("out_of_order", counts.outOfOrder())
                    .put("unmatched", counts.unmatched())
                    .put("unreadable", counts.unreadable());
            json.put("not_recorded", recorder.dropped());
            Files.writeString(out.resolve("report.json"), json.toPrettyString() + "\n");
            Files.writeString(
                    out.resolve("report.html"), ReportPage.of(result, "Replay of " + String.join(", ", files())));
            AuditRulesFile.write(out, load.terms(false));
            if (recorder.dropped() > 0) {
                out().printf(
                                Locale.ROOT,
                                "%,d tries are not in the record%s%n",
                                recorder.dropped(),
                                recorder.failure() == null ? "" : ": " + recorder.failure());
            }
            out().println("report: " + out.resolve("report.html"));
        }
        out().flush();
        return result;
    }

    /** Updates a progress line on a terminal; returns null if there is no terminal. */
    private Thread startProgressThread(Load load) {
        if (System.console() == null) {
            return null;
        }
        Thread thread = new Thread(
                () -> {
                    try {
                        while (true) {
                            TimeUnit.MILLISECONDS.sleep(PROGRESS_INTERVAL_MS);
                            long[] counts = load.progress();
                            err().printf(Locale.ROOT, "\r%,d sent, %,d answered or given up ", counts[0], counts[1]);
                            err().flush();
                        }
                    } catch (InterruptedException e) {
                        err().print("\r\033[K");
                        err().flush();
                    }
                },
                "progress");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private Map<String, ClassPlan> classPlans() {
        Map<String, ClassPlan> plans = new HashMap<>();
        for (ClassPart part : classes()) {
            plans.put(
                    part.name(),
                    new ClassPlan(
                            AuditTerms.of(part.effect(), part.group(), part.window()), part.aim(), part.deadline()));
        }
        effects.forEach((name, text) -> {
            ClassPlan known = plans.get(name);
            Effect effect =
                    switch (text) {
                        case "safe" -> Effect.SAFE;
                        case "keyed" -> Effect.KEYED;
                        case "unsafe" -> Effect.UNSAFE;
                        default -> throw misuse("--class: '" + text + "' is no effect, expected safe, keyed or unsafe");
                    };
            plans.put(
                    name,
                    known == null
                            ? ClassPlan.unknown(effect)
                            : new ClassPlan(
                                    new ClassTerms(
                                            effect,
                                            known.terms().group(),
                                            known.terms().window()),
                                    known.aim(),
                                    known.deadline()));
        });
        return plans;
    }

    private double range(String option, double value, double min, double max) {
        if (!(value >= min && value <= max)) {
            throw misuse(option + ": " + value + " is out of range, expected " + min + " to " + max);
        }
        return value;
    }

    private double time(String option, String text) {
        if (text == null) {
            return Double.NaN;
        }
        try {
            return OffsetDateTime.parse(text).toInstant().toEpochMilli();
        } catch (DateTimeException e) {
            throw misuse(option + ": '" + text + "' is no time, expected one such as 2026-08-03T06:00:00Z");
        }
    }

    private InetSocketAddress address(String text) {
        try {
            InetSocketAddress address = Addresses.parse(text.replace("localhost:", "127.0.0.1:"));
            if (address.getPort() != 0) {
                return address;
            }
        } catch (IllegalArgumentException e) {
            // Reported below.
        }
        throw misuse(
                "--target: '" + text + "' is no numeric address with a port, expected one such as" + " 127.0.0.1:8080");
    }
}

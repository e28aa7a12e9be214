package sablehinge.cli;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.ZoneOffset;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sablehinge.common.mapping.Mapping;
import sablehinge.tools.audit.Audit;
import sablehinge.tools.audit.AuditRulesFile;
import sablehinge.tools.audit.Recorder;
import sablehinge.tools.replay.LogOptions;
import sablehinge.tools.replay.Logs;
import sablehinge.tools.replay.SampleDay;
import sablehinge.tools.replay.run.ClassPlan;
import sablehinge.tools.replay.run.Load;
import sablehinge.tools.replay.run.LoadResult;
import sablehinge.tools.replay.run.ReportPage;
import sablehinge.tools.replay.schedule.ReplayClient;
import sablehinge.tools.replay.schedule.ReplaySchedule;
import sablehinge.tools.standin.AuditTerms;
import sablehinge.tools.standin.Fleet;
import sablehinge.tools.standin.scenario.Scenario;
import sablehinge.tools.standin.scenario.Scenario.ClassPart;
import sablehinge.tools.standin.scenario.ScenarioFile;

/** A short demonstration: replays a generated day against stand-in servers and audits the result. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Versions.class,
        description = "Starts three tiers of stand-in servers with balancers before each on loopback, "
                + "sends a small "
                + "made-up day, strikes a server, and judges the four rules by what callers and servers "
                + "saw. Takes "
                + "less than a minute. Exits with 1 if a rule was broken.")
final class DemoCommand extends Commands.Verb {

    private static final String SCENARIO = "/sablehinge/demo.toml";
    private static final double DAY_SECONDS = 120;
    private static final double TIME_COMPRESSION = 6;
    private static final double PEAK_RATE_PER_S = 50;
    private static final long PROGRESS_INTERVAL_MS = 1_000;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description = "A folder, made if there is none, for the day's log, "
                    + "the report and the records. Default: sablehinge-demo.")
    private Path out = Path.of("sablehinge-demo");

    @Override
    public Integer call() throws Exception {
        Files.createDirectories(out);
        Scenario scenario = scenario();
        Path log = out.resolve("day.log");
        SampleDay day = new SampleDay(SampleDay.Terms.usual(DAY_SECONDS, PEAK_RATE_PER_S, scenario.seed()));
        try (BufferedWriter writer = Files.newBufferedWriter(log)) {
            day.write(writer);
        }
        printLine("a made-up day of %,d requests (%,d lines) is in %s", day.requests(), day.tries(), log);
        printLine("starting servers and balancers ...");
        Audit audit;
        LoadResult result;
        try (Recorder servers = new Recorder(out.resolve("servers.jsonl.gz"));
                Recorder clients = new Recorder(out.resolve("requests.jsonl.gz"))) {
            try (Fleet fleet =
                    new Fleet(scenario, new LocalBalancers(servers::note), 2, servers::note, this::printLine)) {
                fleet.start();
                result = runLoad(fleet, scenario, log, clients);
                AuditRulesFile.write(out, fleet.terms());
            }
        }
        Files.writeString(out.resolve("report.json"), result.json().toPrettyString() + "\n");
        Files.writeString(out.resolve("report.html"), ReportPage.of(result, "A demonstration day"));
        PrintWriter terminal = out();
        terminal.println();
        result.print(terminal);
        terminal.println();
        audit = Audit.of(out);
        audit.print(terminal);
        printLine("%nreport: %s", out.resolve("report.html"));
        return audit.breaches() == 0 ? 0 : Commands.REFUSED;
    }

    private LoadResult runLoad(Fleet fleet, Scenario scenario, Path log, Recorder clients) throws Exception {
        LogOptions options =
                LogOptions.usual(new Mapping(List.of())).withFormat(SampleDay.FORMAT, ZoneOffset.UTC, Map.of());
        try (Logs logs = Logs.open(List.of(log.toString()), InputStream.nullInputStream(), options)) {
            Load load = new Load(
                    new Load.Options(
                            fleet.entries(),
                            classPlans(scenario),
                            ReplayClient.Terms.usual(),
                            new ReplaySchedule.Terms(TIME_COMPRESSION, 1, Double.NaN, Double.NaN, scenario.seed()),
                            1,
                            1_000,
                            200,
                            scenario.seed()),
                    clients::note);
            Thread progress = startProgressThread(load);
            try {
                load.run(logs::next);
                return load.result(0);
            } finally {
                progress.interrupt();
                load.close();
            }
        }
    }

    static Scenario scenario() throws IOException {
        try (InputStream in = DemoCommand.class.getResourceAsStream(SCENARIO)) {
            return ScenarioFile.parse(new String(in.readAllBytes(), StandardCharsets.UTF_8))
                    .scenario();
        }
    }

    /** The class plans by which clients send the requests of a scenario. */
    static Map<String, ClassPlan> classPlans(Scenario scenario) {
        Map<String, ClassPlan> plans = new HashMap<>();
        for (ClassPart part : scenario.classes()) {
            plans.put(
                    part.name(),
                    new ClassPlan(
                            AuditTerms.of(part.effect(), part.group(), part.window()), part.aim(), part.deadline()));
        }
        return plans;
    }

    private Thread startProgressThread(Load load) {
        Thread thread = new Thread(
                () -> {
                    try {
                        while (true) {
                            TimeUnit.MILLISECONDS.sleep(PROGRESS_INTERVAL_MS);
                            long[] counts = load.progress();
                            printLine("        %,6d requests sent, %,6d have come out", counts[0], counts[1]);
                        }
                    } catch (InterruptedException e) {
                        // The load has ended.
                    }
                },
                "watch");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void printLine(String line) {
        printLine("%s", line);
    }

    private void printLine(String format, Object... values) {
        synchronized (this) {
            out().printf(Locale.ROOT, format + "%n", values);
            out().flush();
        }
    }
}

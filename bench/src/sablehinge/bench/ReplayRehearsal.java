package sablehinge.bench;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.ZoneOffset;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sablehinge.cli.LocalBalancers;
import sablehinge.common.mapping.Mapping;
import sablehinge.tools.audit.Audit;
import sablehinge.tools.audit.AuditRulesFile;
import sablehinge.tools.audit.Recorder;
import sablehinge.tools.audit.judge.Evidence.ClientAttempt;
import sablehinge.tools.audit.judge.Evidence.How;
import sablehinge.tools.audit.judge.Evidence.ServerAttempt;
import sablehinge.tools.replay.LogOptions;
import sablehinge.tools.replay.Logs;
import sablehinge.tools.replay.SampleDay;
import sablehinge.tools.replay.run.ClassPlan;
import sablehinge.tools.replay.run.Keys;
import sablehinge.tools.replay.run.Load;
import sablehinge.tools.replay.run.LoadResult;
import sablehinge.tools.replay.schedule.ReplayClient;
import sablehinge.tools.replay.schedule.ReplaySchedule;
import sablehinge.tools.standin.AuditTerms;
import sablehinge.tools.standin.Fleet;
import sablehinge.tools.standin.scenario.Scenario;
import sablehinge.tools.standin.scenario.ScenarioFile;

/** A made-up day whose truth is known, replayed against stand-ins behind balancers, and judged. */
public final class ReplayRehearsal {

    private static final String SCENARIO =
            """
            seed = %d
            zones = ["a"]
            warm-up = "%s"
            [[class]]
            name = "tile-order"
            effect = "keyed"
            group = "all"
            window = "4s"
            work = "0.2ms"
            [[class]]
            name = "credit-spend"
            effect = "unsafe"
            work = "0.2ms"
            [[class]]
            name = "tile"
            effect = "safe"
            work = "0.1ms"
            [[tier]]
            name = "front"
            servers = 8
            balancers = %d
            cores = 8
            slots = 400
            """;

    private static final int TOP_KEYS = 100;

    /** How far what was received is from what was requested, and how well retries were distinguished from requests. */
    public record Result(
            double classError,
            double keyError,
            long foldedTrue,
            long foldedFalse,
            long foldedMissed,
            long logLines,
            Audit audit) {}

    private ReplayRehearsal() {}

    /** The scenario of a seed with so many balancers. */
    static String scenario(long seed, int balancers, String warmUp) {
        return SCENARIO.formatted(seed, warmUp, balancers);
    }

    /** Writes a day into a folder. */
    static SampleDay write(Path folder, SampleDay.Terms terms) throws IOException {
        SampleDay day = new SampleDay(terms);
        try (BufferedWriter out = Files.newBufferedWriter(folder.resolve("day.log"))) {
            day.write(out);
        }
        return day;
    }

    /** Plays a day within this process; its records stay in the folder. */
    public static LoadResult play(Path folder, long seed, double compress, int balancers, int lanes) throws Exception {
        ScenarioFile.Checked checked = ScenarioFile.parse(scenario(seed, balancers, "2s"));
        if (checked.scenario() == null) {
            throw new IllegalStateException(checked.problems().toString());
        }
        Recorder servers = new Recorder(folder.resolve("servers.jsonl.gz"));
        Recorder clients = new Recorder(folder.resolve("requests.jsonl.gz"));
        try (servers;
                clients;
                Fleet fleet =
                        new Fleet(checked.scenario(), new LocalBalancers(one -> {}), 2, servers::note, line -> {})) {
            fleet.start();
            LoadResult load =
                    send(fleet, checked.scenario(), folder.resolve("day.log"), clients, compress, lanes, seed);
            AuditRulesFile.write(folder, fleet.terms());
            return load;
        } finally {
            if (servers.dropped() + clients.dropped() > 0) {
                throw new IllegalStateException("the records have holes");
            }
        }
    }

    /**
     * Compares what servers received with what the day requested, and judges the run whose records are in the folder.
     */
    public static Result judge(Path folder, SampleDay day) throws IOException {
        Audit audit = Audit.of(folder);
        Mix mix = new Mix();
        Audit.read(folder.resolve("requests.jsonl.gz"), one -> {
            if (one instanceof ClientAttempt tried && !tried.txn().equals(tried.first())) {
                mix.firsts.put(tried.txn(), tried.first());
            }
        });
        Audit.read(folder.resolve("servers.jsonl.gz"), one -> {
            if (one instanceof ServerAttempt ran && ran.how() != How.CUT) {
                mix.add(ran);
            }
        });
        Map<String, Long> keys = new HashMap<>();
        day.keys().entrySet().stream()
                .sorted(Comparator.comparingLong(e -> -e.getValue()))
                .limit(TOP_KEYS)
                .forEach(e -> keys.put(Keys.number(e.getKey()), e.getValue()));
        Folding folding = new Folding();
        try (Logs logs =
                Logs.open(List.of(folder.resolve("day.log").toString()), InputStream.nullInputStream(), options())) {
            logs.listen(folding);
            while (logs.next() != null) {
                // The listener counts.
            }
        }
        return new Result(
                error(day.classes(), mix.classes),
                error(keys, mix.keys),
                folding.right,
                folding.wrong,
                day.retried() - folding.right,
                day.tries(),
                audit);
    }

    private static LogOptions options() {
        return LogOptions.usual(new Mapping(List.of())).withFormat(SampleDay.FORMAT, ZoneOffset.UTC, Map.of());
    }

    private static LoadResult send(
            Fleet fleet, Scenario scenario, Path log, Recorder clients, double compress, int lanes, long seed)
            throws IOException, InterruptedException {
        Map<String, ClassPlan> plans = new HashMap<>();
        scenario.classes()
                .forEach(part -> plans.put(
                        part.name(),
                        new ClassPlan(
                                AuditTerms.of(part.effect(), part.group(), part.window()),
                                part.aim(),
                                part.deadline())));
        try (Logs logs = Logs.open(List.of(log.toString()), InputStream.nullInputStream(), options())) {
            Load load = new Load(
                    new Load.Options(
                            fleet.entries(),
                            plans,
                            ReplayClient.Terms.usual(),
                            new ReplaySchedule.Terms(compress, 1, Double.NaN, Double.NaN, seed),
                            lanes,
                            4_000,
                            200,
                            seed),
                    clients::note);
            try {
                load.run(logs::next);
                return load.result(0);
            } finally {
                load.close();
            }
        }
    }

    /** The largest relative error of what was received. */
    private static double error(Map<String, Long> requested, Map<String, Long> received) {
        return requested.entrySet().stream()
                .mapToDouble(
                        e -> Math.abs(received.getOrDefault(e.getKey(), 0L) - e.getValue()) / (double) e.getValue())
                .max()
                .orElse(0);
    }

    /** What servers received, each request once. */
    private static final class Mix {
        final Map<String, String> firsts = new HashMap<>();
        final Set<Long> seen = new HashSet<>();
        final Map<String, Long> classes = new HashMap<>();
        final Map<String, Long> keys = new HashMap<>();

        void add(ServerAttempt ran) {
            if (seen.add(Long.parseUnsignedLong(firsts.getOrDefault(ran.txn(), ran.txn()), 16))) {
                classes.merge(ran.serviceClass(), 1L, Long::sum);
                keys.merge(ran.about(), 1L, Long::sum);
            }
        }
    }

    /** Compares what was folded with the truth, which the log has in place of the bytes. */
    private static final class Folding implements Logs.Tries {
        private long[] truth = new long[1 << 16];
        long right;
        long wrong;

        @Override
        public void tried(long number, long first, long bytes) {
            if (number == truth.length) {
                truth = Arrays.copyOf(truth, truth.length * 2);
            }
            truth[(int) number] = bytes;
            if (first != number) {
                if (truth[(int) first] == bytes) {
                    right++;
                } else {
                    wrong++;
                }
            }
        }
    }
}

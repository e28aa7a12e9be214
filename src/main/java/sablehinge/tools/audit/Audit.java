package sablehinge.tools.audit;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import java.util.stream.Stream;
import java.util.zip.GZIPInputStream;
import sablehinge.tools.audit.judge.AuditRules;
import sablehinge.tools.audit.judge.Breach;
import sablehinge.tools.audit.judge.Breach.Rule;
import sablehinge.tools.audit.judge.Evidence;
import sablehinge.tools.audit.judge.RuleChecker;

/** Joins what the parties of a run saw, and judges the four rules by it. */
public final class Audit {

    /** Breaches whose timelines are kept. */
    private static final int SHOWN = 100;

    private final Map<Rule, Long> byRule = new EnumMap<>(Rule.class);
    private final List<Breach> shown = new ArrayList<>();
    private final List<String> unreadable = new ArrayList<>();
    private long unreadableCount;
    private RuleChecker judge;

    private final int mostShown;

    private Audit(int mostShown) {
        this.mostShown = mostShown;
        for (Rule rule : Rule.values()) {
            byRule.put(rule, 0L);
        }
    }

    /** Evidence of one file, in its order. */
    private final class Source implements AutoCloseable {
        final Path file;
        final BufferedReader lines;
        long number;
        Evidence next;

        Source(Path file) throws IOException {
            this.file = file;
            InputStream raw = new BufferedInputStream(Files.newInputStream(file), 1 << 16);
            raw.mark(2);
            int magic = raw.read() | raw.read() << 8;
            raw.reset();
            lines = new BufferedReader(new InputStreamReader(
                    magic == 0x8b1f ? new GZIPInputStream(raw, 1 << 16) : raw, StandardCharsets.UTF_8));
            advance();
        }

        /** What can't be read is noted; a file that is cut off, as by a party's death, counts up to there. */
        void advance() {
            next = null;
            while (next == null) {
                String line;
                try {
                    line = lines.readLine();
                } catch (IOException e) {
                    // A party that was killed leaves its last lines half packed.
                    note(number + 1, "can't be read on from here: " + e.getMessage());
                    return;
                }
                if (line == null) {
                    return;
                }
                number++;
                try {
                    next = EvidenceLines.read(line);
                } catch (IllegalArgumentException e) {
                    note(number, e.getMessage());
                }
            }
        }

        private void note(long line, String message) {
            unreadableCount++;
            if (unreadable.size() < 10) {
                unreadable.add(file.getFileName() + ":" + line + ": " + message);
            }
        }

        @Override
        public void close() throws IOException {
            lines.close();
        }
    }

    /** Judges the run in a folder: its {@code terms.json} and all its {@code .jsonl} and {@code .jsonl.gz} files. */
    public static Audit of(Path folder) throws IOException {
        return of(folder, SHOWN);
    }

    /** The same, with up to so many breaches shown. */
    public static Audit of(Path folder, int mostShown) throws IOException {
        if (!Files.isDirectory(folder)) {
            throw new IOException(folder + ": is no folder, expected that of a run");
        }
        Audit audit = new Audit(mostShown);
        AuditRules terms = AuditRulesFile.read(folder);
        audit.judge = new RuleChecker(terms, audit::breach);
        List<Source> sources = new ArrayList<>();
        try {
            for (Path file : files(folder)) {
                sources.add(audit.new Source(file));
            }
            PriorityQueue<Source> heads = new PriorityQueue<>(Comparator.comparingDouble(source -> source.next.at()));
            sources.stream().filter(source -> source.next != null).forEach(heads::add);
            while (!heads.isEmpty()) {
                Source first = heads.poll();
                audit.judge.take(first.next);
                first.advance();
                if (first.next != null) {
                    heads.add(first);
                }
            }
        } finally {
            for (Source source : sources) {
                source.close();
            }
        }
        audit.judge.end();
        return audit;
    }

    private static List<Path> files(Path folder) throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.filter(file -> file.toString().endsWith(".jsonl")
                            || file.toString().endsWith(".jsonl.gz"))
                    .sorted()
                    .toList();
        }
    }

    /** Hands over what stands in one file, in its order; how many lines could not be read. */
    public static long read(Path file, Consumer<Evidence> reader) throws IOException {
        Audit audit = new Audit(SHOWN);
        try (Source source = audit.new Source(file)) {
            while (source.next != null) {
                reader.accept(source.next);
                source.advance();
            }
        }
        return audit.unreadableCount;
    }

    private void breach(Breach breach) {
        byRule.merge(breach.rule(), 1L, Long::sum);
        if (shown.size() < mostShown) {
            shown.add(breach);
        }
    }

    /** Tries that were judged. */
    public long requests() {
        return judge.requests();
    }

    /** How many breaches there were, of all rules. */
    public long breaches() {
        return byRule.values().stream().mapToLong(Long::longValue).sum();
    }

    /** How many of one rule. */
    public long breaches(Rule rule) {
        return byRule.get(rule);
    }

    /** The first breaches. */
    public List<Breach> shown() {
        return List.copyOf(shown);
    }

    /** Requests that one party saw and another, whose record ought to be complete, did not. */
    public long unexplained() {
        return judge.unexplained();
    }

    /** All of it, as JSON. */
    public ObjectNode json() {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("requests", requests());
        ObjectNode rules = json.putObject("breaches");
        byRule.forEach((rule, count) -> rules.put(name(rule), count));
        json.put("unexplained", unexplained())
                .put("judged_early", judge.early())
                .put("unreadable", unreadableCount);
        unreadable.forEach(json.putArray("first_unreadable")::add);
        ArrayNode list = json.putArray("first_breaches");
        for (Breach breach : shown) {
            ObjectNode one = list.addObject();
            one.put("rule", name(breach.rule())).put("request", breach.txn()).put("what", breach.what());
            breach.timeline().forEach(evidence -> one.withArray("timeline").add(line(evidence)));
        }
        return json;
    }

    private static String name(Rule rule) {
        return rule.name().toLowerCase(Locale.ROOT);
    }

    private static String line(Evidence evidence) {
        StringWriter text = new StringWriter();
        try {
            EvidenceLines.write(evidence, text);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return text.toString().strip();
    }

    /** All of it, for people. */
    public void print(PrintWriter out) {
        out.printf(Locale.ROOT, "%,d requests judged by what callers and servers saw%n", requests());
        out.printf(Locale.ROOT, "  one final answer in time    %,d breaches%n", breaches(Rule.ANSWER));
        out.printf(Locale.ROOT, "  no effect twice             %,d breaches%n", breaches(Rule.EFFECT));
        out.printf(Locale.ROOT, "  drains kept                 %,d breaches%n", breaches(Rule.DRAIN));
        out.printf(Locale.ROOT, "  no cold server pushed over  %,d breaches%n", breaches(Rule.COLD));
        out.printf(Locale.ROOT, "  unexplained                 %,d%n", unexplained());
        if (judge.early() > 0) {
            out.printf(Locale.ROOT, "  judged before all was in    %,d%n", judge.early());
        }
        if (unreadableCount > 0) {
            out.printf(Locale.ROOT, "  lines that can't be read    %,d%n", unreadableCount);
            unreadable.forEach(line -> out.println("    " + line));
        }
        for (Breach breach : shown.subList(0, Math.min(10, shown.size()))) {
            out.printf("%n%s: %s: %s%n", name(breach.rule()), breach.txn(), breach.what());
            double from =
                    breach.timeline().stream().mapToDouble(Evidence::at).min().orElse(0);
            breach.timeline()
                    .forEach(evidence ->
                            out.printf(Locale.ROOT, "  %+10.1f ms  %s%n", evidence.at() - from, line(evidence)));
        }
        out.flush();
    }
}

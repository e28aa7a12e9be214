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

/** Merges the evidence of all parties of a run and checks the four rules against it. */
public final class Audit {

    /** Maximum number of breaches whose timelines are retained. */
    private static final int MAX_SHOWN = 100;

    private final Map<Rule, Long> countByRule = new EnumMap<>(Rule.class);
    private final List<Breach> shown = new ArrayList<>();
    private final List<String> unreadableLines = new ArrayList<>();
    private long unreadableCount;
    private RuleChecker checker;

    private final int maxShown;

    private Audit(int maxShown) {
        this.maxShown = maxShown;
        for (Rule rule : Rule.values()) {
            countByRule.put(rule, 0L);
        }
    }

    /** The evidence of one file, in the order of its lines. */
    private final class Source implements AutoCloseable {
        final Path file;
        final BufferedReader lines;
        long lineNumber;
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

        /**
         * Reads the next evidence. Malformed lines are reported and skipped; a truncated file, such as that of a killed
         * process, is read up to the truncation.
         */
        void advance() {
            next = null;
            while (next == null) {
                String line;
                try {
                    line = lines.readLine();
                } catch (IOException e) {
                    // A killed process leaves an incomplete gzip stream.
                    addUnreadable(lineNumber + 1, "can't be read on from here: " + e.getMessage());
                    return;
                }
                if (line == null) {
                    return;
                }
                lineNumber++;
                try {
                    next = EvidenceLines.read(line);
                } catch (IllegalArgumentException e) {
                    addUnreadable(lineNumber, e.getMessage());
                }
            }
        }

        private void addUnreadable(long line, String message) {
            unreadableCount++;
            if (unreadableLines.size() < 10) {
                unreadableLines.add(file.getFileName() + ":" + line + ": " + message);
            }
        }

        @Override
        public void close() throws IOException {
            lines.close();
        }
    }

    /** Audits the run in a folder: its {@code terms.json} and all its {@code .jsonl} and {@code .jsonl.gz} files. */
    public static Audit of(Path folder) throws IOException {
        return of(folder, MAX_SHOWN);
    }

    /** Audits the run in a folder and retains up to {@code maxShown} breaches with their timelines. */
    public static Audit of(Path folder, int maxShown) throws IOException {
        if (!Files.isDirectory(folder)) {
            throw new IOException(folder + ": is no folder, expected that of a run");
        }
        Audit audit = new Audit(maxShown);
        AuditRules rules = AuditRulesFile.read(folder);
        audit.checker = new RuleChecker(rules, audit::breach);
        List<Source> sources = new ArrayList<>();
        try {
            for (Path file : files(folder)) {
                sources.add(audit.new Source(file));
            }
            PriorityQueue<Source> heads = new PriorityQueue<>(Comparator.comparingDouble(source -> source.next.at()));
            sources.stream().filter(source -> source.next != null).forEach(heads::add);
            while (!heads.isEmpty()) {
                Source first = heads.poll();
                audit.checker.add(first.next);
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
        audit.checker.end();
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

    /**
     * Passes the evidence of one file to the reader, in the order of its lines; returns the number of unreadable lines.
     */
    public static long read(Path file, Consumer<Evidence> reader) throws IOException {
        Audit audit = new Audit(MAX_SHOWN);
        try (Source source = audit.new Source(file)) {
            while (source.next != null) {
                reader.accept(source.next);
                source.advance();
            }
        }
        return audit.unreadableCount;
    }

    private void breach(Breach breach) {
        countByRule.merge(breach.rule(), 1L, Long::sum);
        if (shown.size() < maxShown) {
            shown.add(breach);
        }
    }

    /** The number of client attempts that were checked. */
    public long requests() {
        return checker.requests();
    }

    /** The number of breaches of all rules. */
    public long breaches() {
        return countByRule.values().stream().mapToLong(Long::longValue).sum();
    }

    /** The number of breaches of one rule. */
    public long breaches(Rule rule) {
        return countByRule.get(rule);
    }

    /** The first breaches, with their timelines. */
    public List<Breach> shown() {
        return List.copyOf(shown);
    }

    /** Requests that one party recorded and another party, whose record should be complete, did not. */
    public long unexplained() {
        return checker.unexplained();
    }

    /** The result as JSON. */
    public ObjectNode json() {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("requests", requests());
        ObjectNode rules = json.putObject("breaches");
        countByRule.forEach((rule, count) -> rules.put(lowerCaseName(rule), count));
        json.put("unexplained", unexplained())
                .put("judged_early", checker.checkedEarly())
                .put("unreadable", unreadableCount);
        unreadableLines.forEach(json.putArray("first_unreadable")::add);
        ArrayNode list = json.putArray("first_breaches");
        for (Breach breach : shown) {
            ObjectNode entry = list.addObject();
            entry.put("rule", lowerCaseName(breach.rule()))
                    .put("request", breach.txn())
                    .put("what", breach.what());
            breach.timeline().forEach(evidence -> entry.withArray("timeline").add(line(evidence)));
        }
        return json;
    }

    private static String lowerCaseName(Rule rule) {
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

    /** Prints the result as text. */
    public void print(PrintWriter out) {
        out.printf(Locale.ROOT, "%,d requests judged by what callers and servers saw%n", requests());
        out.printf(Locale.ROOT, "  one final answer in time    %,d breaches%n", breaches(Rule.ANSWER));
        out.printf(Locale.ROOT, "  no effect twice             %,d breaches%n", breaches(Rule.EFFECT));
        out.printf(Locale.ROOT, "  drains kept                 %,d breaches%n", breaches(Rule.DRAIN));
        out.printf(Locale.ROOT, "  no cold server pushed over  %,d breaches%n", breaches(Rule.COLD));
        out.printf(Locale.ROOT, "  unexplained                 %,d%n", unexplained());
        if (checker.checkedEarly() > 0) {
            out.printf(Locale.ROOT, "  judged before all was in    %,d%n", checker.checkedEarly());
        }
        if (unreadableCount > 0) {
            out.printf(Locale.ROOT, "  lines that can't be read    %,d%n", unreadableCount);
            unreadableLines.forEach(line -> out.println("    " + line));
        }
        for (Breach breach : shown.subList(0, Math.min(10, shown.size()))) {
            out.printf("%n%s: %s: %s%n", lowerCaseName(breach.rule()), breach.txn(), breach.what());
            double from =
                    breach.timeline().stream().mapToDouble(Evidence::at).min().orElse(0);
            breach.timeline()
                    .forEach(evidence ->
                            out.printf(Locale.ROOT, "  %+10.1f ms  %s%n", evidence.at() - from, line(evidence)));
        }
        out.flush();
    }
}

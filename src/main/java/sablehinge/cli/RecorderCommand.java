package sablehinge.cli;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import sablehinge.gateway.recorder.Dump;
import sablehinge.gateway.recorder.Timeline;
import sablehinge.gateway.recorder.Timeline.Step;
import sablehinge.gateway.recorder.TimelinePage;

/** Creates and shows dumps of a balancer's flight recorder. */
@Command(
        name = "recorder",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Versions.class,
        description = "Has a running balancer dump its flight recorder, and shows or compares dumps.",
        subcommands = {RecorderCommand.DumpNow.class, RecorderCommand.Show.class, RecorderCommand.Diff.class})
final class RecorderCommand implements Callable<Integer> {

    private static final JsonMapper JSON = new JsonMapper();

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        throw new ParameterException(spec.commandLine(), "expected one of dump, show, diff");
    }

    /** Requests a dump from a running balancer. */
    @Command(
            name = "dump",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Versions.class,
            description = "Has a running balancer write what its recorder holds now; prints where.")
    static final class DumpNow extends ConfigCommand.AdminVerb {

        @Override
        public Integer call() throws IOException {
            return call("POST", "/recorder/dump", null, body -> out().println(
                            body.path("path").asText()));
        }
    }

    /** The common options of commands that read dumps. */
    abstract static class DumpReadingVerb extends Commands.Verb {

        @Option(names = "--json", description = "Print JSON: a line for each event.")
        private boolean json;

        final boolean json() {
            return json;
        }

        /** Reads the timeline of a dump; prints the error and returns null if the file is not a dump. */
        final Timeline read(Path file) {
            try {
                return new Timeline(Dump.read(Files.readAllBytes(file)));
            } catch (IOException e) {
                err().println("sablehinge: " + file + ": " + Commands.message(e));
                err().flush();
                return null;
            }
        }
    }

    /** Shows a dump. */
    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Versions.class,
            description = "Shows a dump as a time line: of a request, of a connection or of all. Exits with 2"
                    + " if the file is no dump.")
    static final class Show extends DumpReadingVerb {

        @Parameters(paramLabel = "FILE", description = "The dump.")
        private Path file;

        @Option(names = "--request", paramLabel = "N", description = "Only this request, by its number.")
        private long request;

        @Option(names = "--connection", paramLabel = "N", description = "Only this connection, by its number.")
        private int connection;

        @Option(
                names = "--page",
                paramLabel = "OUT",
                description = "Write a page there that draws each connection over time.")
        private Path page;

        @Override
        public Integer call() throws IOException {
            Timeline timeline = read(file);
            if (timeline == null) {
                return Commands.BAD_INPUT;
            }
            if (page != null) {
                Files.writeString(page, TimelinePage.of(timeline));
                out().println(page);
                return 0;
            }
            Dump dump = timeline.dump();
            if (!json()) {
                out().printf(
                                "%s at %s: %s, %s%n",
                                dump.node(), Instant.ofEpochMilli(dump.atMillis()), dump.reason(), dump.detail());
                out().printf(
                                "%d events, %d older ones overwritten%n",
                                dump.events().size(), dump.lost());
                if (!dump.stack().isEmpty()) {
                    out().println("the loop's thread:\n  " + dump.stack().replace("\n", "\n  "));
                }
                out().printf("%12s  %-14s %10s %9s %s%n", "ms", "event", "connection", "request", "value");
            }
            timeline.steps(request, connection).forEach(this::print);
            out().flush();
            return 0;
        }

        private void print(Step step) {
            Dump.Event event = step.event();
            if (json()) {
                ObjectNode line =
                        JSON.createObjectNode().put("ms", step.millis()).put("event", event.name());
                if (event.connection() != 0) {
                    line.put("connection", event.connection());
                }
                if (step.exchange() != 0) {
                    line.put("request", step.exchange());
                }
                if (!event.of().isEmpty()) {
                    line.put(event.of(), event.value());
                }
                out().println(line);
            } else {
                out().printf(
                                "%12.3f  %-14s %10s %9s %s%n",
                                step.millis(),
                                event.name(),
                                event.connection() == 0 ? "" : Integer.toString(event.connection()),
                                step.exchange() == 0 ? "" : Long.toString(step.exchange()),
                                event.of().isEmpty() ? "" : event.of() + " " + event.value());
            }
        }
    }

    /** Compares two dumps. */
    @Command(
            name = "diff",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Versions.class,
            description = "Compares two dumps: how often each event happened a second, and the largest "
                    + "amounts; what differs most comes first. Exits with 2 if a file is no dump.")
    static final class Diff extends DumpReadingVerb {

        @Parameters(index = "0", paramLabel = "FILE", description = "A dump.")
        private Path firstFile;

        @Parameters(index = "1", paramLabel = "OTHER", description = "Another.")
        private Path secondFile;

        /** A figure of both dumps; a ratio of 1 means that the dumps do not differ. */
        private record Row(String name, String figure, double first, double second) {

            double ratio() {
                double min = Math.min(first, second);
                double max = Math.max(first, second);
                return max == 0 ? 1 : min <= 0 ? Double.POSITIVE_INFINITY : max / min;
            }
        }

        @Override
        public Integer call() {
            Timeline first = read(firstFile);
            Timeline second = read(secondFile);
            if (first == null || second == null) {
                return Commands.BAD_INPUT;
            }
            List<Row> rows = new ArrayList<>();
            rows(rows, "a second", first.rates(), second.rates());
            rows(rows, "at most", first.peaks(), second.peaks());
            rows.sort(Comparator.comparingDouble(Row::ratio).reversed().thenComparing(Row::name));
            if (!json()) {
                out().printf("%-16s %-9s %14s %14s %8s%n", "event", "", "first", "second", "ratio");
            }
            rows.forEach(this::print);
            out().flush();
            return 0;
        }

        private static void rows(
                List<Row> rows,
                String figure,
                Map<String, ? extends Number> first,
                Map<String, ? extends Number> second) {
            TreeSet<String> names = new TreeSet<>(first.keySet());
            names.addAll(second.keySet());
            for (String name : names) {
                rows.add(new Row(name, figure, value(first, name), value(second, name)));
            }
        }

        private static double value(Map<String, ? extends Number> values, String name) {
            return values.containsKey(name) ? values.get(name).doubleValue() : 0;
        }

        private void print(Row row) {
            if (json()) {
                out().println(JSON.createObjectNode()
                        .put("event", row.name())
                        .put("what", row.figure())
                        .put("first", row.first())
                        .put("second", row.second()));
            } else {
                out().printf(
                                "%-16s %-9s %14.1f %14.1f %8s%n",
                                row.name(),
                                row.figure(),
                                row.first(),
                                row.second(),
                                Double.isInfinite(row.ratio()) ? "only one" : String.format("%.2f", row.ratio()));
            }
        }
    }
}

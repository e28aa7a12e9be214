package sablehinge.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import sablehinge.common.mapping.Mapping;
import sablehinge.gateway.config.operator.OperatorConfig.ClassPart;
import sablehinge.gateway.config.operator.OperatorConfig.ReplayPart;
import sablehinge.gateway.config.operator.OperatorFile;
import sablehinge.tools.replay.Inspection;
import sablehinge.tools.replay.LogOptions;
import sablehinge.tools.replay.Logs;

/** Replays access logs as load. */
@Command(
        name = "replay",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Versions.class,
        description = "Reads HAR files and access logs: what is in them, or the same load once more.",
        subcommands = {ReplayCommand.Inspect.class, ReplayRun.class})
final class ReplayCommand implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        throw new ParameterException(spec.commandLine(), "expected a verb: inspect or run");
    }

    /** The common options of both commands: the log files and their format. */
    abstract static class LogVerb extends Commands.Verb {

        @Parameters(
                arity = "1..*",
                paramLabel = "FILE",
                description = "Logs or HAR files, plain or packed with " + "gzip or zstd; - for standard input.")
        private List<String> files;

        @Option(
                names = "--rules",
                paramLabel = "OPERATOR.toml",
                description = "The operator file with [replay]: "
                        + "how the logs are written, and what their requests are. It may hold nothing else.")
        private Path rules;

        @Option(
                names = "--format",
                paramLabel = "FORMAT",
                description = "auto, common, combined, haproxy, har, "
                        + "json, or an nginx log_format as it stands in its file. Default: that of the rules, or "
                        + "auto.")
        private String format;

        @Option(
                names = "--zone",
                paramLabel = "ZONE",
                description = "The zone of times that name none. Default: that of the rules, or UTC.")
        private String zone;

        @Option(
                names = "--field",
                paramLabel = "NAME=PATH",
                description = "For json: where a thing stands, "
                        + "such as time=ts or status=response.code. Default: the usual names.")
        private Map<String, String> fields = new HashMap<>();

        @Option(names = "--strict", description = "Stop at the first line that can't be read.")
        private boolean strict;

        @Option(
                names = "--seed",
                paramLabel = "N",
                description = "Of what is drawn, such as the places of " + "requests within a second. Default: 1.")
        private long seed = 1;

        private List<ClassPart> classes = List.of();

        final long seed() {
            return seed;
        }

        /** The classes of the rules file; available once the logs are open. */
        final List<ClassPart> classes() {
            return classes;
        }

        final List<String> files() {
            return files;
        }

        /** Opens the logs; prints the errors and returns null if the rules file has errors. */
        final Logs open() throws IOException {
            ReplayPart replay = new ReplayPart("auto", ZoneOffset.UTC, Map.of(), List.of());
            if (rules != null) {
                OperatorFile.CheckedReplay checked = OperatorFile.readReplay(rules);
                if (checked.replay() == null) {
                    printProblems(rules, checked.problems());
                    return null;
                }
                replay = checked.replay();
                classes = checked.classes();
            }
            Map<String, String> allFields = new HashMap<>(replay.fields());
            allFields.putAll(fields);
            ZoneId timeZone = replay.zone();
            try {
                timeZone = zone == null ? timeZone : ZoneId.of(zone);
            } catch (DateTimeException e) {
                throw misuse("--zone: '" + zone + "' is no zone of time, expected one such as Africa/Dakar");
            }
            LogOptions options = LogOptions.usual(new Mapping(replay.rules()))
                    .with(strict, seed)
                    .withFormat(format == null ? replay.format() : format, timeZone, allFields);
            try {
                return Logs.open(new ArrayList<>(files), System.in, options);
            } catch (IllegalArgumentException e) {
                throw misuse(e.getMessage());
            }
        }
    }

    /** Summarizes the contents of logs. */
    @Command(
            name = "inspect",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Versions.class,
            description = "Tells what is in logs: requests, rate over time, classes, keys, and what was "
                    + "folded, unplaced, unmatched or unreadable. Exits with 2 if a file can't be read.")
    static final class Inspect extends LogVerb {

        @Option(names = "--json", description = "Print it as JSON.")
        private boolean json;

        @Override
        public Integer call() {
            try (Logs logs = open()) {
                if (logs == null) {
                    return Commands.BAD_INPUT;
                }
                Inspection inspection = Inspection.of(logs);
                if (json) {
                    out().println(inspection.json());
                } else {
                    inspection.print(out());
                }
                return 0;
            } catch (IOException e) {
                err().println("sablehinge: " + Commands.message(e));
                return Commands.BAD_INPUT;
            }
        }
    }
}

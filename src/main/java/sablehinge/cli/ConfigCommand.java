package sablehinge.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.difflib.DiffUtils;
import com.github.difflib.UnifiedDiffUtils;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import sablehinge.cli.AdminClient.Answer;
import sablehinge.gateway.config.operator.OperatorFile;
import sablehinge.gateway.config.operator.Problem;

/** Changes the configuration of a running balancer in a transaction: stage, apply, confirm or roll back. */
@Command(
        name = "config",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Versions.class,
        description = "Changes the configuration of a running balancer: stage a file, look at the difference,"
                + " apply it, confirm it; what is not confirmed in time, or fails, is undone.",
        subcommands = {
            ConfigCommand.Stage.class,
            ConfigCommand.Diff.class,
            ConfigCommand.Apply.class,
            ConfigCommand.Confirm.class,
            ConfigCommand.Rollback.class,
            ConfigCommand.Drop.class,
            ConfigCommand.Status.class
        })
final class ConfigCommand implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        throw new ParameterException(
                spec.commandLine(), "expected one of stage, diff, apply, confirm, rollback, drop, status");
    }

    /** The options that locate a running balancer's admin listener. */
    static final class AdminAddress {

        @Option(
                names = "--operator",
                paramLabel = "FILE",
                description =
                        "The operator file of the running " + "balancer, which tells where its admin listener is.")
        private Path operator;

        @Option(
                names = "--admin",
                paramLabel = "SOCKET|HOST:PORT",
                description = "Its admin listener: the path "
                        + "of a Unix socket or a loopback port. Default: sablehinge-state/admin.sock.")
        private String admin;
    }

    /** The common options of commands that call the admin listener. */
    abstract static class AdminVerb extends Commands.Verb {

        @ArgGroup
        private AdminAddress address = new AdminAddress();

        @Option(names = "--token-file", paramLabel = "FILE", description = "The file of the token for a port.")
        private Path tokenFile;

        @Option(names = "--json", description = "Print the balancer's answer as JSON.")
        private boolean json;

        private AdminClient client() throws IOException {
            String admin = address == null ? null : address.admin;
            Path token = tokenFile;
            if (admin == null && address != null && address.operator != null) {
                OperatorFile.Checked checked = OperatorFile.read(address.operator);
                Path folder = address.operator.toAbsolutePath().getParent();
                if (checked.config() == null) {
                    // The running balancer may serve an earlier, valid file; the default address is used.
                    admin = folder.resolve("sablehinge-state/admin.sock").toString();
                } else if (checked.config().admin().listen() == null) {
                    admin = folder.resolve(checked.config().node().state())
                            .resolve(checked.config().admin().socket())
                            .toString();
                } else {
                    admin = checked.config().admin().listen().getAddress().getHostAddress() + ":"
                            + checked.config().admin().listen().getPort();
                    token = token == null
                            ? folder.resolve(checked.config().admin().tokenFile())
                            : token;
                }
            }
            return new AdminClient(
                    admin == null ? "sablehinge-state/admin.sock" : admin,
                    token == null ? null : Files.readString(token).strip());
        }

        /** Calls the balancer; {@code output} prints a successful answer. */
        final int call(String method, String target, byte[] body, Consumer<JsonNode> output) throws IOException {
            Answer answer = client().call(method, target, body);
            if (json) {
                out().println(answer.body().toPrettyString());
            } else if (answer.status() == 200) {
                output.accept(answer.body());
            } else if (answer.body().has("problems")) {
                List<Problem> problems = new ArrayList<>();
                answer.body()
                        .path("problems")
                        .forEach(problem -> problems.add(new Problem(
                                problem.path("line").asInt(),
                                problem.path("key").asText(),
                                problem.path("message").asText())));
                printProblems(file(), problems);
            } else {
                err().println("sablehinge: " + answer.body().path("error").asText("status " + answer.status()));
            }
            out().flush();
            err().flush();
            return answer.status() == 200 ? 0 : answer.status() == 422 ? Commands.BAD_INPUT : Commands.REFUSED;
        }

        final JsonNode fetch(String target) throws IOException {
            Answer answer = client().call("GET", target, null);
            if (answer.status() != 200) {
                throw new IOException(answer.body().path("error").asText("status " + answer.status()));
            }
            return answer.body();
        }

        Path file() {
            return Path.of("file");
        }

        /** The requested staged version; the newest staged version if {@code requested} is 0. */
        final int staged(int requested) throws IOException {
            if (requested != 0) {
                return requested;
            }
            int newest = 0;
            for (var names = fetch("/config/status").path("staged").fieldNames(); names.hasNext(); ) {
                newest = Math.max(newest, Integer.parseInt(names.next()));
            }
            if (newest == 0) {
                throw new IOException("no version is staged");
            }
            return newest;
        }
    }

    /** Stages a file as a version. */
    @Command(
            name = "stage",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Versions.class,
            description = "Checks a file and puts it down as a version, without applying it.")
    static final class Stage extends AdminVerb {

        @Parameters(paramLabel = "FILE", description = "The file.")
        private Path file;

        @Option(
                names = "--base",
                paramLabel = "VERSION",
                description = "The version that the file was made from; "
                        + "refused if that is no longer the confirmed one. Default: the confirmed one.")
        private int base;

        @Override
        Path file() {
            return file;
        }

        @Override
        public Integer call() throws IOException {
            byte[] content;
            try {
                content = OperatorFile.bytes(file);
            } catch (IOException e) {
                printProblems(file, List.of(new Problem(0, "", e.getMessage())));
                return Commands.BAD_INPUT;
            }
            return call("POST", "/config/stage?base=" + base, content, output -> out().println(
                            "version " + output.path("version").asInt() + " is staged"));
        }
    }

    /** Shows the difference between a staged version and the confirmed version. */
    @Command(
            name = "diff",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Versions.class,
            description = "Shows what a staged version would change in the confirmed one.")
    static final class Diff extends AdminVerb {

        @Parameters(paramLabel = "VERSION", arity = "0..1", description = "Default: the newest staged one.")
        private int version;

        @Override
        public Integer call() throws IOException {
            JsonNode staged = fetch("/config/content?version=" + staged(version));
            JsonNode confirmed = fetch("/config/content");
            List<String> before = confirmed.path("content").asText().lines().toList();
            List<String> after = staged.path("content").asText().lines().toList();
            UnifiedDiffUtils.generateUnifiedDiff(
                            "version " + confirmed.path("version").asInt(),
                            "version " + staged.path("version").asInt(),
                            before,
                            DiffUtils.diff(before, after),
                            3)
                    .forEach(out()::println);
            out().flush();
            return 0;
        }
    }

    /** Applies a staged version. */
    @Command(
            name = "apply",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Versions.class,
            description = "Applies a staged version. It is on trial until it is confirmed, and undone if"
                    + " that doesn't come in time.")
    static final class Apply extends AdminVerb {

        private static final Pattern TIME = Pattern.compile("([0-9]{1,6})(ms|s|m)");

        @Parameters(paramLabel = "VERSION", arity = "0..1", description = "Default: the newest staged one.")
        private int version;

        @Option(
                names = "--confirm-within",
                paramLabel = "TIME",
                description = "Such as 30s. Default: what the " + "version's file says under change.confirm-within.")
        private String within;

        @Option(names = "--auto", description = "Confirm it by itself if it stands its trial.")
        private boolean automatic;

        @Override
        public Integer call() throws IOException {
            long millis = 0;
            if (within != null) {
                Matcher time = TIME.matcher(within);
                if (!time.matches()) {
                    throw misuse("--confirm-within: expected a time such as 30s, found " + within);
                }
                millis = Long.parseLong(time.group(1))
                        * (time.group(2).equals("ms") ? 1 : time.group(2).equals("s") ? 1_000 : 60_000);
            }
            return call(
                    "POST",
                    "/config/apply?version=" + staged(version) + "&confirm_within_ms=" + millis + "&automatic="
                            + automatic,
                    null,
                    output -> out().println("version "
                            + output.path("current").asInt() + " is on trial for "
                            + output.path("change").path("ends_in_ms").asLong() / 1_000 + " s; then it is "
                            + (automatic ? "confirmed" : "undone, unless it is confirmed")));
        }
    }

    /** Confirms the version that is on trial. */
    @Command(
            name = "confirm",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Versions.class,
            description = "Keeps the version that is on trial.")
    static final class Confirm extends AdminVerb {

        @Parameters(paramLabel = "VERSION", arity = "0..1", description = "Default: the one on trial.")
        private int version;

        @Override
        public Integer call() throws IOException {
            return call("POST", "/config/confirm?version=" + version, null, output -> out().println(
                            "version " + output.path("confirmed").asInt() + " is confirmed"));
        }
    }

    /** Rolls back the current change. */
    @Command(
            name = "rollback",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Versions.class,
            description = "Undoes the change that is under way, at once.")
    static final class Rollback extends AdminVerb {

        @Override
        public Integer call() throws IOException {
            return call("POST", "/config/rollback", null, output -> out().println(
                            output.path("message").asText()));
        }
    }

    /** Deletes a staged version. */
    @Command(
            name = "drop",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Versions.class,
            description = "Forgets a staged version.")
    static final class Drop extends AdminVerb {

        @Parameters(paramLabel = "VERSION", description = "The version.")
        private String version;

        @Override
        public Integer call() throws IOException {
            return call(
                    "POST",
                    "/config/drop?version=" + URLEncoder.encode(version, StandardCharsets.UTF_8),
                    null,
                    output -> out().println(output.path("message").asText()));
        }
    }

    /** Shows which version serves, and the state of changes. */
    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Versions.class,
            description = "Tells which version serves, what is on trial or staged and how changes ended.")
    static final class Status extends AdminVerb {

        @Override
        public Integer call() throws IOException {
            return call("GET", "/config/status", null, output -> {
                out().println("current    version " + output.path("current").asInt());
                out().println("confirmed  version " + output.path("confirmed").asInt());
                JsonNode change = output.path("change");
                out().println("change     "
                        + (change.has("version")
                                ? "version "
                                        + change.path("version").asInt()
                                        + ", " + change.path("phase").asText() + ", ends in "
                                        + change.path("ends_in_ms").asLong() + " ms"
                                : "none"));
                out().println("staged     " + (output.path("staged").isEmpty() ? "none" : output.path("staged")));
                output.path("past").forEach(past -> out().println("           version "
                        + past.path("version").asInt() + " "
                        + past.path("outcome").asText()
                        + (past.path("reason").asText().isEmpty()
                                ? ""
                                : ": " + past.path("reason").asText())));
                out().println("at work    " + output.path("requests_at_work").asLong() + " requests of "
                        + output.path("versions_at_work").asInt() + " versions");
            });
        }
    }
}

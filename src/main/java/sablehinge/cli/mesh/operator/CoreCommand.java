package sablehinge.cli.mesh.operator;

import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/** What all verbs have that call the core. */
public abstract class CoreCommand extends OperatorCommand {

    private static final Pattern ADDRESS = Pattern.compile("([\\w.-]+|\\[[0-9a-fA-F:.]+\\]):(\\d{1,5})");
    private static final int MAX_PORT = 65_535;
    private static final int MAX_ADDRESSES = 64;
    private static final long MAX_MS = 600_000;

    @Option(
            name = {"-c", "--core"},
            title = "HOST:PORT[,HOST:PORT...]",
            description =
                    "Control addresses of the core, any of them (default: those of the variable " + Shell.CORE + ")")
    private String core;

    @Option(
            name = {"-w", "--wait"},
            title = "MS",
            description = "For a clear answer, at most (default: 10000)")
    private long waitMs = 10_000;

    /** The addresses that were named. */
    final List<String> core() {
        String source = core != null ? "--core" : Shell.CORE;
        String given = core != null ? core : shell().core();
        if (given == null || given.isBlank()) {
            throw CommandException.input(
                    "NO_CORE", "--core", "control addresses of the core were expected, there or in " + Shell.CORE);
        }
        Set<String> addresses = new LinkedHashSet<>();
        for (String one : given.split(",", -1)) {
            var parts = ADDRESS.matcher(one.strip());
            if (!parts.matches()
                    || Integer.parseInt(parts.group(2)) > MAX_PORT
                    || Integer.parseInt(parts.group(2)) == 0) {
                throw CommandException.input(
                        "BAD_ADDRESS", source, "HOST:PORT was expected, found \"" + Shell.plain(one) + "\"");
            }
            addresses.add(one.strip());
        }
        if (addresses.size() > MAX_ADDRESSES) {
            throw CommandException.input(
                    "BAD_ADDRESS",
                    source,
                    MAX_ADDRESSES + " addresses at most were expected, found " + addresses.size());
        }
        return List.copyOf(addresses);
    }

    /** Calls the core, with all the time that was given from now on. */
    final CoreCaller caller() {
        if (waitMs < 1 || waitMs > MAX_MS) {
            throw CommandException.input("BAD_WAIT", "--wait", "1 to " + MAX_MS + " ms were expected, found " + waitMs);
        }
        return new CoreCaller(core(), shell(), waitMs);
    }

    /** What the core answers to a question. */
    final <T> T ask(String operation, Class<T> type) throws InterruptedException {
        CommandOutcome outcome = caller().call(HttpCaller.Request.get(operation));
        if (!outcome.isClear()) {
            throw outcome.unclear("the core has not told " + operation + " within " + waitMs + " ms");
        }
        if (!outcome.isDone()) {
            throw outcome.refusal();
        }
        return read(outcome.answer().body(), type, outcome.by());
    }

    static <T> T read(byte[] body, Class<T> type, String from) {
        try {
            return Json.read(body, type);
        } catch (IOException e) {
            throw new CommandException(
                    CommandException.Exit.UNCLEAR, "BAD_ANSWER", from, "the answer is not one of this system");
        }
    }
}

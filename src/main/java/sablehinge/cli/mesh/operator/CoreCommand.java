package sablehinge.cli.mesh.operator;

import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/** The base class of commands that call the core. */
public abstract class CoreCommand extends OperatorCommand {

    private static final Pattern ADDRESS = Pattern.compile("([\\w.-]+|\\[[0-9a-fA-F:.]+\\]):(\\d{1,5})");
    private static final int MAX_PORT = 65_535;
    private static final int MAX_ADDRESSES = 64;
    private static final long MAX_WAIT_MS = 600_000;

    @Option(
            name = {"-c", "--core"},
            title = "HOST:PORT[,HOST:PORT...]",
            description = "Control addresses of the core, any of them (default: those of the variable "
                    + CommandContext.CORE + ")")
    private String core;

    @Option(
            name = {"-w", "--wait"},
            title = "MS",
            description = "For a clear answer, at most (default: 10000)")
    private long waitMs = 10_000;

    /** The control addresses from the option or the environment. */
    final List<String> coreAddresses() {
        String source = core != null ? "--core" : CommandContext.CORE;
        String text = core != null ? core : context().coreEnvironment();
        if (text == null || text.isBlank()) {
            throw CommandException.badInput(
                    "NO_CORE",
                    "--core",
                    "control addresses of the core were expected, there or in " + CommandContext.CORE);
        }
        Set<String> addresses = new LinkedHashSet<>();
        for (String address : text.split(",", -1)) {
            var matcher = ADDRESS.matcher(address.strip());
            if (!matcher.matches()
                    || Integer.parseInt(matcher.group(2)) > MAX_PORT
                    || Integer.parseInt(matcher.group(2)) == 0) {
                throw CommandException.badInput(
                        "BAD_ADDRESS",
                        source,
                        "HOST:PORT was expected, found \"" + CommandContext.plain(address) + "\"");
            }
            addresses.add(address.strip());
        }
        if (addresses.size() > MAX_ADDRESSES) {
            throw CommandException.badInput(
                    "BAD_ADDRESS",
                    source,
                    MAX_ADDRESSES + " addresses at most were expected, found " + addresses.size());
        }
        return List.copyOf(addresses);
    }

    /** A caller whose time limit starts now. */
    final CoreCaller caller() {
        if (waitMs < 1 || waitMs > MAX_WAIT_MS) {
            throw CommandException.badInput(
                    "BAD_WAIT", "--wait", "1 to " + MAX_WAIT_MS + " ms were expected, found " + waitMs);
        }
        return new CoreCaller(coreAddresses(), context(), waitMs);
    }

    /** Queries the core and parses its answer. */
    final <T> T query(String operation, Class<T> type) throws InterruptedException {
        CommandOutcome outcome = caller().call(HttpCaller.Request.get(operation));
        if (!outcome.isClear()) {
            throw outcome.unclear("the core has not told " + operation + " within " + waitMs + " ms");
        }
        if (!outcome.isDone()) {
            throw outcome.refusal();
        }
        return read(outcome.answer().body(), type, outcome.answeredBy());
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

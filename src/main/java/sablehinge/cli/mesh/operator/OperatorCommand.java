package sablehinge.cli.mesh.operator;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.ExitCodes;
import java.util.LinkedHashMap;
import java.util.Map;

/** The base class of the operators' commands. */
@ExitCodes(
        codes = {0, 1, 2, 3},
        descriptions = {
            "done",
            "refused, with the code of the core",
            "the command line or a file is of no use; nothing was sent",
            "no clear answer in time, or nobody could be reached"
        })
public abstract class OperatorCommand implements MeshCommand {

    /** The exit status of a successful command. */
    static final int DONE = 0;

    @Option(
            name = {"-j", "--json"},
            description = "Print JSON")
    private boolean json;

    private CommandContext context;

    /** Sets the environment of the command; must be called before {@link #execute}. */
    public final void setContext(CommandContext newContext) {
        context = newContext;
    }

    final CommandContext context() {
        return context;
    }

    @Override
    public final int execute() throws InterruptedException {
        try {
            return run();
        } catch (CommandException e) {
            if (json) {
                Map<String, Object> error = new LinkedHashMap<>();
                error.put("exit", e.exit().status());
                error.put("code", e.code());
                error.put("place", e.place());
                error.put("message", e.getMessage());
                context.out().println(Json.text(Map.of("error", error)));
            }
            throw e;
        }
    }

    /** Runs the command and returns the exit status; throws {@link CommandException} on failure. */
    abstract int run() throws InterruptedException;

    /** Whether JSON was requested. */
    final boolean wantsJson() {
        return json;
    }

    /** Prints a value as JSON if that was requested, otherwise runs {@code printText}. */
    final void print(Object value, Runnable printText) {
        if (json) {
            context.out().println(Json.text(value));
        } else {
            printText.run();
        }
        context.out().flush();
    }

    /** Prints how many entries of a list were omitted, if any. */
    final void printTruncation(int more) {
        if (more > 0) {
            context.printLine("and " + more + " more");
        }
    }
}

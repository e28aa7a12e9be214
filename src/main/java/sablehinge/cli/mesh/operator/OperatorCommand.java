package sablehinge.cli.mesh.operator;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.ExitCodes;
import java.util.LinkedHashMap;
import java.util.Map;

/** What all of the operators' verbs have. */
@ExitCodes(
        codes = {0, 1, 2, 3},
        descriptions = {
            "done",
            "refused, with the code of the core",
            "the command line or a file is of no use; nothing was sent",
            "no clear answer in time, or nobody could be reached"
        })
public abstract class OperatorCommand implements MeshCommand {

    /** The exit status of a verb that has done what it was called for. */
    static final int DONE = 0;

    @Option(
            name = {"-j", "--json"},
            description = "Print JSON")
    private boolean json;

    private Shell shell;

    /** Gives it what it is surrounded by; before it acts. */
    public final void in(Shell its) {
        shell = its;
    }

    final Shell shell() {
        return shell;
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
                shell.out().println(Json.text(Map.of("error", error)));
            }
            throw e;
        }
    }

    /** Does it, and returns the exit status; what it can't do is a {@link CommandException}. */
    abstract int run() throws InterruptedException;

    /** Whether JSON was requested. */
    final boolean wantsJson() {
        return json;
    }

    /** Prints a value as JSON where that was requested, else as people like it. */
    final void print(Object value, Runnable forPeople) {
        if (json) {
            shell.out().println(Json.text(value));
        } else {
            forPeople.run();
        }
        shell.out().flush();
    }

    /** Tells that a list was cut. */
    final void left(int more) {
        if (more > 0) {
            shell.say("and " + more + " more");
        }
    }
}

package sablehinge.cli.mesh.operator;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.List;
import sablehinge.mesh.api.CheckException;
import sablehinge.mesh.api.CheckException.Problem;
import sablehinge.mesh.routing.Configuration;

/** Checks a configuration without a core. */
@Command(
        name = "check",
        description = "Checks a configuration as the core would, without calling it, and "
                + "names all problems that it finds with their places")
public final class ConfigCheckCommand extends OperatorCommand {

    @Required
    @Arguments(title = "FILE", description = "The configuration")
    private String file;

    /** Made by the command line. */
    public ConfigCheckCommand() {}

    /** What was found. */
    private record Found(
            String file, boolean valid, long edition, int routes, int services, int tenants, List<Problem> problems) {}

    @Override
    int run() {
        try {
            Configuration read = ConfigurationFile.read(file).configuration();
            print(
                    new Found(
                            file,
                            true,
                            read.edition(),
                            read.routes().size(),
                            read.services().size(),
                            read.tenants().size(),
                            List.of()),
                    () -> shell().say(file + ": edition " + read.edition()
                            + ", " + read.routes().size() + " routes, "
                            + read.services().size() + " services, "
                            + read.tenants().size() + " tenants; it can be taken where a lower edition is in force"));
            return DONE;
        } catch (CheckException e) {
            print(new Found(file, false, 0, 0, 0, 0, e.problems()), () -> e.problems()
                    .forEach(one ->
                            shell().say(file + ": " + one.place() + ": " + one.text() + " (" + one.code() + ")")));
            return CommandException.Exit.BAD_INPUT.status();
        }
    }
}

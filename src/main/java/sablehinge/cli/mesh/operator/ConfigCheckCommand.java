package sablehinge.cli.mesh.operator;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.List;
import sablehinge.mesh.api.CheckException;
import sablehinge.mesh.api.CheckException.Problem;
import sablehinge.mesh.routing.Configuration;

/** Checks a configuration file locally, without calling the core. */
@Command(
        name = "check",
        description = "Checks a configuration as the core would, without calling it, and "
                + "names all problems that it finds with their places")
public final class ConfigCheckCommand extends OperatorCommand {

    @Required
    @Arguments(title = "FILE", description = "The configuration")
    private String file;

    /** Called by the command line parser. */
    public ConfigCheckCommand() {}

    /** The result that is printed. */
    private record CheckResult(
            String file, boolean valid, long edition, int routes, int services, int tenants, List<Problem> problems) {}

    @Override
    int run() {
        try {
            Configuration configuration = ConfigurationFile.read(file).configuration();
            print(
                    new CheckResult(
                            file,
                            true,
                            configuration.edition(),
                            configuration.routes().size(),
                            configuration.services().size(),
                            configuration.tenants().size(),
                            List.of()),
                    () -> context()
                            .printLine(file + ": edition " + configuration.edition()
                                    + ", " + configuration.routes().size() + " routes, "
                                    + configuration.services().size() + " services, "
                                    + configuration.tenants().size()
                                    + " tenants; it can be taken where a lower edition is in force"));
            return DONE;
        } catch (CheckException e) {
            print(new CheckResult(file, false, 0, 0, 0, 0, e.problems()), () -> e.problems()
                    .forEach(problem -> context()
                            .printLine(file + ": " + problem.place() + ": " + problem.text() + " (" + problem.code()
                                    + ")")));
            return CommandException.Exit.BAD_INPUT.status();
        }
    }
}

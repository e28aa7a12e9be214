package sablehinge.cli;

import java.io.IOException;
import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sablehinge.tools.audit.Audit;

/** Audits the records of a run. */
@Command(
        name = "audit",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Versions.class,
        description = "Judges the four rules by what callers and servers of a run saw. Exits with 0 if "
                + "none was "
                + "broken, 1 if one was, 2 if the folder can't be read.")
final class AuditCommand extends Commands.Verb {

    @Parameters(paramLabel = "DIR", description = "The folder of the run: terms.json and records *.jsonl.gz.")
    private Path folder;

    @Option(names = "--json", description = "Print it as JSON.")
    private boolean json;

    @Override
    public Integer call() {
        Audit audit;
        try {
            audit = Audit.of(folder);
        } catch (IOException e) {
            err().println("sablehinge: " + Commands.message(e));
            return Commands.BAD_INPUT;
        }
        if (json) {
            out().println(audit.json());
        } else {
            audit.print(out());
        }
        return audit.breaches() == 0 ? 0 : Commands.REFUSED;
    }
}

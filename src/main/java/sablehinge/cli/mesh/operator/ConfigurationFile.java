package sablehinge.cli.mesh.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import sablehinge.mesh.api.CheckException;
import sablehinge.mesh.api.ConfigurationCheck;
import sablehinge.mesh.routing.Configuration;

/** A configuration in a file, which has been checked. */
record ConfigurationFile(byte[] body, Configuration configuration) {

    /** More than a control node takes. */
    private static final int MAX_BYTES = 15 * 1024 * 1024;

    /**
     * Reads a file.
     *
     * @throws CheckException if the core would not take it
     * @throws VerbException if it can't be read
     */
    static ConfigurationFile read(String file) {
        byte[] body;
        try {
            Path path = Path.of(file);
            if (Files.size(path) > MAX_BYTES) {
                throw CommandException.input(
                        "TOO_LONG", file, MAX_BYTES + " bytes at most were expected, found " + Files.size(path));
            }
            body = Files.readAllBytes(path);
        } catch (NoSuchFileException e) {
            throw CommandException.input("NO_FILE", file, "there is no such file");
        } catch (IOException e) {
            throw CommandException.input("UNREADABLE", file, "can't be read: " + e.getMessage());
        }
        return new ConfigurationFile(body, ConfigurationCheck.check(body));
    }

    /** The error of a verb that can't do without the file. */
    static CommandException faulty(String file, CheckException faults) {
        int more = faults.problems().size() - 1;
        return CommandException.input(
                faults.code().name(),
                file + ": " + faults.place(),
                faults.problems().get(0).text() + (more == 0 ? "" : " (and " + more + " more: see config check)"));
    }
}

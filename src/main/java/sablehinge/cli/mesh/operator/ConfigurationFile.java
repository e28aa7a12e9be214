package sablehinge.cli.mesh.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import sablehinge.mesh.api.CheckException;
import sablehinge.mesh.api.ConfigurationCheck;
import sablehinge.mesh.routing.Configuration;

/** A configuration that was read from a file and checked. */
record ConfigurationFile(byte[] body, Configuration configuration) {

    /** Larger than the largest configuration that a control node accepts. */
    private static final int MAX_BYTES = 15 * 1024 * 1024;

    /**
     * Reads a file.
     *
     * @throws CheckException if the core would reject the configuration
     * @throws CommandException if the file can't be read
     */
    static ConfigurationFile read(String file) {
        byte[] body;
        try {
            Path path = Path.of(file);
            if (Files.size(path) > MAX_BYTES) {
                throw CommandException.badInput(
                        "TOO_LONG", file, MAX_BYTES + " bytes at most were expected, found " + Files.size(path));
            }
            body = Files.readAllBytes(path);
        } catch (NoSuchFileException e) {
            throw CommandException.badInput("NO_FILE", file, "there is no such file");
        } catch (IOException e) {
            throw CommandException.badInput("UNREADABLE", file, "can't be read: " + e.getMessage());
        }
        return new ConfigurationFile(body, ConfigurationCheck.check(body));
    }

    /** The exception of a command that requires a valid file. */
    static CommandException invalid(String file, CheckException e) {
        int more = e.problems().size() - 1;
        return CommandException.badInput(
                e.code().name(),
                file + ": " + e.place(),
                e.problems().get(0).text() + (more == 0 ? "" : " (and " + more + " more: see config check)"));
    }
}

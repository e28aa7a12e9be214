package sablehinge.cli.mesh.operator;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import sablehinge.mesh.api.ConfigurationReader;

/** Fetches the current configuration. */
@Command(
        name = "get",
        description = "Prints the configuration in force as it was sent, keys and all, or "
                + "puts it into a file that only its owner may read")
public final class ConfigGetCommand extends CoreCommand {

    @Option(
            name = {"-o", "--out"},
            title = "FILE",
            description = "Where to put it, in place of what is there")
    private String out;

    /** Called by the command line parser. */
    public ConfigGetCommand() {}

    /** The result that is printed. */
    private record WriteResult(String file, long edition, int bytes) {}

    @Override
    int run() throws InterruptedException {
        CommandOutcome outcome = caller().call(HttpCaller.Request.get("Config.Read"));
        if (!outcome.isClear()) {
            throw outcome.unclear("the core has not told its configuration");
        }
        if (!outcome.isDone()) {
            throw outcome.refusal();
        }
        byte[] body = outcome.answer().body();
        if (out == null) {
            context().out().writeBytes(body);
            context().out().println();
            context().out().flush();
            return DONE;
        }
        write(body);
        WriteResult written =
                new WriteResult(out, ConfigurationReader.read(body).edition(), body.length);
        print(written, () -> context()
                .printLine(out + ": edition " + written.edition() + ", " + body.length + " bytes"));
        return DONE;
    }

    private void write(byte[] body) {
        try {
            Path target = Path.of(out).toAbsolutePath();
            Path temporary = Files.createTempFile(target.getParent(), ".config-", ".part");
            try {
                Files.write(temporary, body);
                Files.move(temporary, target, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
            } finally {
                Files.deleteIfExists(temporary);
            }
        } catch (IOException e) {
            throw CommandException.badInput("UNWRITABLE", out, "can't be written: " + e);
        }
    }
}

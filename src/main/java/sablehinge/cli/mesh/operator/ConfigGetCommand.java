package sablehinge.cli.mesh.operator;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import sablehinge.mesh.api.ConfigurationReader;

/** Fetches the configuration in force. */
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

    /** Made by the command line. */
    public ConfigGetCommand() {}

    /** What was written. */
    private record Written(String file, long edition, int bytes) {}

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
            shell().out().writeBytes(body);
            shell().out().println();
            shell().out().flush();
            return DONE;
        }
        write(body);
        Written written = new Written(out, ConfigurationReader.read(body).edition(), body.length);
        print(written, () -> shell().say(out + ": edition " + written.edition() + ", " + body.length + " bytes"));
        return DONE;
    }

    private void write(byte[] body) {
        try {
            Path target = Path.of(out).toAbsolutePath();
            Path part = Files.createTempFile(target.getParent(), ".config-", ".part");
            try {
                Files.write(part, body);
                Files.move(part, target, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
            } finally {
                Files.deleteIfExists(part);
            }
        } catch (IOException e) {
            throw CommandException.input("UNWRITABLE", out, "can't be written: " + e);
        }
    }
}

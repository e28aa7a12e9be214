package sablehinge.cli.mesh.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.Arrays;
import java.util.Map;
import sablehinge.mesh.api.CheckException;
import sablehinge.mesh.api.ConfigurationCheck;
import sablehinge.mesh.api.ConfigurationReader;
import sablehinge.mesh.routing.Configuration;

/** Sends a configuration to the core. */
@Command(
        name = "put",
        description = "Sends a configuration, and the very same call again until the core "
                + "says whether it was taken. Without --based-on it reads the one in force first, shows what "
                + "changes, by names, and builds on that")
public final class ConfigPutCommand extends CoreCommand {

    @Required
    @Arguments(title = "FILE", description = "The configuration")
    private String file;

    @Option(
            name = {"-b", "--based-on"},
            title = "EDITION",
            description = "The edition that it takes the place of, 0 for none")
    private Long basedOn;

    @Option(
            name = {"-n", "--dry-run"},
            description = "Show what would change, and send nothing")
    private boolean dryRun;

    /** Called by the command line parser. */
    public ConfigPutCommand() {}

    /**
     * The result that is printed.
     *
     * @param outcome {@code taken}, {@code in force already}, or {@code not sent} for a dry run
     * @param by the address that accepted the configuration; null if none was sent
     * @param inForce the edition in force afterwards; it differs from {@code edition} if the call was a late repetition
     * @param changes the differences from the previous configuration; null if that was not read
     */
    private record PutResult(
            String outcome, long edition, long basedOn, String by, long inForce, Differences changes) {}

    @Override
    int run() throws InterruptedException {
        ConfigurationFile next;
        try {
            next = ConfigurationFile.read(file);
        } catch (CheckException e) {
            throw ConfigurationFile.invalid(file, e);
        }
        long edition = next.configuration().edition();
        if (basedOn != null && basedOn < 0) {
            throw CommandException.badInput("BASED_ON", "--based-on", "0 or more was expected, found " + basedOn);
        }
        Differences changes = null;
        long base = basedOn == null ? 0 : basedOn;
        if (basedOn == null || dryRun) {
            byte[] current = fetchCurrent();
            Configuration before = current == null ? null : ConfigurationReader.read(current);
            long inForce = before == null ? 0 : before.edition();
            if (Arrays.equals(current, next.body())) {
                printResult(new PutResult("in force already", edition, base, null, edition, null));
                return DONE;
            }
            if (dryRun) {
                checkBeforeSending(next.configuration(), inForce);
            }
            base = inForce;
            changes = Differences.between(before, next.configuration());
            show(changes, base, edition);
            if (dryRun) {
                printResult(new PutResult("not sent", edition, base, null, base, changes));
                return DONE;
            }
        }
        send(next.body(), edition, base, changes);
        return DONE;
    }

    /** Fetches the configuration in force; null if there is none. */
    private byte[] fetchCurrent() throws InterruptedException {
        CommandOutcome outcome = caller().call(HttpCaller.Request.get("Config.Read"));
        if (!outcome.isClear()) {
            throw outcome.unclear("not sent, as the core has not told what is in force");
        }
        if (!outcome.isDone() && !CoreError.of(outcome.answer()).code().equals("NONE")) {
            throw outcome.refusal();
        }
        return outcome.isDone() ? outcome.answer().body() : null;
    }

    /** Refuses a configuration that the core would refuse now. */
    private void checkBeforeSending(Configuration next, long inForce) {
        if (basedOn != null && basedOn != inForce) {
            throw new CommandException(
                    CommandException.Exit.REFUSED,
                    "STALE",
                    "--based-on",
                    "version " + inForce + " is in place, not " + basedOn);
        }
        try {
            ConfigurationCheck.checkEdition(next, inForce);
        } catch (CheckException e) {
            throw new CommandException(
                    CommandException.Exit.REFUSED,
                    e.code().name(),
                    file + ": " + e.place(),
                    e.problems().get(0).text());
        }
    }

    private void show(Differences changes, long from, long to) {
        if (!wantsJson()) {
            context().printLine("edition " + from + " -> " + to);
            changes.show(context());
        }
    }

    private void send(byte[] body, long edition, long base, Differences changes) throws InterruptedException {
        CommandOutcome outcome = caller().call(new HttpCaller.Request(
                "POST",
                "/sablehinge/Config.Replace",
                Map.of("Sablehinge-Based-On", Long.toString(base), "Content-Type", "application/json"),
                body));
        if (!outcome.isClear()) {
            throw outcome.unclear(
                    outcome.mayHaveRun()
                            ? "edition " + edition + " may have been taken or not: the same call, with --based-on "
                                    + base + ", may be made again and is answered alike"
                            : "edition " + edition + " has not been taken: nobody could take it");
        }
        if (!outcome.isDone()) {
            throw outcome.refusal();
        }
        long inForce = read(outcome.answer().body(), JsonNode.class, outcome.answeredBy())
                .path("edition")
                .asLong(edition);
        printResult(new PutResult("taken", edition, base, outcome.answeredBy(), inForce, changes));
    }

    private void printResult(PutResult put) {
        print(put, () -> context()
                .printLine(put.outcome() + ": edition " + put.edition()
                        + (put.by() == null ? "" : ", by " + put.by())
                        + (put.inForce() == put.edition()
                                ? ""
                                : "; " + (put.inForce() == 0 ? "none" : "edition " + put.inForce()) + " is in force")));
    }
}

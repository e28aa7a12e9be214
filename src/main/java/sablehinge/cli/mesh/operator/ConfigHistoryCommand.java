package sablehinge.cli.mesh.operator;

import com.github.rvesse.airline.annotations.Command;
import sablehinge.controlplane.api.Editions;

/** Lists the accepted editions of the configuration. */
@Command(
        name = "history",
        description = "Lists the editions that were taken, the newest last, with what "
                + "each was based on and when it was taken up, by the clock of the leader of then")
public final class ConfigHistoryCommand extends CoreCommand {

    private static final int MAX_DIGEST_DIGITS = 16;

    /** Called by the command line parser. */
    public ConfigHistoryCommand() {}

    @Override
    int run() throws InterruptedException {
        Editions editions = query("Config.History", Editions.class);
        print(editions, () -> show(editions));
        return DONE;
    }

    private void show(Editions editions) {
        TextTable table = new TextTable("EDITION", "BASED ON", "BYTES", "SUM", "TAKEN");
        editions.taken()
                .forEach(edition -> table.line(
                        edition.edition(),
                        edition.basedOn(),
                        edition.bytes(),
                        abbreviate(edition.sum()),
                        edition.takenAt()));
        table.print(context());
    }

    private static String abbreviate(String sum) {
        return sum.substring(0, Math.min(MAX_DIGEST_DIGITS, sum.length()));
    }
}

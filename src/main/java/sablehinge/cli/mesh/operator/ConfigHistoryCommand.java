package sablehinge.cli.mesh.operator;

import com.github.rvesse.airline.annotations.Command;
import sablehinge.controlplane.api.Editions;

/** Lists the configurations that were taken. */
@Command(
        name = "history",
        description = "Lists the editions that were taken, the newest last, with what "
                + "each was based on and when it was taken up, by the clock of the leader of then")
public final class ConfigHistoryCommand extends CoreCommand {

    /** How many digits of a digest a table shows. */
    private static final int SHOWN_DIGITS = 16;

    /** Made by the command line. */
    public ConfigHistoryCommand() {}

    @Override
    int run() throws InterruptedException {
        Editions editions = ask("Config.History", Editions.class);
        print(editions, () -> show(editions));
        return DONE;
    }

    private void show(Editions editions) {
        TextTable taken = new TextTable("EDITION", "BASED ON", "BYTES", "SUM", "TAKEN");
        editions.taken()
                .forEach(one ->
                        taken.line(one.edition(), one.basedOn(), one.bytes(), shortened(one.sum()), one.takenAt()));
        taken.print(shell());
    }

    private static String shortened(String sum) {
        return sum.substring(0, Math.min(SHOWN_DIGITS, sum.length()));
    }
}

package sablehinge.cli.mesh.operator;

import com.github.rvesse.airline.annotations.Command;
import java.util.Locale;
import sablehinge.controlplane.api.MeshDuties;

/** Tells what the leader does that nobody else may. */
@Command(
        name = "duties",
        description = "Tells who holds the duties of the core, for how long its lease "
                + "still runs, and what is left in each tenant's pool")
public final class SingletonRolesCommand extends CoreCommand {

    /** Made by the command line. */
    public SingletonRolesCommand() {}

    @Override
    int run() throws InterruptedException {
        MeshDuties duties = ask("Mesh.Duties", MeshDuties.class);
        print(duties, () -> show(duties));
        return DONE;
    }

    private void show(MeshDuties duties) {
        shell().say("holder  " + duties.control() + " (" + duties.node() + "), term " + duties.term());
        shell().say("lease   "
                + (duties.leaseMs() > 0
                        ? "for another " + duties.leaseMs() + " ms"
                        : "none: nothing is given out of the pools now"));
        shell().say("roll    change " + duties.stamp() + ", " + (duties.complete() ? "complete" : "begun anew"));
        shell().say("news    " + duties.askers() + " balancers ask for them");
        shell().say("");
        TextTable pools = new TextTable("TENANT", "POOL PER S", "HOLDS", "LEFT");
        duties.pools()
                .forEach(one -> pools.line(one.tenant(), figure(one.perS()), figure(one.most()), figure(one.left())));
        pools.print(shell());
        left(duties.more());
    }

    private static String figure(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }
}

package sablehinge.cli.mesh.operator;

import com.github.rvesse.airline.annotations.Command;
import java.util.Locale;
import sablehinge.controlplane.api.MeshSingletonRoles;

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
        MeshSingletonRoles singletonRoles = ask("Mesh.Duties", MeshSingletonRoles.class);
        print(singletonRoles, () -> show(singletonRoles));
        return DONE;
    }

    private void show(MeshSingletonRoles singletonRoles) {
        shell().say("holder  " + singletonRoles.control() + " (" + singletonRoles.node() + "), term "
                + singletonRoles.term());
        shell().say("lease   "
                + (singletonRoles.leaseMs() > 0
                        ? "for another " + singletonRoles.leaseMs() + " ms"
                        : "none: nothing is given out of the pools now"));
        shell().say("roll    change " + singletonRoles.stamp() + ", "
                + (singletonRoles.complete() ? "complete" : "begun anew"));
        shell().say("news    " + singletonRoles.askers() + " balancers ask for them");
        shell().say("");
        TextTable pools = new TextTable("TENANT", "POOL PER S", "HOLDS", "LEFT");
        singletonRoles
                .pools()
                .forEach(one -> pools.line(one.tenant(), figure(one.perS()), figure(one.most()), figure(one.left())));
        pools.print(shell());
        left(singletonRoles.more());
    }

    private static String figure(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }
}

package sablehinge.cli.mesh.operator;

import com.github.rvesse.airline.annotations.Command;
import java.util.Locale;
import sablehinge.controlplane.api.MeshSingletonRoles;

/** Shows the holder of the singleton roles, its lease and the tenants' pools. */
@Command(
        name = "duties",
        description = "Tells who holds the duties of the core, for how long its lease "
                + "still runs, and what is left in each tenant's pool")
public final class SingletonRolesCommand extends CoreCommand {

    /** Called by the command line parser. */
    public SingletonRolesCommand() {}

    @Override
    int run() throws InterruptedException {
        MeshSingletonRoles singletonRoles = query("Mesh.Duties", MeshSingletonRoles.class);
        print(singletonRoles, () -> show(singletonRoles));
        return DONE;
    }

    private void show(MeshSingletonRoles singletonRoles) {
        context()
                .printLine("holder  " + singletonRoles.control() + " (" + singletonRoles.node() + "), term "
                        + singletonRoles.term());
        context()
                .printLine("lease   "
                        + (singletonRoles.leaseMs() > 0
                                ? "for another " + singletonRoles.leaseMs() + " ms"
                                : "none: nothing is given out of the pools now"));
        context()
                .printLine("roll    change " + singletonRoles.stamp() + ", "
                        + (singletonRoles.complete() ? "complete" : "begun anew"));
        context().printLine("news    " + singletonRoles.askers() + " balancers ask for them");
        context().printLine("");
        TextTable pools = new TextTable("TENANT", "POOL PER S", "HOLDS", "LEFT");
        singletonRoles
                .pools()
                .forEach(pool -> pools.line(
                        pool.tenant(),
                        formatNumber(pool.perS()),
                        formatNumber(pool.most()),
                        formatNumber(pool.left())));
        pools.print(context());
        printTruncation(singletonRoles.more());
    }

    private static String formatNumber(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }
}

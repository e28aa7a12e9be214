package sablehinge.cli.mesh.operator;

import com.github.rvesse.airline.annotations.Command;
import sablehinge.controlplane.api.MeshNodes;

/** Lists all balancers and core members that the leader knows. */
@Command(
        name = "nodes",
        description = "Lists the balancers of the data plane that are on the leader's roll, "
                + "with what is beside them, and the members of the core")
public final class NodesCommand extends CoreCommand {

    /** Called by the command line parser. */
    public NodesCommand() {}

    @Override
    int run() throws InterruptedException {
        MeshNodes nodes = query("Mesh.Nodes", MeshNodes.class);
        print(nodes, () -> show(nodes));
        return DONE;
    }

    private void show(MeshNodes nodes) {
        TextTable balancers =
                new TextTable("NODE", "ZONE", "INBOUND", "SERVICE", "UPSTREAM", "STATE", "BERTHS", "HEARD");
        nodes.balancers()
                .forEach(balancer -> balancers.line(
                        balancer.node(),
                        balancer.zone(),
                        balancer.inbound(),
                        balancer.service(),
                        balancer.upstream(),
                        balancer.state(),
                        balancer.berths(),
                        formatAge(balancer.silentMs())));
        balancers.print(context());
        printTruncation(nodes.more());
        if (!nodes.complete()) {
            context().printLine("the leader has just begun to hear of them; there may be more");
        }
        context().printLine("");
        TextTable members = new TextTable("MEMBER", "ID", "HEARD");
        nodes.members()
                .forEach(member -> members.line(
                        member.control(),
                        member.member(),
                        member.control().equals(nodes.leader()) ? "leads" : formatAge(member.silentMs())));
        members.print(context());
    }

    private static String formatAge(Long ms) {
        return ms == null ? null : ms + " ms ago";
    }
}

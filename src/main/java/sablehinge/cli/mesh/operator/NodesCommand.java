package sablehinge.cli.mesh.operator;

import com.github.rvesse.airline.annotations.Command;
import sablehinge.controlplane.api.MeshNodes;

/** Lists all machines that the leader knows. */
@Command(
        name = "nodes",
        description = "Lists the balancers of the data plane that are on the leader's roll, "
                + "with what is beside them, and the members of the core")
public final class NodesCommand extends CoreCommand {

    /** Made by the command line. */
    public NodesCommand() {}

    @Override
    int run() throws InterruptedException {
        MeshNodes nodes = ask("Mesh.Nodes", MeshNodes.class);
        print(nodes, () -> show(nodes));
        return DONE;
    }

    private void show(MeshNodes nodes) {
        TextTable balancers =
                new TextTable("NODE", "ZONE", "INBOUND", "SERVICE", "UPSTREAM", "STATE", "BERTHS", "HEARD");
        nodes.balancers()
                .forEach(one -> balancers.line(
                        one.node(),
                        one.zone(),
                        one.inbound(),
                        one.service(),
                        one.upstream(),
                        one.state(),
                        one.berths(),
                        ago(one.silentMs())));
        balancers.print(shell());
        left(nodes.more());
        if (!nodes.complete()) {
            shell().say("the leader has just begun to hear of them; there may be more");
        }
        shell().say("");
        TextTable members = new TextTable("MEMBER", "ID", "HEARD");
        nodes.members()
                .forEach(one -> members.line(
                        one.control(),
                        one.member(),
                        one.control().equals(nodes.leader()) ? "leads" : ago(one.silentMs())));
        members.print(shell());
    }

    private static String ago(Long ms) {
        return ms == null ? null : ms + " ms ago";
    }
}

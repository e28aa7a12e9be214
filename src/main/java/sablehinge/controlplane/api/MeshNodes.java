package sablehinge.controlplane.api;

import java.util.List;

/**
 * The registry of the leader: the answer to {@code Mesh.Nodes}.
 *
 * @param leader where operators call the leader, which keeps the registry
 * @param complete whether every live balancer has had the time to register
 * @param more balancers that are left out
 */
public record MeshNodes(
        String leader, long term, boolean complete, List<Balancer> balancers, int more, List<Machine> members) {

    /** Nodes whose lists can't be changed. */
    public MeshNodes {
        balancers = List.copyOf(balancers);
        members = List.copyOf(members);
    }

    /**
     * A balancer of the data plane and what is beside it.
     *
     * @param inbound where it takes requests for its upstream
     * @param upstream the id of the upstream's incarnation; empty for none
     * @param state "ready"; "draining": the upstream or the balancer leaves; "empty": no upstream beside it; "gone":
     *     nothing has been heard for long
     * @param berths requests that the upstream works on at once
     * @param silentMs since it was last heard of
     */
    public record Balancer(
            String node,
            String zone,
            String inbound,
            String service,
            String upstream,
            String state,
            int berths,
            long silentMs) {}
}

package sablehinge.controlplane.api;

import java.util.List;

/**
 * The registry of the leader: the answer to {@code Mesh.Nodes}.
 *
 * @param leader the address of the operator API of the leader, which maintains the registry
 * @param complete whether every live balancer has had time to register
 * @param more the number of balancers omitted from the list
 */
public record MeshNodes(
        String leader, long term, boolean complete, List<Balancer> balancers, int more, List<Machine> members) {

    /** Copies the lists. */
    public MeshNodes {
        balancers = List.copyOf(balancers);
        members = List.copyOf(members);
    }

    /**
     * A balancer of the data plane and its local upstream.
     *
     * @param inbound the address at which it accepts requests for its upstream
     * @param upstream the id of the upstream's current instance; empty for none
     * @param state "ready"; "draining": the upstream or the balancer shuts down; "empty": no local upstream; "gone":
     *     the registration has expired
     * @param berths the number of requests that the upstream processes concurrently
     * @param silentMs the time since its last registration
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

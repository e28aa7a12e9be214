package sablehinge.controlplane.api;

import java.util.List;

/**
 * The status of a control node and of the core from its view: the answer to {@code Mesh.Status}.
 *
 * @param member the node's member id in the core
 * @param control the address of its operator API
 * @param role {@code leader}, {@code follower}, {@code candidate} or {@code outsider}
 * @param leader the address of the operator API of the term's leader; null if the node knows none
 * @param commit the index up to which this node's log is committed and applied
 * @param edition the edition of the configuration that this node has applied; 0 for none
 * @param members the latest member list of this node
 * @param plane the data plane by the registry; null on nodes other than the leader, which have no registry
 */
public record MeshStatus(
        String node,
        String zone,
        String member,
        String control,
        String role,
        long term,
        String leader,
        long commit,
        long edition,
        List<Machine> members,
        Plane plane) {

    /** Copies the list. */
    public MeshStatus {
        members = List.copyOf(members);
    }

    /** Whether the node is the leader. */
    public boolean leads() {
        return role.equals("leader");
    }

    /**
     * The data plane as the leader knows it.
     *
     * @param known the number of balancers whose registration has not expired
     * @param ready the number of balancers whose upstream accepts new requests
     * @param complete whether every live balancer has had time to register with this leader
     * @param more the number of services omitted from the list
     */
    public record Plane(int known, int ready, boolean complete, List<Service> services, int more) {

        /** Copies the list. */
        public Plane {
            services = List.copyOf(services);
        }
    }

    /**
     * The upstreams of a service.
     *
     * @param known the number of upstreams whose balancer's registration has not expired
     * @param ready the number of upstreams that accept new requests
     * @param berths the number of requests that the ready upstreams process concurrently
     */
    public record Service(String name, int known, int ready, int berths) {}
}

package sablehinge.controlplane.api;

import java.util.List;

/**
 * What a machine of the core says of itself and of what it knows: the answer to {@code Mesh.Status}.
 *
 * @param member its id in the core
 * @param control where operators call it
 * @param role {@code leader}, {@code follower}, {@code candidate} or {@code outsider}
 * @param leader where operators call the leader of the term; null where it knows of none
 * @param commit the index up to which the log is committed, and applied, here
 * @param edition of the configuration in force here; 0 for none
 * @param members the latest list of members that it has
 * @param plane what is in the registry; null for a member that does not lead, as it keeps none
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

    /** A status whose list can't be changed. */
    public MeshStatus {
        members = List.copyOf(members);
    }

    /** Whether it leads. */
    public boolean leads() {
        return role.equals("leader");
    }

    /**
     * The data plane as the leader knows it.
     *
     * @param known balancers that it has heard of lately
     * @param ready balancers whose upstream takes new requests
     * @param complete whether every live balancer has had the time to register to this leader
     * @param more services that are left out
     */
    public record Plane(int known, int ready, boolean complete, List<Service> services, int more) {

        /** A plane whose list can't be changed. */
        public Plane {
            services = List.copyOf(services);
        }
    }

    /**
     * The upstreams of a service.
     *
     * @param known upstreams that live
     * @param ready those of them that take new requests
     * @param berths requests that the ready ones work on at once
     */
    public record Service(String name, int known, int ready, int berths) {}
}

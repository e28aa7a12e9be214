package sablehinge.controlplane.api;

import java.util.List;

/**
 * The singleton roles of the leader: the answer to {@code Mesh.Duties}.
 *
 * @param node the name of the node that has the roles
 * @param control the address of its operator API
 * @param leaseMs the remaining time of the lease under which it grants tokens of the pools; 0 without a lease
 * @param stamp the number of changes of its registry since the beginning of the term
 * @param complete whether every live balancer has had time to register
 * @param askers the number of balancers that watch it for updates
 * @param more the number of pools omitted from the list
 */
public record MeshSingletonRoles(
        String node,
        String control,
        long term,
        long leaseMs,
        long stamp,
        boolean complete,
        int askers,
        List<Pool> pools,
        int more) {

    /** Copies the list. */
    public MeshSingletonRoles {
        pools = List.copyOf(pools);
    }

    /**
     * The part of a tenant's quota that is granted on demand.
     *
     * @param perS the refill rate in requests per second
     * @param most the capacity of the pool
     * @param left the requests that are available now
     */
    public record Pool(String tenant, double perS, double most, double left) {}
}

package sablehinge.controlplane.api;

import java.util.List;

/**
 * The singleton roles of the leader: the answer to {@code Mesh.Duties}.
 *
 * @param node which node has the roles
 * @param control where operators call it
 * @param leaseMs for how long it may still give out of the pools; 0 where it may not
 * @param stamp the last change of its registry, counted from the beginning of the term
 * @param complete whether every live balancer has had the time to register
 * @param askers balancers that watch it for updates
 * @param more pools that are left out
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

    /** Roles whose list can't be changed. */
    public MeshSingletonRoles {
        pools = List.copyOf(pools);
    }

    /**
     * The part of a tenant's quota that is given out on demand.
     *
     * @param perS requests a second that come into it
     * @param most that it holds
     * @param left in it now
     */
    public record Pool(String tenant, double perS, double most, double left) {}
}

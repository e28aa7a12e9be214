package sablehinge.mesh.routing;

import java.util.List;

/**
 * One version of the mesh's configuration, as the operator sent it (PROTOCOL, "The operator").
 *
 * @param edition its number; a later one is higher
 * @param limits what clients may send
 * @param tenants whose keys are known; empty where no request needs a key
 */
public record Configuration(
        long edition, Limits limits, List<Tenant> tenants, List<Route> routes, List<Service> services) {

    /** A configuration whose lists can't be changed. */
    public Configuration {
        tenants = List.copyOf(tenants);
        routes = List.copyOf(routes);
        services = List.copyOf(services);
    }

    /**
     * Bounds on clients.
     *
     * @param headerBytes of a request's head
     * @param bodyBytes of its body
     * @param headerMs in which a head that has begun must be complete
     * @param idleMs that a connection may rest between requests
     */
    public record Limits(int headerBytes, long bodyBytes, double headerMs, double idleMs) {}

    /**
     * Who sends requests.
     *
     * @param keys any of which tells that a request is this tenant's
     * @param priority 0 is highest; -1 where the route's holds
     * @param perSecond requests a second over all balancers; 0 for no limit
     * @param burst requests on top of that
     */
    public record Tenant(String name, List<String> keys, int priority, double perSecond, double burst) {

        /** A tenant whose list can't be changed. */
        public Tenant {
            keys = List.copyOf(keys);
        }
    }

    /** What may be repeated: {@link #SAFE} requests may run more than once, others once at most. */
    public enum Kind {
        SAFE,
        UNSAFE,
        UPLOAD
    }

    /**
     * A route.
     *
     * @param host in lower case
     * @param prefix of the path, with a slash at both ends
     * @param targetMs within which an answer has its full value
     * @param priority 0 is highest
     * @param open whether it wants no key
     * @param split over services; a single one with a share of 1 where there is no split
     * @param timeoutMs for which a try may be held
     * @param attempts upstreams that one try may go to
     */
    public record Route(
            String name,
            String host,
            String prefix,
            Kind kind,
            double targetMs,
            int priority,
            boolean open,
            List<Share> split,
            double timeoutMs,
            int attempts) {

        /** A route whose list can't be changed. */
        public Route {
            split = List.copyOf(split);
        }
    }

    /** A service's part of a route; parts are relative to each other, and 0 gets nothing. */
    public record Share(String service, double part) {}

    /**
     * A service.
     *
     * @param healthPath which its upstreams answer while they are well
     * @param connCap connections that one upstream takes
     */
    public record Service(String name, String healthPath, int connCap) {}
}

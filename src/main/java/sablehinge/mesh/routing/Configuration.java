package sablehinge.mesh.routing;

import java.util.List;

/**
 * One version of the mesh configuration as sent by the operator (PROTOCOL, "The operator").
 *
 * @param edition the version number, which increases with each version
 * @param limits limits on client requests
 * @param tenants the tenants with known keys; empty if no request needs a key
 */
public record Configuration(
        long edition, Limits limits, List<Tenant> tenants, List<Route> routes, List<Service> services) {

    /** Creates a configuration with unmodifiable lists. */
    public Configuration {
        tenants = List.copyOf(tenants);
        routes = List.copyOf(routes);
        services = List.copyOf(services);
    }

    /**
     * Limits on clients.
     *
     * @param headerBytes maximum size of a request head
     * @param bodyBytes maximum size of a request body
     * @param headerMs time within which a started request head must be complete
     * @param idleMs maximum idle time of a connection between requests
     */
    public record Limits(int headerBytes, long bodyBytes, double headerMs, double idleMs) {}

    /**
     * A sender of requests.
     *
     * @param keys keys that identify the tenant's requests
     * @param priority 0 is highest; -1 to use the route's priority
     * @param perSecond requests per second over all balancers; 0 for no limit
     * @param burst additional requests in a burst
     */
    public record Tenant(String name, List<String> keys, int priority, double perSecond, double burst) {

        /** Creates a tenant with an unmodifiable list. */
        public Tenant {
            keys = List.copyOf(keys);
        }
    }

    /** Whether requests may be repeated: {@link #SAFE} requests may run more than once, all others at most once. */
    public enum Kind {
        SAFE,
        UNSAFE,
        UPLOAD
    }

    /**
     * A route.
     *
     * @param host in lower case
     * @param prefix the path prefix, with a slash at both ends
     * @param targetMs time within which an answer has its full value
     * @param priority 0 is highest
     * @param open whether requests need no key
     * @param split the shares of services; a single service with a share of 1 if there is no split
     * @param timeoutMs maximum time for which a request may be held
     * @param attempts maximum number of upstreams to which a request may be sent
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

        /** Creates a route with an unmodifiable list. */
        public Route {
            split = List.copyOf(split);
        }
    }

    /** A service's share of a route. Weights are relative to each other; a service with weight 0 gets no requests. */
    public record Share(String service, double weight) {}

    /**
     * A service.
     *
     * @param healthPath the path that healthy upstreams answer
     * @param connCap maximum number of connections to one upstream
     */
    public record Service(String name, String healthPath, int connCap) {}
}

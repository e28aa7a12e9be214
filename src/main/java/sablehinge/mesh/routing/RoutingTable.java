package sablehinge.mesh.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * A configuration indexed for lookups. Immutable and safe for use by any thread.
 *
 * <p>The configuration must have been checked, but an invalid one does no harm: of two routes with the same host and
 * prefix, and of two entries with the same name or key, the first one is used. The class uses no lambdas and streams,
 * which would delay the start of a process more than building the table does.
 */
public final class RoutingTable {

    private final Configuration configuration;

    private final Map<String, HostRoutes> routesByHost = new HashMap<>();

    private final Map<String, Configuration.Tenant> tenantsByKey = new HashMap<>();

    private final Map<String, Configuration.Service> services = new HashMap<>();

    /** Creates the routing table of a configuration. */
    public RoutingTable(Configuration configuration) {
        this.configuration = configuration;
        Map<String, List<RouteMatch>> byHost = new HashMap<>();
        int index = 0;
        for (Configuration.Route route : configuration.routes()) {
            String host = HostNames.normal(route.host());
            if (!byHost.containsKey(host)) {
                byHost.put(host, new ArrayList<>());
            }
            byHost.get(host).add(new RouteMatch(route, index++));
        }
        for (Map.Entry<String, List<RouteMatch>> entry : byHost.entrySet()) {
            routesByHost.put(entry.getKey(), new HostRoutes(entry.getValue()));
        }
        for (Configuration.Tenant tenant : configuration.tenants()) {
            for (String key : tenant.keys()) {
                tenantsByKey.putIfAbsent(key, tenant);
            }
        }
        for (Configuration.Service service : configuration.services()) {
            services.putIfAbsent(service.name(), service);
        }
    }

    /**
     * The route of a request.
     *
     * @param index the index of the route in the configuration, from 0
     */
    public record RouteMatch(Configuration.Route route, int index) {}

    /** The configuration of this table. */
    public Configuration configuration() {
        return configuration;
    }

    /**
     * Finds the route of a request: the route of its host with the longest matching path prefix. The path is matched
     * byte for byte as sent, up to a question mark or hash; dot segments and percent-encoding are not interpreted. The
     * host of a target in absolute form takes precedence over the Host header (RFC 9112, 3.2.2).
     *
     * @param hostHeader the Host header as sent, with or without a port; may be null
     * @param target the target of the request line
     * @return the match, or null if no route matches
     */
    public RouteMatch find(String hostHeader, String target) {
        int from = 0;
        String host = hostHeader;
        if (!target.startsWith("/")) {
            int authority = authority(target);
            if (authority < 0) {
                return null;
            }
            from = end(target, authority, true);
            host = target.substring(authority, from);
        }
        HostRoutes hostRoutes = host == null ? null : routesByHost.get(host);
        if (hostRoutes == null) {
            hostRoutes = routesByHost.get(HostNames.normal(host));
        }
        if (hostRoutes == null) {
            return null;
        }
        int to = end(target, from, false);
        return from == to ? hostRoutes.find("/", 0, 1) : hostRoutes.find(target, from, to);
    }

    /** The start index of the authority in a target in absolute form; -1 for other forms. */
    private static int authority(String target) {
        int scheme = target.regionMatches(true, 0, "http", 0, 4) ? 4 : -1;
        if (scheme == 4 && target.length() > 4 && (target.charAt(4) | 0x20) == 's') {
            scheme = 5;
        }
        return scheme > 0 && target.startsWith("://", scheme) ? scheme + 3 : -1;
    }

    /** The first index, from the given one on, at which a query, a fragment or (if {@code atSlash}) a path begins. */
    private static int end(String target, int from, boolean atSlash) {
        for (int i = from; i < target.length(); i++) {
            char c = target.charAt(i);
            if (c == '?' || c == '#' || atSlash && c == '/') {
                return i;
            }
        }
        return target.length();
    }

    /** The tenant of a key; null for an unknown key or for null. */
    public Configuration.Tenant tenant(String key) {
        return key == null ? null : tenantsByKey.get(key);
    }

    /** Whether requests need a key on routes that are not open. */
    public boolean requiresKeys() {
        return !configuration.tenants().isEmpty();
    }

    /** The service with a name; null for an unknown name. */
    public Configuration.Service service(String name) {
        return services.get(name);
    }

    /**
     * Chooses the service of a request on a route.
     *
     * @param point at least 0 and below 1; evenly distributed points give each service its share
     * @return a service with a weight above 0; the first service if there is none
     */
    public String chooseService(Configuration.Route route, double point) {
        List<Configuration.Share> split = route.split();
        String last = split.get(0).service();
        if (split.size() == 1) {
            return last;
        }
        double total = 0;
        for (Configuration.Share share : split) {
            total += Math.max(0, share.weight());
        }
        double remaining = point * total;
        for (Configuration.Share share : split) {
            if (share.weight() > 0) {
                last = share.service();
                remaining -= share.weight();
                if (remaining < 0) {
                    break;
                }
            }
        }
        return last;
    }

    /** The routes of one host. */
    private static final class HostRoutes {

        private final Map<String, RouteMatch> byPrefix = new HashMap<>();

        /** The distinct lengths of prefixes in descending order. */
        private final int[] lengths;

        HostRoutes(List<RouteMatch> routes) {
            TreeSet<Integer> ascending = new TreeSet<>();
            for (RouteMatch match : routes) {
                byPrefix.putIfAbsent(match.route().prefix(), match);
                ascending.add(match.route().prefix().length());
            }
            lengths = new int[ascending.size()];
            int next = lengths.length;
            for (int length : ascending) {
                lengths[--next] = length;
            }
        }

        /** Makes one lookup for each prefix length that ends at a slash of the path. */
        RouteMatch find(String target, int from, int to) {
            for (int length : lengths) {
                if (length > 0 && length <= to - from && target.charAt(from + length - 1) == '/') {
                    RouteMatch match = byPrefix.get(target.substring(from, from + length));
                    if (match != null) {
                        return match;
                    }
                }
            }
            return null;
        }
    }
}

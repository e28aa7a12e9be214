package sablehinge.mesh.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * One configuration, indexed for lookups. Immutable, for any thread.
 *
 * <p>It trusts that the configuration has been checked. What a check would have refused does no harm here: of two
 * routes at one place, and of two owners of one name or key, the first one holds. Written without lambdas and streams,
 * which cost a process's start more than the plan itself does.
 */
public final class RoutingTable {

    private final Configuration configuration;

    private final Map<String, HostRoutes> gates = new HashMap<>();

    private final Map<String, Configuration.Tenant> tenants = new HashMap<>();

    private final Map<String, Configuration.Service> services = new HashMap<>();

    /** The plan of a configuration. */
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
            gates.put(entry.getKey(), new HostRoutes(entry.getValue()));
        }
        for (Configuration.Tenant tenant : configuration.tenants()) {
            for (String key : tenant.keys()) {
                tenants.putIfAbsent(key, tenant);
            }
        }
        for (Configuration.Service service : configuration.services()) {
            services.putIfAbsent(service.name(), service);
        }
    }

    /**
     * The route that a request takes.
     *
     * @param index of the route among those of the configuration, from 0
     */
    public record RouteMatch(Configuration.Route route, int index) {}

    /** What this plan was made from. */
    public Configuration configuration() {
        return configuration;
    }

    /**
     * The route of a request: among those of its host the one with the longest prefix that begins its path. The path is
     * taken byte for byte as sent, up to a question mark or hash: dots and percent signs in it mean nothing. The host
     * of a target in absolute form counts before the header's (RFC 9112, 3.2.2).
     *
     * @param hostHeader as sent, with or without a port; may be null
     * @param target as in the request line
     * @return null where no route fits
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
        HostRoutes gate = host == null ? null : gates.get(host);
        if (gate == null) {
            gate = gates.get(HostNames.normal(host));
        }
        if (gate == null) {
            return null;
        }
        int to = end(target, from, false);
        return from == to ? gate.find("/", 0, 1) : gate.find(target, from, to);
    }

    /** Where the authority of a target in absolute form begins; -1 for one in another form. */
    private static int authority(String target) {
        int scheme = target.regionMatches(true, 0, "http", 0, 4) ? 4 : -1;
        if (scheme == 4 && target.length() > 4 && (target.charAt(4) | 0x20) == 's') {
            scheme = 5;
        }
        return scheme > 0 && target.startsWith("://", scheme) ? scheme + 3 : -1;
    }

    /** The first place from the given one on where a query or fragment begins, or a path if that counts. */
    private static int end(String target, int from, boolean atSlash) {
        for (int i = from; i < target.length(); i++) {
            char c = target.charAt(i);
            if (c == '?' || c == '#' || atSlash && c == '/') {
                return i;
            }
        }
        return target.length();
    }

    /** The tenant that a key belongs to; null for an unknown key, and for none. */
    public Configuration.Tenant tenant(String key) {
        return key == null ? null : tenants.get(key);
    }

    /** Whether a request needs a key, unless its route is open. */
    public boolean requiresKeys() {
        return !configuration.tenants().isEmpty();
    }

    /** The service of a name; null for an unknown one. */
    public Configuration.Service service(String name) {
        return services.get(name);
    }

    /**
     * The service that a request of a route goes to.
     *
     * @param point at least 0 and below 1; points that are spread evenly give each service its share
     * @return one whose share is above 0; the first one where none is
     */
    public String chooseService(Configuration.Route route, double point) {
        List<Configuration.Share> split = route.split();
        String last = split.get(0).service();
        if (split.size() == 1) {
            return last;
        }
        double total = 0;
        for (Configuration.Share share : split) {
            total += Math.max(0, share.part());
        }
        double left = point * total;
        for (Configuration.Share share : split) {
            if (share.part() > 0) {
                last = share.service();
                left -= share.part();
                if (left < 0) {
                    break;
                }
            }
        }
        return last;
    }

    /** The routes of one host. */
    private static final class HostRoutes {

        private final Map<String, RouteMatch> byPrefix = new HashMap<>();

        /** The lengths that prefixes have, each one once, the longest first. */
        private final int[] lengths;

        HostRoutes(List<RouteMatch> routes) {
            TreeSet<Integer> ascending = new TreeSet<>();
            for (RouteMatch found : routes) {
                byPrefix.putIfAbsent(found.route().prefix(), found);
                ascending.add(found.route().prefix().length());
            }
            lengths = new int[ascending.size()];
            int at = lengths.length;
            for (int length : ascending) {
                lengths[--at] = length;
            }
        }

        /** As many looks as there are lengths of prefixes that end at a slash of the path. */
        RouteMatch find(String target, int from, int to) {
            for (int length : lengths) {
                if (length > 0 && length <= to - from && target.charAt(from + length - 1) == '/') {
                    RouteMatch found = byPrefix.get(target.substring(from, from + length));
                    if (found != null) {
                        return found;
                    }
                }
            }
            return null;
        }
    }
}

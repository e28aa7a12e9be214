package sablehinge.mesh.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Checks that a routing table finds the same route as a linear search. */
class RoutingTablePropertyTest {

    private static final List<String> HOSTS = List.of("a.example", "b.example");

    @Provide
    Arbitrary<String> paths() {
        return Arbitraries.of("", "a", "b", "ab", "%61", ".")
                .list()
                .ofMaxSize(5)
                .map(parts -> "/" + String.join("/", parts));
    }

    @Provide
    Arbitrary<List<Configuration.Route>> routes() {
        return paths().map(path -> path.endsWith("/") ? path : path + "/")
                .list()
                .ofMaxSize(40)
                .map(RoutingTablePropertyTest::overHosts);
    }

    private static List<Configuration.Route> overHosts(List<String> prefixes) {
        List<Configuration.Route> routes = new ArrayList<>();
        Set<String> used = new HashSet<>();
        for (String prefix : prefixes) {
            String host = HOSTS.get((prefix.length() + routes.size()) % 2);
            if (used.add(host + prefix)) {
                routes.add(RoutingTableTest.route(host, prefix));
            }
        }
        return routes;
    }

    @Property
    void findsLongestPrefix(@ForAll("routes") List<Configuration.Route> routes, @ForAll("paths") String path) {
        RoutingTable table = new RoutingTable(
                new Configuration(1, new Configuration.Limits(1, 1, 1, 1), List.of(), routes, List.of()));
        for (String host : HOSTS) {
            Configuration.Route best = null;
            for (Configuration.Route route : routes) {
                if (route.host().equals(host)
                        && path.startsWith(route.prefix())
                        && (best == null
                                || route.prefix().length() > best.prefix().length())) {
                    best = route;
                }
            }
            for (String target : new String[] {path, path + "?/a/b/", "http://" + host + path}) {
                RoutingTable.RouteMatch match = table.find(host, target);
                assertEquals(best, match == null ? null : match.route());
                assertEquals(best, match == null ? null : routes.get(match.index()));
            }
        }
    }
}

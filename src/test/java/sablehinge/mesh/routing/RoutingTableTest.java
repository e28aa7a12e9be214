package sablehinge.mesh.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests lookups by host, target and key, and the choice of services by share. */
class RoutingTableTest {

    private static final Configuration.Tenant TENANT = new Configuration.Tenant("t", List.of("k1", "k2"), 1, 83, 83);

    private static final RoutingTable TABLE = new RoutingTable(new Configuration(
            1,
            new Configuration.Limits(1, 1, 1, 1),
            List.of(TENANT),
            List.of(route("one.example", "/abc/"), route("one.example", "/abc/d/"), route("two.example", "/")),
            List.of(new Configuration.Service("s", "/health", 110))));

    static Configuration.Route route(String host, String prefix) {
        return route(host, prefix, new Configuration.Share("s", 1));
    }

    static Configuration.Route route(String host, String prefix, Configuration.Share... split) {
        return new Configuration.Route(
                host + prefix, host, prefix, Configuration.Kind.SAFE, 600, 1, false, List.of(split), 4_000, 2);
    }

    private static String routeName(String host, String target) {
        RoutingTable.RouteMatch match = TABLE.find(host, target);
        return match == null ? null : match.route().name();
    }

    @Test
    void findsLongestMatchingPrefix() {
        assertEquals("one.example/abc/", routeName("one.example", "/abc/"));
        assertEquals("one.example/abc/", routeName("one.example", "/abc/d"));
        assertEquals("one.example/abc/d/", routeName("one.example", "/abc/d/e?f=/g/"));
        assertNull(routeName("one.example", "/abc"));
        assertNull(routeName("one.example", "/abc?/"));
        assertNull(routeName("one.example", "/ABC/"));
        assertNull(routeName("one.example", "/x#/abc/"));
        assertNull(routeName("three.example", "/abc/"));
        assertEquals("two.example/", routeName("two.example", "/anything"));
        assertEquals(1, TABLE.find("one.example", "/abc/d/").index());
    }

    @Test
    void doesNotInterpretThePath() {
        assertEquals("one.example/abc/", routeName("one.example", "/abc/../x"));
        assertNull(routeName("one.example", "/x/../abc/"));
        assertNull(routeName("one.example", "/%61bc/"));
        assertNull(routeName("one.example", "//abc/"));
    }

    @Test
    void normalizesHosts() {
        for (String host :
                List.of("ONE.example", "one.example:80", "One.Example.:80", "one.example.", " one.example")) {
            assertEquals("one.example/abc/", routeName(host, "/abc/x"), host);
        }
        assertNull(routeName(null, "/abc/"));
        assertNull(routeName("", "/abc/"));
        assertEquals("[::1]", HostNames.normal("[::1]:80"));
        assertEquals("[::1", HostNames.normal("[::1"));
        assertEquals("", HostNames.normal(null));
    }

    @Test
    void findsTargetsInAbsoluteForm() {
        assertEquals("one.example/abc/", routeName("two.example", "http://one.example:80/abc/?x"));
        assertEquals("one.example/abc/", routeName(null, "HTTPS://u@ONE.example/abc/"));
        assertEquals("two.example/", routeName(null, "http://two.example"));
        assertEquals("two.example/", routeName(null, "http://two.example?x=/abc/"));
        for (String malformed : new String[] {
            "*", "", "http:/two.example/", "ftp://two.example/", "two.example:80", "http://", "http", "https"
        }) {
            assertNull(routeName("two.example", malformed), malformed);
        }
    }

    @Test
    void findsTenantsAndServices() {
        assertEquals(TENANT, TABLE.tenant("k2"));
        assertNull(TABLE.tenant("k3"));
        assertNull(TABLE.tenant(null));
        assertTrue(TABLE.requiresKeys());
        assertFalse(new RoutingTable(
                        new Configuration(1, new Configuration.Limits(1, 1, 1, 1), List.of(), List.of(), List.of()))
                .requiresKeys());
        assertEquals(110, TABLE.service("s").connCap());
        assertNull(TABLE.service("u"));
    }

    @Test
    void choosesServicesByShare() {
        Configuration.Route split = route(
                "h",
                "/",
                new Configuration.Share("none", 0),
                new Configuration.Share("a", 90),
                new Configuration.Share("b", 10),
                new Configuration.Share("last", 0));
        assertEquals("a", TABLE.chooseService(split, 0));
        assertEquals("a", TABLE.chooseService(split, 0.899999));
        assertEquals("b", TABLE.chooseService(split, 0.9));
        assertEquals("b", TABLE.chooseService(split, Math.nextDown(1.0)));
        assertEquals("b", TABLE.chooseService(split, 1));
        assertEquals(
                "x",
                TABLE.chooseService(
                        route("h", "/", new Configuration.Share("x", 0), new Configuration.Share("y", 0)), 0.7));
    }
}

package sablehinge.mesh.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Hosts, targets, keys and shares that a plan must tell apart. */
class RoutingTableTest {

    private static final Configuration.Tenant TENANT = new Configuration.Tenant("t", List.of("k1", "k2"), 1, 83, 83);

    private static final RoutingTable PLAN = new RoutingTable(new Configuration(
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

    private static String found(String host, String target) {
        RoutingTable.RouteMatch found = PLAN.find(host, target);
        return found == null ? null : found.route().name();
    }

    @Test
    void theLongestPrefixThatBeginsThePath() {
        assertEquals("one.example/abc/", found("one.example", "/abc/"));
        assertEquals("one.example/abc/", found("one.example", "/abc/d"));
        assertEquals("one.example/abc/d/", found("one.example", "/abc/d/e?f=/g/"));
        assertNull(found("one.example", "/abc"));
        assertNull(found("one.example", "/abc?/"));
        assertNull(found("one.example", "/ABC/"));
        assertNull(found("one.example", "/x#/abc/"));
        assertNull(found("three.example", "/abc/"));
        assertEquals("two.example/", found("two.example", "/anything"));
        assertEquals(1, PLAN.find("one.example", "/abc/d/").index());
    }

    @Test
    void nothingInThePathIsInterpreted() {
        assertEquals("one.example/abc/", found("one.example", "/abc/../x"));
        assertNull(found("one.example", "/x/../abc/"));
        assertNull(found("one.example", "/%61bc/"));
        assertNull(found("one.example", "//abc/"));
    }

    @Test
    void hostsInAnyForm() {
        for (String host :
                List.of("ONE.example", "one.example:80", "One.Example.:80", "one.example.", " one.example")) {
            assertEquals("one.example/abc/", found(host, "/abc/x"), host);
        }
        assertNull(found(null, "/abc/"));
        assertNull(found("", "/abc/"));
        assertEquals("[::1]", HostNames.normal("[::1]:80"));
        assertEquals("[::1", HostNames.normal("[::1"));
        assertEquals("", HostNames.normal(null));
    }

    @Test
    void targetsInAbsoluteForm() {
        assertEquals("one.example/abc/", found("two.example", "http://one.example:80/abc/?x"));
        assertEquals("one.example/abc/", found(null, "HTTPS://u@ONE.example/abc/"));
        assertEquals("two.example/", found(null, "http://two.example"));
        assertEquals("two.example/", found(null, "http://two.example?x=/abc/"));
        for (String odd : new String[] {
            "*", "", "http:/two.example/", "ftp://two.example/", "two.example:80", "http://", "http", "https"
        }) {
            assertNull(found("two.example", odd), odd);
        }
    }

    @Test
    void tenantsAndServices() {
        assertEquals(TENANT, PLAN.tenant("k2"));
        assertNull(PLAN.tenant("k3"));
        assertNull(PLAN.tenant(null));
        assertTrue(PLAN.requiresKeys());
        assertFalse(new RoutingTable(
                        new Configuration(1, new Configuration.Limits(1, 1, 1, 1), List.of(), List.of(), List.of()))
                .requiresKeys());
        assertEquals(110, PLAN.service("s").connCap());
        assertNull(PLAN.service("u"));
    }

    @Test
    void sharesOfASplit() {
        Configuration.Route split = route(
                "h",
                "/",
                new Configuration.Share("none", 0),
                new Configuration.Share("a", 90),
                new Configuration.Share("b", 10),
                new Configuration.Share("last", 0));
        assertEquals("a", PLAN.chooseService(split, 0));
        assertEquals("a", PLAN.chooseService(split, 0.899999));
        assertEquals("b", PLAN.chooseService(split, 0.9));
        assertEquals("b", PLAN.chooseService(split, Math.nextDown(1.0)));
        assertEquals("b", PLAN.chooseService(split, 1));
        assertEquals(
                "x",
                PLAN.chooseService(
                        route("h", "/", new Configuration.Share("x", 0), new Configuration.Share("y", 0)), 0.7));
    }
}

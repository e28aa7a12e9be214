package sablehinge.tools.standin.mesh;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A version of the configuration of a small mesh, as the operator sends it.
 *
 * @param basedOn the edition that this version replaces; 0 for none
 */
public record MeshVersion(long edition, long basedOn, List<Route> routes, List<String> services) {

    /** The host of all routes. */
    public static final String HOST = "mesh.example";
    /** The only tenant. */
    public static final String TENANT = "tenant-1";
    /** The key of the tenant. */
    public static final String KEY = "k3y0f7h3d3m0";

    static final int TIMEOUT_MS = 4_000;
    private static final int TARGET_MS = 600;

    /** The target of the requests with a path prefix; several services share them evenly. */
    public record Route(String prefix, TrafficLog.Kind kind, List<String> services) {

        /** Creates a route with an immutable copy of the services. */
        public Route {
            services = List.copyOf(services);
        }
    }

    /** Creates a version with immutable copies of the lists. */
    public MeshVersion {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
    }

    /** Returns the headers of a client's request with its remaining time in ms. */
    static Map<String, String> headers(String id, int remainingMs) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put("Sablehinge-Try-Id", id);
        headers.put("Sablehinge-Time-Left", Integer.toString(remainingMs));
        headers.put("Sablehinge-Key", KEY);
        return headers;
    }

    /** Returns whether a service may run the requests with a path prefix. */
    boolean allows(String prefix, String service) {
        return routes.stream()
                .anyMatch(r -> r.prefix().equals(prefix) && r.services().contains(service));
    }

    /** Returns the body of the operator's call. */
    public byte[] body() {
        ObjectNode root = JsonNodeFactory.instance.objectNode().put("edition", edition);
        root.putObject("limits")
                .put("headerBytes", 16_384)
                .put("bodyBytes", 64 << 20)
                .put("headerMs", 3_000)
                .put("idleMs", 15_000);
        ObjectNode tenant = root.putArray("senders").addObject().put("name", TENANT);
        tenant.putArray("passes").add(KEY);
        tenant.put("priority", 1).put("perS", 2_000).put("burst", 2_000);
        ObjectNode gate = root.putArray("gates").addObject().put("station", HOST);
        ArrayNode rules = gate.putArray("regulations");
        for (Route route : routes) {
            ObjectNode rule = rules.addObject()
                    .put("name", "r" + route.prefix().replace('/', '-'))
                    .put("kind", route.kind().name().toLowerCase(java.util.Locale.ROOT))
                    .put("targetMs", TARGET_MS)
                    .put("priority", 1)
                    .put("open", false);
            rule.putObject("sorting").put("lanePrefix", route.prefix());
            ObjectNode dispatch = rule.putObject("dispatch");
            if (route.services().size() == 1) {
                dispatch.put("depot", route.services().get(0));
            } else {
                ArrayNode split = dispatch.putArray("split");
                route.services()
                        .forEach(service ->
                                split.addObject().put("depot", service).put("share", 50));
            }
            dispatch.put("timeoutMs", TIMEOUT_MS).put("attempts", 2);
        }
        ArrayNode fleets = root.putArray("fleets");
        services.forEach(service -> fleets.addObject()
                .put("name", service)
                .put("healthPath", "/health")
                .put("connCap", 110)
                .put("protocol", "h1")
                .put("tls", false));
        return root.toString().getBytes(StandardCharsets.UTF_8);
    }
}

package sablehinge.fleet;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;

/**
 * The configurations of a fleet: some hundred kB, as the operators of a large mesh send them. Two editions differ in
 * the time-out of one route.
 *
 * @param services that routes go to, in turn
 * @param routes of one host
 * @param tenants each with a quota
 * @param tenantPerSecond requests a second that a tenant may send
 */
record FleetConfiguration(int services, int routes, int tenants, double tenantPerSecond) {

    static final String HOST = "fleet.example";
    private static final String[] KINDS = {"safe", "unsafe", "upload"};
    /** The route that wants no key: its requests draw on no quota. */
    static final int OPEN = 0;

    private static final int TIMEOUT_MS = 4_000;

    private static String key(int tenant) {
        return String.format("key%017d", tenant);
    }

    /** The prefix of a route. */
    static String prefix(int route) {
        return "/route-" + route + "/";
    }

    /** The body of the operator's call. */
    byte[] body(long edition) {
        ObjectNode root = JsonNodeFactory.instance.objectNode().put("edition", edition);
        root.putObject("limits")
                .put("headerBytes", 16_384)
                .put("bodyBytes", 64 << 20)
                .put("headerMs", 3_000)
                .put("idleMs", 15_000);
        ArrayNode senders = root.putArray("senders");
        for (int i = 0; i < tenants; i++) {
            ObjectNode tenant = senders.addObject().put("name", "tenant-" + i);
            tenant.putArray("passes").add(key(i));
            tenant.put("priority", 1).put("perS", tenantPerSecond).put("burst", tenantPerSecond);
        }
        ArrayNode rules =
                root.putArray("gates").addObject().put("station", HOST).putArray("regulations");
        for (int i = 0; i < routes; i++) {
            ObjectNode rule = rules.addObject()
                    .put("name", "route-" + i)
                    .put("kind", KINDS[i % KINDS.length])
                    .put("targetMs", 600)
                    .put("priority", 1)
                    .put("open", i == OPEN);
            rule.putObject("sorting").put("lanePrefix", prefix(i));
            boolean changes = edition % routes == i;
            rule.putObject("dispatch")
                    .put("depot", FleetPlan.service(i % services))
                    .put("timeoutMs", TIMEOUT_MS + (changes ? edition : 0))
                    .put("attempts", 2);
        }
        ArrayNode fleets = root.putArray("fleets");
        for (int i = 0; i < services; i++) {
            fleets.addObject()
                    .put("name", FleetPlan.service(i))
                    .put("healthPath", "/health")
                    .put("connCap", 520)
                    .put("protocol", "h1")
                    .put("tls", false);
        }
        return root.toString().getBytes(StandardCharsets.UTF_8);
    }
}

package sablehinge.gateway.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import sablehinge.dataplane.proxy.Roster;
import sablehinge.dataplane.proxy.Roster.Member;
import sablehinge.gateway.settings.Addresses;
import sablehinge.policy.LoadBalancer.State;
import sablehinge.policy.LoadBalancer.Upstream;

/**
 * Reads lists of upstreams in discovery's form.
 *
 * @param zones the names of the zones, by the index that the module uses
 * @param kinds likewise of the machine types
 * @param learns whether a name that is not among them is added to them, to keep its number from then on
 */
public record RosterParser(List<String> zones, List<String> kinds, boolean learns) {

    /** Names that are learnt at most; those beyond share a place. */
    private static final int MAX_NAMES = 1_000;

    /**
     * Reads a list; throws {@link IllegalArgumentException} if any part of it is amiss, since half a list would drop
     * upstreams that are well.
     */
    public Roster parse(JsonNode list) {
        JsonNode servers = list.get("servers");
        if (servers == null || !servers.isArray() || !list.path("version").isIntegralNumber()) {
            throw new IllegalArgumentException("a list of upstreams needs a version and servers");
        }
        List<Member> members = new ArrayList<>(servers.size());
        for (JsonNode entry : servers) {
            members.add(member(entry));
        }
        return new Roster(list.get("version").longValue(), list.path("full").asBoolean(), members);
    }

    private Member member(JsonNode entry) {
        String id = entry.path("id").asText("");
        if (id.isEmpty()) {
            throw new IllegalArgumentException("an upstream without an id");
        }
        State state =
                switch (entry.path("state").asText("")) {
                    case "up" -> State.READY;
                    case "draining" -> State.DRAINING;
                    case "removed" -> State.REMOVED;
                    default -> throw new IllegalArgumentException("upstream " + id + " has no known state");
                };
        Upstream upstream = new Upstream(
                number(id),
                index(zones, entry.path("zone").asText("")),
                index(kinds, entry.path("kind").asText("")),
                entry.path("cell").asInt(0),
                state,
                entry.path("weight").asDouble(1),
                entry.path("started_ms").asDouble(0));
        String address = entry.path("addr").asText("");
        // Who is gone needs no address.
        boolean none = address.isEmpty() && state == State.REMOVED;
        return new Member(upstream, none ? null : Addresses.parse(address));
    }

    /** The same number for an id at every balancer, as the module's subsets rest on it. */
    public static long number(String id) {
        CRC32C low = new CRC32C();
        low.update(id.getBytes(StandardCharsets.UTF_8));
        return (long) id.hashCode() << Integer.SIZE | low.getValue();
    }

    /** A name that the settings lack gets a place behind those that they have. */
    private int index(List<String> names, String name) {
        int at = names.indexOf(name);
        if (at < 0 && learns && names.size() < MAX_NAMES) {
            names.add(name);
            return names.size() - 1;
        }
        return at < 0 ? names.size() : at;
    }
}

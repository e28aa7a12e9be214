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
 * Parses rosters of upstreams in the JSON format of discovery.
 *
 * @param zones the names of the zones, in the order of their indices
 * @param kinds the names of the machine types, in the order of their indices
 * @param learns whether unknown names are added to these lists, which fixes their indices
 */
public record RosterParser(List<String> zones, List<String> kinds, boolean learns) {

    /** The maximum number of names in a list; all further names share one index. */
    private static final int MAX_NAMES = 1_000;

    /**
     * Parses a roster; throws {@link IllegalArgumentException} if any part of it is invalid, since a partial roster
     * would drop healthy upstreams.
     */
    public Roster parse(JsonNode roster) {
        JsonNode servers = roster.get("servers");
        if (servers == null || !servers.isArray() || !roster.path("version").isIntegralNumber()) {
            throw new IllegalArgumentException("a roster requires a version and servers");
        }
        List<Member> members = new ArrayList<>(servers.size());
        for (JsonNode entry : servers) {
            members.add(member(entry));
        }
        return new Roster(roster.get("version").longValue(), roster.path("full").asBoolean(), members);
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
        // A removed upstream needs no address.
        boolean withoutAddress = address.isEmpty() && state == State.REMOVED;
        return new Member(upstream, withoutAddress ? null : Addresses.parse(address));
    }

    /** The number of an id, equal at every balancer because the subsets of the module depend on it. */
    public static long number(String id) {
        CRC32C crc = new CRC32C();
        crc.update(id.getBytes(StandardCharsets.UTF_8));
        return (long) id.hashCode() << Integer.SIZE | crc.getValue();
    }

    /** The index of a name; a name that the settings lack gets an index after the known ones. */
    private int index(List<String> names, String name) {
        int index = names.indexOf(name);
        if (index < 0 && learns && names.size() < MAX_NAMES) {
            names.add(name);
            return names.size() - 1;
        }
        return index < 0 ? names.size() : index;
    }
}

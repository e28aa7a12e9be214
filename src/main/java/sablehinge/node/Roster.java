package sablehinge.node;

import com.fasterxml.jackson.databind.JsonNode;
import sablehinge.LoadBalancer.State;
import sablehinge.LoadBalancer.Upstream;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/** A list of upstreams in discovery's form: the whole one, or what has changed. */
record Roster(long version, boolean full, List<Member> members) {

    /** An upstream as the module knows it, and where it listens. */
    record Member(Upstream upstream, InetSocketAddress address) { }

    /**
     * Reads a list; throws {@link IllegalArgumentException} if any part of it is amiss, since half a list
     * would drop upstreams that are well.
     */
    static Roster parse(JsonNode list, List<String> zones, List<String> kinds) {
        JsonNode servers = list.get("servers");
        if (servers == null || !servers.isArray() || !list.path("version").isIntegralNumber()) {
            throw new IllegalArgumentException("a list of upstreams needs a version and servers");
        }
        List<Member> members = new ArrayList<>(servers.size());
        for (JsonNode entry : servers) {
            members.add(member(entry, zones, kinds));
        }
        return new Roster(list.get("version").longValue(), list.path("full").asBoolean(), members);
    }

    private static Member member(JsonNode entry, List<String> zones, List<String> kinds) {
        String id = entry.path("id").asText("");
        if (id.isEmpty()) {
            throw new IllegalArgumentException("an upstream without an id");
        }
        State state = switch (entry.path("state").asText("")) {
            case "up" -> State.READY;
            case "draining" -> State.DRAINING;
            case "removed" -> State.REMOVED;
            default -> throw new IllegalArgumentException("upstream " + id + " has no known state");
        };
        Upstream upstream = new Upstream(number(id), index(zones, entry.path("zone").asText("")),
                index(kinds, entry.path("kind").asText("")), entry.path("cell").asInt(0), state,
                entry.path("weight").asDouble(1), entry.path("started_ms").asDouble(0));
        String address = entry.path("addr").asText("");
        // Who is gone needs no address.
        return new Member(upstream, address.isEmpty() && state == State.REMOVED ? null : address(address));
    }

    /** The same number for an id at every balancer, as the module's subsets rest on it. */
    private static long number(String id) {
        CRC32C low = new CRC32C();
        low.update(id.getBytes(StandardCharsets.UTF_8));
        return (long) id.hashCode() << Integer.SIZE | low.getValue();
    }

    /** A name that the settings lack gets a place of its own behind those that they have. */
    private static int index(List<String> names, String name) {
        int at = names.indexOf(name);
        return at < 0 ? names.size() : at;
    }

    /** A numeric address with its port; there is no DNS to ask for any other. */
    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        byte[] ip = NetUtil.createByteArrayFromIpAddressString(
                colon < 0 ? text : text.substring(0, colon));
        if (ip == null) {
            throw new IllegalArgumentException("'" + text + "' is no address with a port");
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(ip),
                    Integer.parseInt(text.substring(colon + 1)));
        } catch (UnknownHostException | IllegalArgumentException e) {
            throw new IllegalArgumentException("'" + text + "' is no address with a port", e);
        }
    }
}

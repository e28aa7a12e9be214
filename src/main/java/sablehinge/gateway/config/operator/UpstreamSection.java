package sablehinge.gateway.config.operator;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import sablehinge.gateway.config.operator.OperatorConfig.UpstreamPart;
import sablehinge.policy.LoadBalancer.State;

/** Reads one server of an operator file. */
final class UpstreamSection {

    private static final Map<String, State> STATES = Map.of("up", State.READY, "draining", State.DRAINING);

    private UpstreamSection() {}

    static UpstreamPart read(Section s, List<String> zones, List<String> kinds) {
        InetSocketAddress address = s.address("address", true);
        if (address != null && address.getPort() == 0) {
            s.problem("address", "has port 0, expected the port on which the server listens");
        }
        if (address != null && address.getAddress().isAnyLocalAddress()) {
            s.problem("address", "is a wildcard address, expected the address of one server");
        }
        return new UpstreamPart(
                s.name("id", null),
                address,
                zones == null
                        ? s.name("zone", "main")
                        : s.reference("zone", zones.isEmpty() ? "main" : zones.get(0), zones, "zone"),
                kinds == null
                        ? s.name("kind", "server")
                        : s.reference("kind", kinds.isEmpty() ? "server" : kinds.get(0), kinds, "kind"),
                s.integer("cell", 0, 0, 1_000_000),
                s.choice("state", State.READY, STATES));
    }
}

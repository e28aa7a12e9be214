package sablehinge.dataplane.sidecar;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import sablehinge.dataplane.proxy.Roster;
import sablehinge.dataplane.proxy.Roster.Member;
import sablehinge.mesh.watch.Registration;
import sablehinge.policy.LoadBalancer.State;
import sablehinge.policy.LoadBalancer.Upstream;

/** Makes the list of upstreams that the decision module draws from out of the registry. */
final class RosterBuilder {

    /** The names of all zones, sorted: the module knows them by their place. */
    private final List<String> zones;
    /** The module's numbers of the services. */
    private final Map<String, Integer> kinds;
    /** When upstreams have warmed up, as first registered, by their incarnations. */
    private final Map<String, Double> startedAt = new HashMap<>();

    RosterBuilder(List<String> zones, Map<String, Integer> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    /**
     * The upstreams of the registry.
     *
     * @param now in ms
     * @param knownKinds services with numbers from here on are not in the version in force
     */
    Roster build(double now, RegistryView registry, int knownKinds) {
        List<Member> members = new ArrayList<>();
        for (Registration registration : registry.registrations()) {
            Integer kind = kinds.get(registration.service());
            if (!registration.upstream().isEmpty() && kind != null && kind < knownKinds) {
                members.add(member(now, registration, kind));
            }
        }
        // A set: a list would be walked for each of them, of whom there may be hundreds.
        startedAt.keySet().retainAll(members.stream().map(Member::name).collect(Collectors.toSet()));
        return new Roster(registry.stamp(), true, members);
    }

    private Member member(double now, Registration registration, int kind) {
        Upstream upstream = new Upstream(
                MeshHeaders.incarnation(registration.upstream()),
                Math.max(0, zones.indexOf(registration.zone())),
                kind,
                0,
                registration.ready() ? State.READY : State.DRAINING,
                1,
                startedAt(now, registration));
        return new Member(upstream, ListeningSockets.address(registration.inbound()), registration.upstream());
    }

    private double startedAt(double now, Registration registration) {
        return startedAt.computeIfAbsent(
                registration.upstream(),
                id -> registration.warmUpMs() > 0 ? now + registration.warmUpMs() - BalancerSettings.WARM_UP_MS : 0);
    }
}

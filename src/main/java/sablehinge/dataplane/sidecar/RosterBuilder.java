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

/** Builds the decision module's list of upstreams from the registry. */
final class RosterBuilder {

    /** The names of all zones, sorted; the module identifies a zone by its index. */
    private final List<String> zones;
    /** The module's number for each service. */
    private final Map<String, Integer> kinds;
    /**
     * The start time of each upstream, by incarnation, derived from the warm-up time left at its first registration.
     */
    private final Map<String, Double> startedAt = new HashMap<>();

    RosterBuilder(List<String> zones, Map<String, Integer> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    /**
     * Builds the list of all upstreams in the registry.
     *
     * @param now in ms
     * @param knownKinds number of the first service that is not part of the current version
     */
    Roster build(double now, RegistryView registry, int knownKinds) {
        List<Member> members = new ArrayList<>();
        for (Registration registration : registry.registrations()) {
            Integer kind = kinds.get(registration.service());
            if (!registration.upstream().isEmpty() && kind != null && kind < knownKinds) {
                members.add(member(now, registration, kind));
            }
        }
        // A set, because there may be hundreds of upstreams and a list would be searched for each of them.
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

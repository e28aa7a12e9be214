package sablehinge.dataplane.sidecar;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sablehinge.dataplane.proxy.Version;
import sablehinge.mesh.routing.Configuration;
import sablehinge.policy.LatencyWeightedBalancer;
import sablehinge.policy.LoadBalancer.Goal;
import sablehinge.policy.LoadBalancer.Group;
import sablehinge.policy.LoadBalancer.Limits;
import sablehinge.policy.LoadBalancer.Prices;
import sablehinge.policy.LoadBalancer.Repeat;
import sablehinge.policy.LoadBalancer.Reports;
import sablehinge.policy.LoadBalancer.Rules;
import sablehinge.policy.LoadBalancer.ServiceClass;
import sablehinge.policy.LoadBalancer.Settings;
import sablehinge.policy.LoadBalancer.WeightKind;

/**
 * A configuration in the module's terms: each route with each service that it may go to is a class, and each service a
 * machine type, to which its classes are bound.
 */
final class BalancerSettings {

    /** How long an upstream that has started may be slow, at most; heartbeats say how much of it is left. */
    static final double WARM_UP_MS = 3_000;

    private static final double LATE_VALUE = 0.3;
    /** Growth of l across zones: a body of 60 kB costs more than its way, a small one next to nothing. */
    private static final double BULKY = 30;

    private static final double SLIM = 0.3;
    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_OPEN = 4_000;
    /** The module's own retry budget never runs out: {@link RetryBudget} bounds what it sends, by services. */
    static final LatencyWeightedBalancer.Extras EXTRAS =
            new LatencyWeightedBalancer.Extras(MAX_ATTEMPTS, MAX_ATTEMPTS * MAX_OPEN, 0, 0.2);

    private static final double CONNECT_MS = 1_000;
    private static final long POSITIONS = 1 << 16;
    private static final double REST_MS = 30_000;
    private static final double OWN_REST_MS = 9_000;
    private static final Rules RULES = new Rules(40, 200, 2_000, 0.5, WARM_UP_MS, 3, 0, 0);

    /**
     * Where a balancer stands.
     *
     * @param position its number among its siblings, which chooses the few upstreams that it prefers: where all had the
     *     same one, all would begin with the same few of many
     * @param zone the number of its zone
     * @param zones how many there are
     */
    record Place(int position, int zone, int zones) {

        /** The place of a node: nobody numbers them, so its name does. */
        static Place of(String node, int zone, int zones) {
            return new Place((int) Math.floorMod(MeshHeaders.incarnation(node), POSITIONS), zone, zones);
        }
    }

    private BalancerSettings() {}

    private static Limits limits(boolean copies, double restMs) {
        return new Limits(MAX_ATTEMPTS, MAX_OPEN, true, copies, false, false, true, 1_000, CONNECT_MS, restMs, 1, 0, 0);
    }

    /** The version of the gate beside an upstream, which knows no classes. */
    static Version gate() {
        ServiceClass any = new ServiceClass(
                "any",
                1_000,
                0,
                600_000,
                1,
                LATE_VALUE,
                Repeat.AT_MOST_ONCE,
                Group.ALL,
                0,
                false,
                false,
                null,
                null,
                0);
        return new Version(
                1,
                settings(List.of(any), new Place(0, 0, 1), 1, limits(false, OWN_REST_MS)),
                List.of("any"),
                List.of(),
                false);
    }

    /**
     * The version of a configuration.
     *
     * @param number counts up with each
     * @param kinds the numbers of services, which are given once and for all; new ones are added
     * @param classes is filled with the places of classes, by {@link #name}
     * @param place where its balancer stands
     */
    static Version version(
            int number,
            Configuration configuration,
            Map<String, Integer> kinds,
            Map<String, Integer> classes,
            Place place) {
        for (Configuration.Service service : configuration.services()) {
            kinds.computeIfAbsent(service.name(), name -> kinds.size());
        }
        List<ServiceClass> types = new ArrayList<>();
        List<String> names = new ArrayList<>();
        for (Configuration.Route route : configuration.routes()) {
            for (Configuration.Share share : route.split()) {
                String name = name(route, share.service());
                if (classes.putIfAbsent(name, names.size()) == null) {
                    names.add(name);
                    double value = route.priority() <= 1 ? 2 : 1;
                    types.add(new ServiceClass(
                            name,
                            route.targetMs(),
                            0,
                            Math.max(route.timeoutMs(), route.targetMs()),
                            value,
                            LATE_VALUE,
                            route.kind() == Configuration.Kind.SAFE ? Repeat.IDEMPOTENT : Repeat.AT_MOST_ONCE,
                            Group.ALL,
                            0,
                            false,
                            false,
                            null,
                            List.of(kinds.get(share.service())),
                            route.kind() == Configuration.Kind.UPLOAD ? BULKY : SLIM));
                }
            }
        }
        if (types.isEmpty()) {
            return new Version(number, gate().settings(), List.of(), List.of(), false);
        }
        return new Version(
                number, settings(types, place, kinds.size(), limits(true, REST_MS)), names, List.of(), false);
    }

    /** The name of the class of a route's requests to a service. */
    static String name(Configuration.Route route, String service) {
        return route.name() + "\n" + route.host() + route.prefix() + "\n" + service;
    }

    private static Settings settings(List<ServiceClass> types, Place place, int kinds, Limits limits) {
        // As a tier below the first: the gates beside the upstreams know a jam, so none is guessed here.
        return new Settings(
                place.position(),
                1,
                1,
                2,
                place.zone(),
                place.zones(),
                kinds,
                false,
                true,
                false,
                false,
                false,
                0,
                WeightKind.NONE,
                Reports.NONE,
                List.of(),
                types,
                List.of(),
                limits,
                RULES,
                new Goal(0.4, 0.1, 0.24, 0, 0, 0, 0, 0),
                new Prices(0, 0, 0, 0, 0, 0, 0, 0));
    }

    /** Numbers of services, to be kept. */
    static Map<String, Integer> kinds() {
        return new HashMap<>();
    }
}

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
 * Maps a configuration to the settings of the decision module: each pair of a route and one of its services becomes a
 * request class, and each service a machine type to which its classes are restricted.
 */
final class BalancerSettings {

    /** The maximum warm-up time of an upstream; heartbeats report the remaining time. */
    static final double WARM_UP_MS = 3_000;

    private static final double LATE_VALUE = 0.3;
    /**
     * Latency growth across zones for uploads and for other requests: transferring a body of 60 kB costs more than the
     * distance, a small body almost nothing.
     */
    private static final double UPLOAD_CROSS_ZONE_GROWTH = 30;

    private static final double CROSS_ZONE_GROWTH = 0.3;
    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_OPEN = 4_000;
    /**
     * The module's own retry budget never runs out: {@link RetryBudget} limits its retries instead, for each service.
     */
    static final LatencyWeightedBalancer.Extras EXTRAS =
            new LatencyWeightedBalancer.Extras(MAX_ATTEMPTS, MAX_ATTEMPTS * MAX_OPEN, 0, 0.2);

    private static final double CONNECT_TIMEOUT_MS = 1_000;
    private static final long POSITIONS = 1 << 16;
    private static final double PEER_IDLE_MS = 30_000;
    private static final double UPSTREAM_IDLE_MS = 9_000;
    private static final Rules RULES = new Rules(40, 200, 2_000, 0.5, WARM_UP_MS, 3, 0, 0);

    /**
     * The position of a sidecar among all sidecars.
     *
     * @param position a number that determines the few upstreams this sidecar prefers; with equal numbers, all sidecars
     *     would start with the same few upstreams
     * @param zone index of the sidecar's zone
     * @param zones the number of zones
     */
    record Placement(int position, int zone, int zones) {

        /** The placement of a node; its position is a hash of its name, as nodes are not numbered. */
        static Placement of(String node, int zone, int zones) {
            return new Placement((int) Math.floorMod(MeshHeaders.incarnation(node), POSITIONS), zone, zones);
        }
    }

    private BalancerSettings() {}

    private static Limits limits(boolean parallelAttempts, double idleMs) {
        return new Limits(
                MAX_ATTEMPTS,
                MAX_OPEN,
                true,
                parallelAttempts,
                false,
                false,
                true,
                1_000,
                CONNECT_TIMEOUT_MS,
                idleMs,
                1,
                0,
                0);
    }

    /** The version of the inbound proxy of an upstream, which has a single class. */
    static Version inboundVersion() {
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
                settings(List.of(any), new Placement(0, 0, 1), 1, limits(false, UPSTREAM_IDLE_MS)),
                List.of("any"),
                List.of(),
                false);
    }

    /**
     * The version of a configuration.
     *
     * @param number version number, increased with each configuration
     * @param kinds the service numbers, which never change; new services are added
     * @param classes receives the index of each class by its {@link #name}
     * @param placement the position of the sidecar
     */
    static Version version(
            int number,
            Configuration configuration,
            Map<String, Integer> kinds,
            Map<String, Integer> classes,
            Placement placement) {
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
                            route.kind() == Configuration.Kind.UPLOAD ? UPLOAD_CROSS_ZONE_GROWTH : CROSS_ZONE_GROWTH));
                }
            }
        }
        if (types.isEmpty()) {
            return new Version(number, inboundVersion().settings(), List.of(), List.of(), false);
        }
        return new Version(
                number, settings(types, placement, kinds.size(), limits(true, PEER_IDLE_MS)), names, List.of(), false);
    }

    /** The class name for requests of a route to a service. */
    static String name(Configuration.Route route, String service) {
        return route.name() + "\n" + route.host() + route.prefix() + "\n" + service;
    }

    private static Settings settings(List<ServiceClass> types, Placement placement, int kinds, Limits limits) {
        // Uses the settings of an inner tier: the inbound proxies of the upstreams detect overload, so it is not
        // estimated here.
        return new Settings(
                placement.position(),
                1,
                1,
                2,
                placement.zone(),
                placement.zones(),
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

    /** Creates an empty map of service numbers, to be retained across versions. */
    static Map<String, Integer> kinds() {
        return new HashMap<>();
    }
}

package sablehinge.fleet;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.logging.LogManager;
import java.util.stream.IntStream;
import sablehinge.common.settings.ConfigException;
import sablehinge.dataplane.sidecar.HollowSidecar;
import sablehinge.tools.standin.mesh.TrafficLog;

/**
 * Six control nodes and hollow sidecars in two regions that are cut from each other for a while: what is still
 * acknowledged and known on each side, and how long all takes to be complete again after it.
 */
final class RegionCutBench implements AutoCloseable {

    private static final int CONTROL = 6;
    private static final int VOTERS = 5;
    private static final int REGIONS = 2;
    private static final int ROUTES = 200;
    private static final int TENANTS = 80;
    private static final int TENANT_PER_SECOND = 100;
    private static final int SIDECARS_A_SERVICE = 10;
    private static final long START_MS = 40_000;
    private static final long SETTLE_MS = 3_000;
    private static final long HEALED_MS = 60_000;
    /** How long before the end of the cut an operator gives up. */
    private static final long GIVEN_UP_MS = 2_000;

    private static final long LOOK_MS = 20;
    private static final double MS_PER_S = 1_000;

    private final FleetPlan plan;
    private final FleetConfiguration configuration;
    private final Processes processes;
    private final HollowFleet hollow;
    private final FleetOperator operator;
    private final ObjectNode results = JsonNodeFactory.instance.objectNode();
    private final double begun = TrafficLog.now();

    /** What an operator who is inside one region comes to while the cut lasts. */
    private static final class Order extends Thread {
        private final FleetOperator operator;
        private final byte[] body;
        private final long withinMs;
        private int firstStatus;
        private double firstMs;
        private boolean acknowledged;
        private double acknowledgedMs = Double.NaN;

        Order(FleetOperator operator, byte[] body, long withinMs) {
            this.operator = operator;
            this.body = body;
            this.withinMs = withinMs;
        }

        @Override
        public void run() {
            double sent = TrafficLog.now();
            try {
                firstStatus = operator.send(1, body);
                firstMs = TrafficLog.now() - sent;
                acknowledged = operator.replace(1, body, withinMs);
                acknowledgedMs = acknowledged ? TrafficLog.now() - sent : Double.NaN;
            } catch (InterruptedException e) {
                interrupt();
            }
        }
    }

    private RegionCutBench(int size) throws IOException {
        plan = new FleetPlan(
                ThreadLocalRandom.current().nextInt(1, 255), CONTROL, 0, size, Math.max(4, size / SIDECARS_A_SERVICE));
        configuration = new FleetConfiguration(plan.services(), ROUTES, TENANTS, TENANT_PER_SECOND);
        processes = new Processes(plan);
        processes.makeCuttable();
        hollow = new HollowFleet(plan);
        operator = FleetOperator.of(
                IntStream.range(0, CONTROL).mapToObj(plan::control).toList());
    }

    /** Arguments: hollow sidecars (100), seconds that the cut lasts (20). */
    public static void main(String[] args) throws Exception {
        int size = args.length > 0 ? Integer.parseInt(args[0]) : 100;
        long cutMs = 1_000 * (args.length > 1 ? Long.parseLong(args[1]) : 20);
        LogManager.getLogManager().reset();
        try (RegionCutBench bench = new RegionCutBench(size)) {
            Thread end = new Thread(bench::close, "end");
            Runtime.getRuntime().addShutdownHook(end);
            bench.results.put("size", size).put("control", CONTROL).put("cut_ms", cutMs);
            bench.start();
            bench.cut(cutMs);
            Runtime.getRuntime().removeShutdownHook(end);
            System.out.println(bench.results);
        }
        System.exit(0);
    }

    private void progress(String what) {
        System.out.printf(Locale.ROOT, "  %5.1f s %s%n", (TrafficLog.now() - begun) / MS_PER_S, what);
    }

    private void start() throws IOException, ConfigException, InterruptedException {
        hollow.prepare();
        processes.start();
        hollow.start();
        hollow.await(this::knowsAll);
        if (!operator.replace(0, configuration.body(1), START_MS)) {
            throw new IllegalStateException("the first configuration was not acknowledged");
        }
        int missing = hollow.awaited(0, START_MS).missing();
        double end = TrafficLog.now() + START_MS;
        while (processes.members() < VOTERS && TrafficLog.now() < end) {
            TimeUnit.MILLISECONDS.sleep(LOOK_MS);
        }
        TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
        results.put("start_missing", missing)
                .put("voters", processes.members())
                .put("leader_region_before", regionOf(operator.leader()));
        progress("all know each other, " + processes.members() + " vote");
    }

    private static int regionOf(int control) {
        return control < 0 ? -1 : FleetPlan.regionOfZone(FleetPlan.controlZone(control));
    }

    private boolean knowsAll(HollowSidecar.View view) {
        return view.complete()
                && view.edition() > 0
                && view.roster().size() == plan.hollow()
                && view.roster().values().stream()
                        .allMatch(one -> one.ready() && !one.upstream().isEmpty());
    }

    private int region(HollowSidecar sidecar) {
        return FleetPlan.regionOfZone(zone(sidecar.settings().zone()));
    }

    private static int zone(String name) {
        return Integer.parseInt(name.substring(name.lastIndexOf('-') + 1));
    }

    private List<HollowSidecar> sidecarsOf(int region) {
        return hollow.all().stream()
                .filter(sidecar -> region(sidecar) == region)
                .toList();
    }

    private FleetOperator operatorOf(int region) {
        return FleetOperator.confinedTo(IntStream.range(0, CONTROL)
                .filter(place -> regionOf(place) == region)
                .mapToObj(plan::control)
                .toList());
    }

    private void cut(long cutMs) throws IOException, InterruptedException {
        double at = TrafficLog.now();
        processes.cut(true);
        hollow.cut(true);
        progress("cut");
        List<Order> orders = new ArrayList<>();
        for (int i = 0; i < REGIONS; i++) {
            int region = i;
            // Two different changes on the same base: no more than one may ever be acknowledged.
            Order order = new Order(operatorOf(region), configuration.body(2 + region), cutMs - GIVEN_UP_MS);
            orders.add(order);
            order.start();
            sidecarsOf(region)
                    .forEach(sidecar -> sidecar.await(view -> view.roster().values().stream()
                            .noneMatch(one -> one.ready() && FleetPlan.regionOfZone(zone(one.zone())) != region)));
        }
        for (Order order : orders) {
            order.join();
        }
        TimeUnit.MILLISECONDS.sleep(Math.max(0, (long) (at + cutMs - TrafficLog.now())));
        for (int region = 0; region < REGIONS; region++) {
            tell("region_" + region, orders.get(region));
            Times others = Times.since(
                    at,
                    sidecarsOf(region).stream()
                            .mapToDouble(HollowSidecar::awaitedAt)
                            .toArray());
            put("region_" + region + "_others_gone", others);
        }
        heal(orders.get(0).acknowledged ? 2 : orders.get(1).acknowledged ? 3 : 1);
    }

    private void heal(long edition) throws IOException, InterruptedException {
        Predicate<HollowSidecar.View> complete = view -> knowsAll(view) && view.edition() >= edition;
        double at = TrafficLog.now();
        processes.cut(false);
        hollow.cut(false);
        hollow.await(complete);
        progress("joined again");
        double sent = TrafficLog.now();
        boolean acknowledged = operator.replace(edition, configuration.body(edition + 2), HEALED_MS);
        results.put("healed_change_acknowledged_ms", acknowledged ? TrafficLog.now() - sent : Double.NaN);
        put("whole_again", hollow.awaited(at, HEALED_MS));
        hollow.await(view -> view.edition() >= edition + 2);
        put("healed_change_in_force", hollow.awaited(sent, HEALED_MS));
        results.put("leader_region_after", regionOf(operator.leader())).put("late_ms", hollow.lateMs());
        progress("whole again");
    }

    private void tell(String region, Order order) {
        results.put(region + "_first_status", order.firstStatus)
                .put(region + "_first_answer_ms", order.firstMs)
                .put(region + "_acknowledged", order.acknowledged)
                .put(region + "_acknowledged_ms", order.acknowledgedMs);
    }

    private void put(String name, Times times) {
        results.put(name + "_p50_ms", times.p50())
                .put(name + "_p99_ms", times.p99())
                .put(name + "_most_ms", times.most())
                .put(name + "_missing", times.missing());
    }

    @Override
    public void close() {
        hollow.close();
        processes.close();
    }
}

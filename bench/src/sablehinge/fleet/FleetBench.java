package sablehinge.fleet;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import java.util.logging.LogManager;
import sablehinge.tools.standin.mesh.TrafficLog;

/**
 * What each role costs by the size of the fleet: hollow sidecars of this process with the project's own client code,
 * real control nodes and a few real sidecars as child processes, on loopback.
 */
final class FleetBench {

    /** The required size (issue 38). */
    private static final int TARGET = 680;

    private static final int TARGET_SERVICES = 66;
    private static final double TARGET_CALLS = 91_000;
    private static final int SIDECARS = 3;
    private static final int ROUTES = 1_000;
    private static final int TENANTS = 80;
    /** Of the quotas of all tenants, the part that is claimed under load. */
    private static final double DEMAND = 0.8;

    private static final double MS_PER_S = 1_000;

    private FleetBench() {}

    /**
     * Arguments: sizes with commas (30,100,300,680), control nodes (5), routes of the configuration (1000), a folder
     * for the CSV and the page (target/fleet).
     */
    public static void main(String[] args) throws Exception {
        List<Integer> sizes = Arrays.stream((args.length > 0 ? args[0] : "30,100,300,680").split(","))
                .map(Integer::valueOf)
                .toList();
        int control = args.length > 1 ? Integer.parseInt(args[1]) : 5;
        int routes = args.length > 2 ? Integer.parseInt(args[2]) : ROUTES;
        Path folder = Path.of(args.length > 3 ? args[3] : "target/fleet");
        // Hundreds of sidecars would fill the screen with what each of them thinks of its neighbours.
        LogManager.getLogManager().reset();
        AddedTime.prepare();
        double begun = TrafficLog.now();
        List<Measurement> all = new ArrayList<>();
        List<String> failures = new ArrayList<>();
        for (int size : sizes) {
            try {
                all.addAll(play(size, control, routes));
                Files.createDirectories(folder);
                Files.writeString(folder.resolve("fleet.csv"), new FleetReport(all).csv());
            } catch (IllegalStateException e) {
                failures.add(size + ": " + e.getMessage());
                System.out.println("  failed: " + e.getMessage());
            }
        }
        FleetReport report = new FleetReport(all);
        Files.writeString(folder.resolve("fleet.csv"), report.csv());
        Files.writeString(folder.resolve("fleet.html"), report.page("A hollow fleet by its size"));
        ObjectNode json = JsonNodeFactory.instance
                .objectNode()
                .put("sizes", sizes.toString())
                .put("control", control)
                .put("routes", routes)
                .put("target", TARGET)
                .put("failures", failures.toString())
                .put("wall_s", Math.round((TrafficLog.now() - begun) / MS_PER_S));
        json.set("slopes", report.slopes(TARGET));
        System.out.println("written: " + folder.resolve("fleet.csv") + ", " + folder.resolve("fleet.html"));
        System.out.println(json);
        System.exit(failures.isEmpty() ? 0 : 1);
    }

    private static List<Measurement> play(int size, int control, int routes) throws Exception {
        int services = Math.max(4, Math.round((float) TARGET_SERVICES * size / TARGET));
        FleetPlan plan = new FleetPlan(
                ThreadLocalRandom.current().nextInt(1, 255), control, SIDECARS, size - SIDECARS, services);
        double perSidecar = TARGET_CALLS / TARGET;
        FleetConfiguration configuration =
                new FleetConfiguration(services, routes, TENANTS, Math.ceil(perSidecar * size / TENANTS / DEMAND));
        double begun = TrafficLog.now();
        System.out.printf(
                Locale.ROOT,
                "%d sidecars (%d hollow), %d control nodes, %d services%n",
                size,
                plan.hollow(),
                control,
                services);
        try (FleetRun run = new FleetRun(
                plan,
                configuration,
                perSidecar,
                what -> System.out.printf(
                        Locale.ROOT, "  %5.1f s %s%n", (TrafficLog.now() - begun) / MS_PER_S, what))) {
            Thread end = new Thread(run::close, "end");
            Runtime.getRuntime().addShutdownHook(end);
            List<Measurement> measured = run.play();
            Runtime.getRuntime().removeShutdownHook(end);
            for (Measurement one : measured) {
                System.out.printf(Locale.ROOT, "  %-44s %14.2f %s%n", one.name(), one.value(), one.unit());
            }
            return measured;
        }
    }
}

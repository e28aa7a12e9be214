package sablehinge.cli.mesh;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.ExitCodes;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import sablehinge.cli.mesh.operator.MeshCommand;
import sablehinge.tools.standin.mesh.MeshJudge;
import sablehinge.tools.standin.mesh.MeshPlan;
import sablehinge.tools.standin.mesh.SmallMesh;
import sablehinge.tools.standin.mesh.TrafficCounts;
import sablehinge.tools.standin.mesh.TrafficLog;

/** Runs a small mesh under load with faults and checks the rules against what was observed. */
@Command(
        name = "demo",
        description = "Starts three control nodes and three sidecars on loopback with stand-in "
                + "upstreams, sends some hundred requests while configurations change, the leading control node is "
                + "killed and an upstream leaves, and judges the rules by what clients, upstreams and the operator "
                + "saw. Takes less than a minute.")
@ExitCodes(
        codes = {0, 1},
        descriptions = {"no rule was broken", "a rule was broken, or the mesh did not start"})
public final class MeshDemoCommand implements MeshCommand {

    private static final long STEADY_LOAD_MS = 1_500;
    private static final long REJOIN_MS = 3_200;
    private static final long LOAD_AFTER_LEAVE_MS = 1_200;
    private static final long ANSWER_TIMEOUT_MS = 15_000;
    private static final long EXIT_TIMEOUT_MS = 8_000;
    private static final int LEAVING_UPSTREAM = 1;
    private static final long FIRST_EDITION = 3;
    private static final long SECOND_EDITION = 7;
    private static final long THIRD_EDITION = 12;

    @Option(
            name = {"-e", "--every"},
            title = "MS",
            description = "Each client waits so long between two requests, on the average (default: 30)")
    private long everyMs = 30;

    @Option(
            name = {"-l", "--logs"},
            title = "DIR",
            description = "A folder to which the daemons' logs and settings are copied at the end")
    private String logs;

    /** Called by the command line parser. */
    public MeshDemoCommand() {}

    @Override
    public int execute() throws InterruptedException {
        double startedAtMs = TrafficLog.now();
        SmallMesh mesh = new SmallMesh(new ChildProcesses());
        Thread shutdownHook = new Thread(mesh::close, "end");
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        try (mesh) {
            try {
                return runDemo(mesh, startedAtMs);
            } finally {
                if (logs != null) {
                    mesh.keepLogs(Path.of(logs));
                }
            }
        } finally {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        }
    }

    private int runDemo(SmallMesh mesh, double startedAtMs) throws InterruptedException {
        printLine(
                startedAtMs,
                "starts three control nodes, three sidecars and three upstreams on %s.*",
                mesh.plan().prefix());
        mesh.start(mesh.version(FIRST_EDITION, 0, SmallMesh.BASALT));
        printLine(startedAtMs, "edition %d is taken, all sidecars are ready; clients begin", FIRST_EDITION);
        mesh.load(everyMs);
        TimeUnit.MILLISECONDS.sleep(STEADY_LOAD_MS);
        int leader = Math.max(0, mesh.operator().leader());
        mesh.controlNode(leader).kill();
        printLine(startedAtMs, "control node %d, which leads, is killed", leader + 1);
        mesh.operator().replace(mesh.version(SECOND_EDITION, FIRST_EDITION, SmallMesh.MARL), ANSWER_TIMEOUT_MS);
        printLine(
                startedAtMs, "edition %d is taken by the other two: reads move to %s", SECOND_EDITION, SmallMesh.MARL);
        mesh.restart(leader, 1);
        printLine(startedAtMs, "control node %d is started again", leader + 1);
        TimeUnit.MILLISECONDS.sleep(REJOIN_MS);
        mesh.operator().replace(mesh.version(THIRD_EDITION, SECOND_EDITION, SmallMesh.BASALT), ANSWER_TIMEOUT_MS);
        printLine(startedAtMs, "edition %d is taken: reads move back to %s", THIRD_EDITION, SmallMesh.BASALT);
        printLine(
                startedAtMs, "upstream %d unloads, signs off and ends, and its sidecar after it", LEAVING_UPSTREAM + 1);
        boolean ended = mesh.leave(LEAVING_UPSTREAM, EXIT_TIMEOUT_MS);
        TimeUnit.MILLISECONDS.sleep(LOAD_AFTER_LEAVE_MS);
        mesh.quiet();
        byte[] readBack = mesh.operator().read(ANSWER_TIMEOUT_MS);
        printLine(startedAtMs, "clients have stopped; %d bytes of configuration are read back", readBack.length);
        List<String> breaches = new java.util.ArrayList<>(
                new MeshJudge(mesh.trafficLog(), mesh.operator().orders(), MeshPlan.UNLOAD_MS, MeshPlan.EDITION_MS)
                        .breaches(readBack));
        if (!ended) {
            breaches.add("END: sidecar " + (LEAVING_UPSTREAM + 1) + " has not ended within " + EXIT_TIMEOUT_MS + " ms");
        }
        TrafficCounts counts = TrafficCounts.of(mesh.trafficLog());
        System.out.println();
        counts.print(System.out);
        System.out.println();
        if (counts.share() < TrafficCounts.ENOUGH) {
            breaches.add(String.format(Locale.ROOT, "SERVED: only %.1f%% of the tries", 100 * counts.share()));
        }
        breaches.forEach(System.out::println);
        System.out.println("rules: " + (breaches.isEmpty() ? "none broken" : breaches.size() + " breaches"));
        return breaches.isEmpty() ? 0 : 1;
    }

    private static void printLine(double startedAtMs, String format, Object... values) {
        System.out.printf(
                Locale.ROOT, "%6.1f s  " + format + "%n", prepend((TrafficLog.now() - startedAtMs) / 1_000, values));
    }

    private static Object[] prepend(double first, Object... values) {
        Object[] all = new Object[values.length + 1];
        all[0] = first;
        System.arraycopy(values, 0, all, 1, values.length);
        return all;
    }
}

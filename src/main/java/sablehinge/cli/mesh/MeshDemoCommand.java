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

/** Shows a mesh at work and judges what was seen. */
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

    private static final long CALM_MS = 1_500;
    private static final long CONTACT_MS = 3_200;
    private static final long AFTER_MS = 1_200;
    private static final long ANSWER_MS = 15_000;
    private static final long END_MS = 8_000;
    private static final int LEAVES = 1;
    private static final long FIRST = 3;
    private static final long SECOND = 7;
    private static final long THIRD = 12;

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

    /** Made by the command line. */
    public MeshDemoCommand() {}

    @Override
    public int execute() throws InterruptedException {
        double begun = TrafficLog.now();
        SmallMesh mesh = new SmallMesh(new ChildProcesses());
        Thread end = new Thread(mesh::close, "end");
        Runtime.getRuntime().addShutdownHook(end);
        try (mesh) {
            try {
                return play(mesh, begun);
            } finally {
                if (logs != null) {
                    mesh.keepLogs(Path.of(logs));
                }
            }
        } finally {
            Runtime.getRuntime().removeShutdownHook(end);
        }
    }

    private int play(SmallMesh mesh, double begun) throws InterruptedException {
        say(
                begun,
                "starts three control nodes, three sidecars and three upstreams on %s.*",
                mesh.plan().prefix());
        mesh.start(mesh.version(FIRST, 0, SmallMesh.BASALT));
        say(begun, "edition %d is taken, all sidecars are ready; clients begin", FIRST);
        mesh.load(everyMs);
        TimeUnit.MILLISECONDS.sleep(CALM_MS);
        int leader = Math.max(0, mesh.operator().leader());
        mesh.controlNode(leader).kill();
        say(begun, "control node %d, which leads, is killed", leader + 1);
        mesh.operator().replace(mesh.version(SECOND, FIRST, SmallMesh.MARL), ANSWER_MS);
        say(begun, "edition %d is taken by the other two: reads move to %s", SECOND, SmallMesh.MARL);
        mesh.restart(leader, 1);
        say(begun, "control node %d is started again", leader + 1);
        TimeUnit.MILLISECONDS.sleep(CONTACT_MS);
        mesh.operator().replace(mesh.version(THIRD, SECOND, SmallMesh.BASALT), ANSWER_MS);
        say(begun, "edition %d is taken: reads move back to %s", THIRD, SmallMesh.BASALT);
        say(begun, "upstream %d unloads, signs off and ends, and its sidecar after it", LEAVES + 1);
        boolean ended = mesh.leave(LEAVES, END_MS);
        TimeUnit.MILLISECONDS.sleep(AFTER_MS);
        mesh.quiet();
        byte[] readBack = mesh.operator().read(ANSWER_MS);
        say(begun, "clients have stopped; %d bytes of configuration are read back", readBack.length);
        List<String> breaches = new java.util.ArrayList<>(
                new MeshJudge(mesh.trafficLog(), mesh.operator().orders(), MeshPlan.UNLOAD_MS, MeshPlan.EDITION_MS)
                        .breaches(readBack));
        if (!ended) {
            breaches.add("END: sidecar " + (LEAVES + 1) + " has not ended within " + END_MS + " ms");
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

    private static void say(double begun, String format, Object... values) {
        System.out.printf(
                Locale.ROOT, "%6.1f s  " + format + "%n", prepend((TrafficLog.now() - begun) / 1_000, values));
    }

    private static Object[] prepend(double first, Object... values) {
        Object[] all = new Object[values.length + 1];
        all[0] = first;
        System.arraycopy(values, 0, all, 1, values.length);
        return all;
    }
}

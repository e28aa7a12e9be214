package sablehinge.testing;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import sablehinge.tools.standin.mesh.SmallMesh;

/**
 * Run by the build: has the packed daemons serve a small mesh for a moment, by the very commands of the deploy file, so
 * that the virtual machine archives the classes that one sidecar and one control node have loaded by their end. The
 * control node has by then read its disk, followed and, unless the box is slow, led.
 */
public final class MeshRehearsal {

    private static final Pattern ROLE = Pattern.compile("\\[roles\\.(\\w+)]\\s+run = \"([^\"]+)\"");
    private static final String USED = "-XX:SharedArchiveFile=";
    private static final String MADE = "-XX:ArchiveClassesAtExit=";
    private static final long EVERY_MS = 25;
    private static final long SERVES_MS = 1_500;
    private static final long SETTLES_MS = 700;
    private static final long ANSWER_MS = 20_000;
    private static final long DUMP_MS = 40_000;
    private static final int ROUNDS = 8;
    private static final int ACTOR = 0;

    private MeshRehearsal() {}

    /** The arguments are the deploy file and a folder for the daemons' logs. */
    public static void main(String[] args) throws Exception {
        Map<String, List<String>> runs = runs(Path.of(args[0]));
        SmallMesh mesh = new SmallMesh((role, place, start) ->
                command(runs.get(role), place == ACTOR && (role.equals("sidecar") || start > 0)));
        Thread end = new Thread(mesh::close, "end");
        Runtime.getRuntime().addShutdownHook(end);
        try (mesh) {
            try {
                play(mesh);
            } finally {
                mesh.keepLogs(Path.of(args[1]));
            }
        }
        Runtime.getRuntime().removeShutdownHook(end);
    }

    private static void play(SmallMesh mesh) throws InterruptedException {
        mesh.start(mesh.version(1, 0, SmallMesh.BASALT));
        mesh.load(EVERY_MS);
        mesh.controlNode(ACTOR).kill();
        mesh.restart(ACTOR, 1);
        TimeUnit.MILLISECONDS.sleep(SERVES_MS);
        mesh.operator().replace(mesh.version(2, 1, SmallMesh.MARL), ANSWER_MS);
        for (int i = 1; i <= ROUNDS && !leads(mesh); i++) {
            int leader = mesh.operator().leader();
            if (leader > ACTOR) {
                mesh.controlNode(leader).kill();
                mesh.restart(leader, i);
            }
            TimeUnit.MILLISECONDS.sleep(SETTLES_MS);
        }
        System.out.println("the control node leads: " + leads(mesh));
        mesh.operator().replace(mesh.version(3, 2, SmallMesh.BASALT), ANSWER_MS);
        TimeUnit.MILLISECONDS.sleep(SETTLES_MS);
        System.out.println("the sidecar has ended: " + mesh.leave(ACTOR, DUMP_MS));
        System.out.println(
                "the control node has ended: " + mesh.controlNode(ACTOR).end(DUMP_MS));
    }

    private static boolean leads(SmallMesh mesh) {
        return mesh.operator().leader() == ACTOR;
    }

    /** A role's command, by which an archive is made or which does without. */
    private static List<String> command(List<String> run, boolean makes) {
        List<String> command = new ArrayList<>();
        for (String word : run) {
            if (word.equals("java")) {
                command.add(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString());
            } else if (!word.startsWith(USED)) {
                command.add(word);
            } else if (makes) {
                command.add(MADE + word.substring(USED.length()));
            }
        }
        return command;
    }

    private static Map<String, List<String>> runs(Path deploy) throws IOException {
        Map<String, List<String>> runs = new HashMap<>();
        Matcher matcher = ROLE.matcher(Files.readString(deploy));
        while (matcher.find()) {
            runs.put(matcher.group(1), List.of(matcher.group(2).split(" ")));
        }
        return runs;
    }
}

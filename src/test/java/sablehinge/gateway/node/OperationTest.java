package sablehinge.gateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import sablehinge.common.settings.ConfigException;
import sablehinge.gateway.config.PlatformConfig;
import sablehinge.policy.LatencyWeightedBalancer;
import sablehinge.policy.LoadBalancer.State;
import sablehinge.testing.Peer;
import sablehinge.testing.Script;
import sablehinge.testing.Stage;

/** Tests operator commands and reloads of the settings over sockets while a balancer serves. */
@Timeout(120)
class OperationTest {

    private static final String FIRST_UPSTREAM = "s-00000000";

    @TempDir
    private Path folder;

    private static Stage stage(int upstreams) throws Exception {
        Stage stage = new Stage(upstreams);
        stage.operator = "127.0.0.1:0";
        return stage;
    }

    @Test
    void suspendedUpstreamReceivesNoRequestsUntilRestored() throws Exception {
        try (Stage stage = stage(2)) {
            stage.start(LatencyWeightedBalancer::new);
            assertEquals("ok", stage.call("STATUS"));
            assertEquals("ok", stage.call("SUSPEND " + FIRST_UPSTREAM));
            assertEquals("ok", stage.call("SUSPEND " + FIRST_UPSTREAM));
            Peer caller = stage.caller();
            Peer served = null;
            for (int i = 0; i < 40; i++) {
                caller.write(Stage.get("r" + i, "10"));
                served = served == null ? stage.upstreams.get(1).accept() : served;
                served.read();
                served.write(Stage.ok("served"));
                assertEquals(200, caller.read().status());
            }
            assertEquals(0, stage.upstreams.get(0).waiting());
            assertEquals("ok", stage.call("RESTORE " + FIRST_UPSTREAM));
            // The other upstream is suspended now, so that requests can only go to the restored one.
            assertEquals("ok", stage.call("SUSPEND s-00000001"));
            caller.write(Stage.get("back", "10"));
            Peer restored = stage.upstreams.get(0).accept();
            restored.read();
            restored.write(Stage.ok("served"));
            assertEquals(200, caller.read().status());
        }
    }

    /** The module receives a suspension as a drain and a restoration as a start. */
    @Test
    void reportsSuspensionAsDrainAndRestorationAsStart() throws Exception {
        try (Stage stage = stage(1)) {
            stage.start();
            assertEquals(0, Script.next(stage.script.lists).get(0).startedAt());
            double before = stage.node.now();
            stage.call("SUSPEND " + FIRST_UPSTREAM);
            assertEquals(State.DRAINING, Script.next(stage.script.lists).get(0).state());
            stage.call("RESTORE " + FIRST_UPSTREAM);
            var restored = Script.next(stage.script.lists).get(0);
            assertEquals(State.READY, restored.state());
            assertTrue(restored.startedAt() >= before);
        }
    }

    @Test
    void rejectsInvalidCommands() throws Exception {
        try (Stage stage = stage(1)) {
            stage.start();
            for (String command : List.of(
                    "SUSPEND s-nobody",
                    "RESTORE s-nobody",
                    "SUSPEND",
                    "STATUS now",
                    "",
                    "x",
                    "SUSPEND " + FIRST_UPSTREAM + " " + FIRST_UPSTREAM,
                    "x".repeat(600))) {
                assertTrue(stage.call(command).startsWith("fail "), command);
            }
            // The end of the input also ends the line.
            try (Peer peer = Peer.to(stage.node.operatorAddress())) {
                peer.write("STATUS");
                peer.socket.shutdownOutput();
                assertEquals("ok\n", new String(peer.socket.getInputStream().readAllBytes()));
            }
        }
    }

    /** With more connections than the limit, the oldest idle ones are closed, so that a new command is answered. */
    @Test
    void incompleteCommandsDoNotBlockOthers() throws Exception {
        List<Peer> idle = new ArrayList<>();
        try (Stage stage = stage(1)) {
            stage.start();
            for (int i = 0; i < 40; i++) {
                Peer peer = Peer.to(stage.node.operatorAddress());
                peer.write("SUSP");
                idle.add(peer);
            }
            assertEquals("ok", stage.call("STATUS"));
            assertTrue(idle.get(0).ended());
        } finally {
            for (Peer peer : idle) {
                peer.close();
            }
        }
    }

    private PlatformConfig successor(Stage stage, String text) throws Exception {
        Path file = Files.writeString(folder.resolve("next.json"), text);
        return stage.node.config().successor(file.toString());
    }

    @Test
    void servesNewClassesWhileInFlightRequestsKeepOldSettings() throws Exception {
        try (Stage stage = stage(1)) {
            stage.start();
            Peer early = stage.caller();
            early.write(Stage.get("early", "10"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            stage.node.reload(successor(
                    stage,
                    stage.config().replace("look-up", "look-out").replace("\"attemptsCap\":4", "\"attemptsCap\":2")));
            assertEquals(2, Script.next(stage.script.adopted).limits().maxAttempts());
            Peer caller = stage.caller();
            caller.write(Stage.get("new", "10").replace("look-up", "look-out"));
            Peer second = stage.upstreams.get(0).accept();
            second.read();
            second.write(Stage.ok("new"));
            assertEquals("new", caller.read().body());
            // A request of the removed class that is read only now still uses the previous settings.
            caller.write(Stage.get("late", "10"));
            second.read();
            second.write(Stage.ok("late"));
            assertEquals("late", caller.read().body());
            upstream.write(Stage.ok("early"));
            assertEquals("early", early.read().body());
            caller.write(Stage.get("never", "10").replace("look-up", "look-in"));
            assertEquals(400, caller.read().status());
        }
    }

    /** An invalid file is rejected completely, including its address of discovery. */
    @Test
    void rejectsInvalidFileCompletely() throws Exception {
        try (Stage stage = stage(1)) {
            stage.start();
            String valid = stage.config();
            List<String> invalid = List.of(
                    "",
                    "{",
                    "null",
                    valid.substring(0, valid.length() / 2),
                    valid + "}",
                    valid.replace("\"deadline\":2500.0", "\"deadline\":-5"),
                    valid.replace("\"deadline\":2500.0", "\"deadline\":0"),
                    valid.replace("\"deadline\":2500.0", "\"deadline\":\"2500\""),
                    valid.replace("\"deadline\":2500.0", "\"deadline\":1e999"),
                    valid.replace("\"deadline\":2500.0,", ""),
                    valid.replace("\"attemptsCap\":4", "\"attemptsCap\":0"),
                    valid.replace("\"attemptsCap\":4", "\"attemptsCap\":1.5"),
                    valid.replace("\"attemptsCap\":4", "\"attemptsCap\":null"),
                    valid.replace("\"attemptsCap\":4,", ""),
                    valid.replace("\"warmUp\":24000.0,", ""),
                    valid.replace("\"callers\":{\"marksRetry\":false},", ""),
                    valid.replace("\"sockets\":1024", "\"files\":1024"),
                    valid.replace("\"look-up\"", "\"credit-spend\""),
                    valid.replace("\"dakar-a\"", "\"b\""));
            for (String text : invalid) {
                assertThrows(ConfigException.class, () -> successor(stage, text), text);
            }
            successor(stage, valid);
            assertNull(stage.script.adopted.poll());
        }
    }
}

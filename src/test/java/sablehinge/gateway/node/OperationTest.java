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

/** Daily operation over sockets: operators' calls, and settings that change while a balancer serves. */
@Timeout(120)
class OperationTest {

    private static final String ONE = "s-00000000";

    @TempDir
    private Path folder;

    private static Stage stage(int upstreams) throws Exception {
        Stage stage = new Stage(upstreams);
        stage.operator = "127.0.0.1:0";
        return stage;
    }

    @Test
    void whoIsOutGetsNothingNewUntilItIsBack() throws Exception {
        try (Stage stage = stage(2)) {
            stage.start(LatencyWeightedBalancer::new);
            assertEquals("ok", stage.call("STATUS"));
            assertEquals("ok", stage.call("SUSPEND " + ONE));
            assertEquals("ok", stage.call("SUSPEND " + ONE));
            Peer caller = stage.caller();
            Peer other = null;
            for (int i = 0; i < 40; i++) {
                caller.write(Stage.get("r" + i, "10"));
                other = other == null ? stage.upstreams.get(1).accept() : other;
                other.read();
                other.write(Stage.ok("served"));
                assertEquals(200, caller.read().status());
            }
            assertEquals(0, stage.upstreams.get(0).waiting());
            assertEquals("ok", stage.call("RESTORE " + ONE));
            // Now the other one is out, so that what comes can only go to the one that is back.
            assertEquals("ok", stage.call("SUSPEND s-00000001"));
            caller.write(Stage.get("back", "10"));
            Peer back = stage.upstreams.get(0).accept();
            back.read();
            back.write(Stage.ok("served"));
            assertEquals(200, caller.read().status());
        }
    }

    /** The module is notified of it as of a drain, and of the return as of a start. */
    @Test
    void theModuleHearsOfADrainAndOfAStart() throws Exception {
        try (Stage stage = stage(1)) {
            stage.start();
            assertEquals(0, Script.next(stage.script.lists).get(0).startedAt());
            double before = stage.node.now();
            stage.call("SUSPEND " + ONE);
            assertEquals(State.DRAINING, Script.next(stage.script.lists).get(0).state());
            stage.call("RESTORE " + ONE);
            var back = Script.next(stage.script.lists).get(0);
            assertEquals(State.READY, back.state());
            assertTrue(back.startedAt() >= before);
        }
    }

    @Test
    void whatIsWrongIsOwedANo() throws Exception {
        try (Stage stage = stage(1)) {
            stage.start();
            for (String bad : List.of(
                    "SUSPEND s-nobody",
                    "RESTORE s-nobody",
                    "SUSPEND",
                    "STATUS now",
                    "",
                    "x",
                    "SUSPEND " + ONE + " " + ONE,
                    "x".repeat(600))) {
                assertTrue(stage.call(bad).startsWith("fail "), bad);
            }
            // A line that ends with the sending is one too.
            try (Peer peer = Peer.to(stage.node.operatorAddress())) {
                peer.write("STATUS");
                peer.socket.shutdownOutput();
                assertEquals("ok\n", new String(peer.socket.getInputStream().readAllBytes()));
            }
        }
    }

    /** More than it keeps: those that say nothing give way, so that the one that calls is heard. */
    @Test
    void whoFinishesNoCallHoldsUpNobody() throws Exception {
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

    private PlatformConfig next(Stage stage, String text) throws Exception {
        Path file = Files.writeString(folder.resolve("next.json"), text);
        return stage.node.config().successor(file.toString());
    }

    @Test
    void newClassesAreServedAndWhatIsUnderWayKeepsItsOwn() throws Exception {
        try (Stage stage = stage(1)) {
            stage.start();
            Peer early = stage.caller();
            early.write(Stage.get("early", "10"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            stage.node.reload(next(
                    stage,
                    stage.config().replace("look-up", "look-out").replace("\"attemptsCap\":4", "\"attemptsCap\":2")));
            assertEquals(2, Script.next(stage.script.adopted).limits().maxAttempts());
            Peer caller = stage.caller();
            caller.write(Stage.get("new", "10").replace("look-up", "look-out"));
            Peer second = stage.upstreams.get(0).accept();
            second.read();
            second.write(Stage.ok("new"));
            assertEquals("new", caller.read().body());
            // Sent by the class that has gone, and only now read: it is taken as it was meant.
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

    /** Nothing of a broken file is taken, where discovery is neither. */
    @Test
    void ofABrokenFileNothingIsTaken() throws Exception {
        try (Stage stage = stage(1)) {
            stage.start();
            String good = stage.config();
            List<String> broken = List.of(
                    "",
                    "{",
                    "null",
                    good.substring(0, good.length() / 2),
                    good + "}",
                    good.replace("\"deadline\":2500.0", "\"deadline\":-5"),
                    good.replace("\"deadline\":2500.0", "\"deadline\":0"),
                    good.replace("\"deadline\":2500.0", "\"deadline\":\"2500\""),
                    good.replace("\"deadline\":2500.0", "\"deadline\":1e999"),
                    good.replace("\"deadline\":2500.0,", ""),
                    good.replace("\"attemptsCap\":4", "\"attemptsCap\":0"),
                    good.replace("\"attemptsCap\":4", "\"attemptsCap\":1.5"),
                    good.replace("\"attemptsCap\":4", "\"attemptsCap\":null"),
                    good.replace("\"attemptsCap\":4,", ""),
                    good.replace("\"warmUp\":24000.0,", ""),
                    good.replace("\"callers\":{\"marksRetry\":false},", ""),
                    good.replace("\"sockets\":1024", "\"files\":1024"),
                    good.replace("\"look-up\"", "\"credit-spend\""),
                    good.replace("\"dakar-a\"", "\"b\""));
            for (String text : broken) {
                assertThrows(ConfigException.class, () -> next(stage, text), text);
            }
            next(stage, good);
            assertNull(stage.script.adopted.poll());
        }
    }
}

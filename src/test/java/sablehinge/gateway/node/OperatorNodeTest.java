package sablehinge.gateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sablehinge.testing.Listener;
import sablehinge.testing.OperatorStage;
import sablehinge.testing.Peer;
import sablehinge.testing.Stage;
import sablehinge.testing.StandIn;
import sablehinge.testing.StandIn.Plan;

/** Tests configuration changes over loopback sockets, including failures during a change. */
@Timeout(120)
class OperatorNodeTest {

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0)) {
            return free.getLocalPort();
        }
    }

    private static String version(Peer.Message answer) {
        return answer.header("Sablehinge-Version");
    }

    private static String reason(JsonNode response) {
        return response.path("error").asText();
    }

    @Test
    void appliesAndConfirmsChange() throws Exception {
        try (OperatorStage stage = new OperatorStage(2)) {
            stage.start(stage.text(0));
            assertEquals("1", version(stage.ask(Stage.get("a", "5"))));
            int next = stage.stage(stage.text(1));
            assertEquals(2, next);
            assertEquals("1", version(stage.ask(Stage.get("b", "5"))));
            assertEquals("trial", stage.apply(next).path("change").path("phase").asText());
            assertEquals("2", version(stage.ask(Stage.get("c", "5"))));
            assertEquals(2, stage.confirm().path("confirmed").asInt());
            assertEquals(2, stage.servers.get(0).seen.size());
            assertEquals(1, stage.servers.get(1).seen.size());
        }
    }

    @Test
    void logLevelsFollowCurrentVersion() throws Exception {
        org.slf4j.Logger netty = org.slf4j.LoggerFactory.getLogger("io.netty");
        try (OperatorStage stage = new OperatorStage(1)) {
            stage.start(stage.text(0));
            assertTrue(netty.isInfoEnabled());
            stage.apply(stage.stage(stage.text("127.0.0.1:0", "[log.levels]\nnetty = \"error\"\n", 0)));
            assertFalse(netty.isWarnEnabled());
            stage.admin("POST", "/config/rollback", "");
            assertTrue(netty.isInfoEnabled());
        }
    }

    @Test
    void rollbackWith500RequestsInFlightCompletesEachOnce() throws Exception {
        try (OperatorStage stage = new OperatorStage(4)) {
            stage.start(stage.text(0, 1));
            stage.apply(stage.stage(stage.text(2, 3)));
            for (StandIn server : stage.servers) {
                server.plan = seen -> new Plan(0, 0);
            }
            List<Peer> callers = new ArrayList<>();
            try {
                for (int i = 0; i < 500; i++) {
                    callers.add(stage.caller());
                }
                for (int i = 0; i < 500; i++) {
                    callers.get(i).write(i % 2 == 0 ? Stage.get("r" + i, "10") : Stage.spend("r" + i, "x"));
                }
                while (stage.servers.get(2).seen.size()
                                + stage.servers.get(3).seen.size()
                        < 500) {
                    assertFalse(Thread.interrupted(), "timeout");
                    Thread.onSpinWait();
                }
                assertEquals(500, stage.status().path("requests_at_work").asInt());
                JsonNode rolledBack = stage.admin("POST", "/config/rollback", "");
                assertEquals(1, rolledBack.path("current").asInt());
                assertTrue(rolledBack.path("last_undo_ms").asDouble() < 1_000);
                stage.servers.get(0).plan = seen -> new Plan(200, 0);
                stage.servers.get(1).plan = seen -> new Plan(200, 0);
                assertEquals("1", version(stage.ask(Stage.get("new", "5"))));
                // One server resets its requests, the other responds.
                stage.servers.get(2).close();
                stage.servers.get(3).plan = seen -> new Plan(200, 0);
                stage.servers.get(3).release();
                int served = 0;
                for (int i = 0; i < 500; i++) {
                    Peer.Message answer = callers.get(i).read();
                    assertEquals("2", version(answer), "r" + i);
                    assertTrue(
                            answer.status() == 200 || answer.status() == 502 || i % 2 == 0 && answer.status() == 503,
                            "r" + i + ": " + answer);
                    served += answer.status() == 200 ? 1 : 0;
                    assertNull(readAfterClose(callers.get(i)));
                }
                assertTrue(served > 100, served + " served");
                for (int i = 0; i < 500; i++) {
                    String txn = "r" + i;
                    assertEquals(
                            0,
                            stage.servers.get(0).count(txn)
                                    + stage.servers.get(1).count(txn),
                            txn);
                    long sent = stage.servers.get(2).count(txn)
                            + stage.servers.get(3).count(txn);
                    assertTrue(i % 2 == 0 ? sent >= 1 : sent == 1, txn + " was sent " + sent + " times");
                }
                stage.until(status -> status.path("versions_at_work").asInt() == 1);
            } finally {
                for (Peer caller : callers) {
                    caller.close();
                }
            }
        }
    }

    /** Reads after a response: the end of the connection is expected, as this side has closed its output. */
    private static Peer.Message readAfterClose(Peer caller) throws IOException {
        caller.socket.shutdownOutput();
        return caller.read();
    }

    @Test
    void serverFailureDuringChangeFailsNoRequest() throws Exception {
        try (OperatorStage stage = new OperatorStage(3)) {
            stage.start(stage.text(0));
            int next = stage.stage(stage.text(0, 1, 2));
            stage.servers.get(1).close();
            assertEquals(200, stage.apply(next).path("status").asInt());
            stage.servers.get(2).close();
            for (int i = 0; i < 30; i++) {
                Peer.Message answer = stage.ask(i % 2 == 0 ? Stage.get("r" + i, "5") : Stage.spend("r" + i, ""));
                assertEquals(200, answer.status(), "r" + i);
                assertEquals("2", version(answer));
            }
        }
    }

    @Test
    void rollsBackChangeThatConnectsToTooFewServers() throws Exception {
        // Nothing listens at this address, and no other listener can get its port.
        Listener closed = new Listener();
        closed.close();
        try (OperatorStage stage = new OperatorStage(3)) {
            stage.start(stage.text(0));
            int next = stage.stage(stage.text("127.0.0.1:0", "[change]\nready-within = \"2s\"\nready-least = 2\n", 1, 2)
                    .replace(stage.servers.get(2).address(), closed.address()));
            JsonNode refused = stage.apply(next);
            assertEquals("version 2 is undone: reached 1 of at least 2 servers within 2000 ms", reason(refused));
            assertEquals("1", version(stage.ask(Stage.get("a", "5"))));
            assertEquals(List.of(), List.copyOf(stage.servers.get(1).seen));
        }
    }

    @Test
    void rollsBackChangeWhenListenerCannotBind() throws Exception {
        try (OperatorStage stage = new OperatorStage(1);
                ServerSocket taken = new ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
            stage.start(stage.text(0));
            JsonNode refused = stage.apply(stage.stage(stage.text("127.0.0.1:" + taken.getLocalPort(), "", 0)));
            assertTrue(reason(refused).startsWith("version 2 is undone: cannot listen on"), reason(refused));
            assertEquals("1", version(stage.ask(Stage.get("a", "5"))));
        }
    }

    @Test
    void drainingServerReceivesNoNewRequestsFromAnyVersion() throws Exception {
        try (OperatorStage stage = new OperatorStage(2)) {
            stage.start(stage.text(0, 1));
            StandIn drainingServer = stage.servers.get(0);
            StandIn readyServer = stage.servers.get(1);
            drainingServer.plan = seen -> new Plan(0, 0);
            readyServer.plan = seen -> new Plan(0, 0);
            List<Peer> callers = new ArrayList<>();
            while (drainingServer.seen.isEmpty() || readyServer.seen.isEmpty()) {
                Peer caller = stage.caller();
                callers.add(caller);
                caller.write(Stage.get("old" + callers.size(), "8"));
                int sent = callers.size();
                while (drainingServer.seen.size() + readyServer.seen.size() < sent) {
                    assertFalse(Thread.interrupted(), "timeout");
                    Thread.onSpinWait();
                }
            }
            String draining = stage.text(0, 1).replaceFirst("cell = 0", "cell = 0\nstate = \"draining\"");
            stage.apply(stage.stage(draining));
            stage.confirm();
            int before = drainingServer.seen.size();
            // During the drain, an unrelated change is applied.
            stage.apply(stage.stage(draining + "[limits]\nattempts = 3\n"));
            readyServer.plan = seen -> new Plan(200, 0);
            for (int i = 0; i < 30; i++) {
                assertEquals(200, stage.ask(Stage.get("new" + i, "5")).status());
            }
            // Requests of the first version that the other server resets must not be retried at the draining server
            // either.
            readyServer.close();
            drainingServer.release();
            for (Peer caller : callers) {
                Peer.Message answer = caller.read();
                assertEquals("1", version(answer));
                caller.close();
            }
            assertEquals(before, drainingServer.seen.size());
        }
    }

    @Test
    void completesRequestsOfRemovedClass() throws Exception {
        try (OperatorStage stage = new OperatorStage(1)) {
            stage.start(stage.text(0));
            stage.servers.get(0).plan = seen -> new Plan(0, 0);
            try (Peer caller = stage.caller()) {
                caller.write(Stage.spend("a", "x"));
                stage.servers.get(0).await(1);
                stage.apply(stage.stage(stage.text(0).replace("credit-spend", "tile-order")));
                stage.confirm();
                stage.servers.get(0).release();
                Peer.Message answer = caller.read();
                assertEquals(200, answer.status());
                assertEquals("1", version(answer));
                assertEquals("for a", answer.body());
            }
            assertEquals(400, stage.ask(Stage.spend("b", "x")).status());
        }
    }

    @Test
    void replacesListenerWhileClientsAreConnected() throws Exception {
        int first = freePort();
        int second = freePort();
        try (OperatorStage stage = new OperatorStage(1)) {
            stage.start(stage.text("127.0.0.1:" + first, "", 0));
            try (Peer client = Peer.to(new InetSocketAddress("127.0.0.1", first))) {
                client.write(Stage.get("a", "5"));
                assertEquals("1", version(client.read()));
                stage.apply(stage.stage(stage.text("127.0.0.1:" + second, "", 0)));
                // Both listeners serve during the trial, and clients are not asked to close their connections yet.
                client.write(Stage.get("b", "5"));
                Peer.Message duringTrial = client.read();
                assertEquals("2", version(duringTrial));
                assertNull(duringTrial.header("Connection"));
                assertEquals("2", version(stage.ask(Stage.get("c", "5"))));
                stage.confirm();
                client.write(Stage.get("d", "5"));
                Peer.Message last = client.read();
                assertEquals(200, last.status());
                assertEquals("close", last.header("Connection"));
            }
            stage.until(status -> {
                try (Peer lateClient = Peer.to(new InetSocketAddress("127.0.0.1", first))) {
                    return !lateClient.socket.isConnected();
                } catch (IOException e) {
                    return true;
                }
            });
            assertEquals("2", version(stage.ask(Stage.get("e", "5"))));
        }
    }

    @Test
    void rollsBackChangeWhenResponsesFail() throws Exception {
        try (OperatorStage stage = new OperatorStage(2)) {
            stage.start(stage.text(0));
            stage.servers.get(1).plan = seen -> new Plan(500, 0);
            for (int i = 0; i < 50; i++) {
                stage.ask(Stage.get("g" + i, "5"));
            }
            stage.apply(stage.stage(stage.text("127.0.0.1:0", "[change]\nleast-count = 20\n", 1)));
            int requested = 0;
            try (Peer caller = stage.caller()) {
                while (stage.status().path("change").path("phase").asText().equals("trial")) {
                    for (int i = 0; i < 10; i++) {
                        caller.write(Stage.spend("b" + requested++, ""));
                        assertNotEquals(null, caller.read());
                    }
                    assertTrue(requested < 10_000, "the change was not rolled back");
                }
            }
            JsonNode past = stage.status().path("past").get(0);
            assertEquals("undone", past.path("outcome").asText());
            assertTrue(past.path("reason").asText().startsWith("failed answers rose from 0.0% to "), past.toString());
            assertEquals("1", version(stage.ask(Stage.get("after", "5"))));
        }
    }

    @Test
    void shutdownDuringChangeCompletesRequestsAndRestoresConfirmedVersion() throws Exception {
        try (OperatorStage stage = new OperatorStage(2)) {
            stage.start(stage.text(0));
            stage.servers.get(0).plan = seen -> new Plan(0, 0);
            try (Peer caller = stage.caller()) {
                caller.write(Stage.spend("a", "x"));
                stage.servers.get(0).await(1);
                stage.apply(stage.stage(stage.text(1)));
                Thread shutdown = new Thread(() -> {
                    try {
                        stage.node.drain();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
                shutdown.start();
                stage.servers.get(0).release();
                assertEquals(200, caller.read().status());
                shutdown.join();
            }
            stage.node.kill();
            stage.node = OperatorNode.start(stage.file, false);
            assertEquals(1, stage.status().path("confirmed").asInt());
            stage.servers.get(0).plan = seen -> new Plan(200, 0);
            assertEquals("1", version(stage.ask(Stage.get("b", "5"))));
        }
    }

    @Test
    void drainAcceptsNoClientsAndStartsNoRequests() throws Exception {
        try (OperatorStage stage = new OperatorStage(1)) {
            stage.start(stage.text(0));
            stage.servers.get(0).plan = seen -> new Plan(0, 0);
            InetSocketAddress address = stage.node.addresses().get(0);
            try (Peer caller = stage.caller()) {
                caller.write(Stage.spend("a", "x"));
                stage.servers.get(0).await(1);
                Thread shutdown = new Thread(() -> {
                    try {
                        stage.node.drain();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
                shutdown.start();
                awaitClosed(address);
                caller.write(Stage.spend("b", "x"));
                stage.status();
                stage.servers.get(0).release();
                assertEquals(200, caller.read().status());
                assertEquals(503, caller.read().status());
                assertTrue(caller.ended());
                shutdown.join();
                assertEquals(1, stage.servers.get(0).seen.size());
            }
        }
    }

    private static void awaitClosed(InetSocketAddress address) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Peer.TIMEOUT_MS);
        while (System.nanoTime() < end) {
            try {
                Peer.to(address).close();
            } catch (IOException e) {
                return;
            }
        }
        throw new AssertionError("the listener still accepts connections");
    }

    /** A drain also waits for the clients of a listener that was removed shortly before. */
    @Test
    void drainWaitsForClientsOfRetiringListener() throws Exception {
        int first = freePort();
        try (OperatorStage stage = new OperatorStage(1)) {
            stage.start(stage.text("127.0.0.1:" + first, "", 0));
            try (Peer client = Peer.to(new InetSocketAddress("127.0.0.1", first))) {
                client.write(Stage.get("a", "5"));
                assertEquals(200, client.read().status());
                stage.apply(stage.stage(stage.text("127.0.0.1:" + freePort(), "", 0)));
                stage.confirm();
                stage.node.drain();
                assertTrue(stage.node.onLoop(() -> stage.node.clientConnections()) == 0, "client connections remain");
            }
        }
    }

    @Test
    void hundredChangesLeakNoResources() throws Exception {
        try (OperatorStage stage = new OperatorStage(2)) {
            stage.start(stage.text(0));
            change(stage, 0);
            int files = descriptors();
            int threads = Thread.activeCount();
            for (int i = 1; i <= 100; i++) {
                change(stage, i);
            }
            JsonNode status = stage.until(now -> now.path("versions_at_work").asInt() == 1
                    && now.path("requests_at_work").asInt() == 0
                    && now.path("connections").asInt() <= 4);
            assertEquals(0, status.path("staged").size());
            assertTrue(descriptors() <= files + 4, descriptors() + " descriptors after " + files);
            assertTrue(Thread.activeCount() <= threads + 2, Thread.activeCount() + " threads after " + threads);
        }
    }

    private static void change(OperatorStage stage, int i) throws Exception {
        int version = stage.stage(stage.text("127.0.0.1:0", "[limits]\nopen = " + (100 + i) + "\n", i % 2));
        assertEquals(200, stage.apply(version).path("status").asInt());
        assertEquals(200, stage.ask(Stage.get("r" + i, "5")).status());
        if (i % 2 == 0) {
            stage.confirm();
        } else {
            stage.admin("POST", "/config/rollback", "");
        }
    }

    private static int descriptors() throws IOException {
        try (var files = Files.list(Path.of("/proc/self/fd"))) {
            return (int) files.count();
        }
    }

    @Test
    void rejectsStagingOnFullDiskWithoutAffectingTraffic() throws Exception {
        try (OperatorStage stage = new OperatorStage(1)) {
            stage.start(stage.text(0));
            // A directory replaces the file to write, so that no user can write it, not even root.
            Files.createDirectory(stage.folder.resolve("sablehinge-state/v000002.toml.new"));
            JsonNode refused = stage.admin("POST", "/config/stage", stage.text(0));
            assertEquals(409, refused.path("status").asInt());
            assertTrue(reason(refused).startsWith("v000002.toml could not be written: "), reason(refused));
            assertEquals("1", version(stage.ask(Stage.get("a", "5"))));
            Files.createDirectory(stage.folder.resolve("sablehinge-state/state.json.new"));
            Files.delete(stage.folder.resolve("sablehinge-state/v000002.toml.new"));
            assertEquals(
                    409,
                    stage.admin("POST", "/config/stage", stage.text(0))
                            .path("status")
                            .asInt());
            Files.delete(stage.folder.resolve("sablehinge-state/state.json.new"));
            assertEquals(2, stage.stage(stage.text(0)));
        }
    }

    @Test
    void rejectsInvalidFilesAndOutdatedBasesWithReasons() throws Exception {
        try (OperatorStage stage = new OperatorStage(2)) {
            stage.start(stage.text(0));
            JsonNode wrong = stage.admin("POST", "/config/stage", stage.text(0) + "[limit]\n");
            assertEquals(422, wrong.path("status").asInt());
            assertEquals(
                    "unknown key, did you mean limits?",
                    wrong.path("problems").get(0).path("message").asText());
            int two = stage.stage(stage.text(1));
            int three = stage.stage(stage.text(0, 1));
            stage.apply(two);
            assertEquals("version 2 is on trial; confirm it or roll it back first", reason(stage.apply(three)));
            stage.confirm();
            assertEquals("version 3 was staged over version 1, but version 2 is current", reason(stage.apply(three)));
            assertEquals(
                    "it is based on version 1, but version 2 is current",
                    reason(stage.admin("POST", "/config/stage?base=1", stage.text(0))));
            assertEquals(
                    "node.name, state, descriptors and access-log can't change while the process runs",
                    reason(stage.admin(
                            "POST", "/config/stage", stage.text(0).replace("[node]", "[node]\nname = \"other\""))));
        }
    }

    @Test
    void reloadsOperatorFileOnSignal() throws Exception {
        try (OperatorStage stage = new OperatorStage(2)) {
            stage.start(stage.text(0));
            Files.writeString(stage.file, stage.text("127.0.0.1:0", "[change]\nconfirm-within = \"1s\"\n", 1));
            stage.node.reload();
            stage.until(status -> status.path("confirmed").asInt() == 2);
            Files.writeString(stage.file, "nonsense");
            stage.node.reload();
            // Files are read sequentially: once these are staged, the invalid file has been read and rejected.
            stage.stage(stage.text(0));
            assertEquals(4, stage.stage(stage.text(0)));
            assertEquals(1, stage.status().path("past").size());
            assertEquals("2", version(stage.ask(Stage.get("a", "5"))));
        }
    }

    @Test
    void versionWithNewDiscoveryWaitsForItsFirstRoster() throws Exception {
        try (OperatorStage stage = new OperatorStage(2);
                Listener unresponsive = new Listener()) {
            stage.start(stage.text(0));
            String byUnresponsive = "discovery = \"" + unresponsive.address() + "\"\n"
                    + stage.text("127.0.0.1:0", "[change]\nready-within = \"400ms\"\n");
            assertEquals(0, unresponsive.waiting());
            assertEquals(
                    "version 2 is undone: no list of servers came within 400 ms",
                    reason(stage.apply(stage.stage(byUnresponsive))));
            assertEquals("1", version(stage.ask(Stage.get("a", "5"))));
        }
    }

    /** A discovery used by two versions: its watch continues, and its updates apply to both. */
    @Test
    void watchContinuesAcrossChangeWithSameDiscovery() throws Exception {
        try (OperatorStage stage = new OperatorStage(2);
                Listener discovery = new Listener()) {
            String[] up = {
                Stage.entry(0, stage.servers.get(0).address(), "up"),
                Stage.entry(1, stage.servers.get(1).address(), "up")
            };
            String text = "discovery = \"" + discovery.address() + "\"\n" + stage.text("127.0.0.1:0", "");
            stage.start(text);
            Peer watch = discovery.accept();
            assertEquals("GET /catalog/members HTTP/1.1", watch.read().first());
            watch.write(Stage.ok(Stage.roster(5, true, up)));
            assertTrue(watch.read().first().startsWith("GET /catalog/members?index=5&"));
            assertEquals(200, stage.ask(Stage.get("a", "5")).status());
            stage.apply(stage.stage(text + "[limits]\nattempts = 2\n"));
            assertEquals("2", version(stage.ask(Stage.get("b", "5"))));
            watch.write(Stage.ok(
                    Stage.roster(6, false, Stage.entry(0, stage.servers.get(0).address(), "draining"))));
            assertTrue(watch.read().first().startsWith("GET /catalog/members?index=6&"));
            int before = stage.servers.get(0).seen.size();
            stage.admin("POST", "/config/rollback", "");
            for (int i = 0; i < 20; i++) {
                assertEquals("1", version(stage.ask(Stage.get("c" + i, "5"))));
            }
            assertEquals(before, stage.servers.get(0).seen.size());
            assertEquals(0, discovery.waiting());
        }
    }

    @Test
    void rollsBackTrialWithoutReadyServers() throws Exception {
        try (OperatorStage stage = new OperatorStage(2);
                Listener discovery = new Listener()) {
            stage.start(stage.text(0));
            int next = stage.stage("discovery = \"" + discovery.address() + "\"\n"
                    + stage.text("127.0.0.1:0", "[change]\nready-within = \"500ms\"\n"));
            Thread lists = new Thread(() -> {
                try {
                    Peer fetch = discovery.accept();
                    fetch.read();
                    fetch.write(Stage.ok(Stage.roster(
                            5, true, Stage.entry(1, stage.servers.get(1).address(), "up"))));
                    Peer watch = discovery.accept();
                    watch.read();
                    watch.write(Stage.ok(Stage.roster(
                            6, false, Stage.entry(1, stage.servers.get(1).address(), "removed"))));
                } catch (IOException | InterruptedException e) {
                    // The test then times out waiting for the rollback.
                }
            });
            lists.start();
            stage.apply(next);
            JsonNode status = stage.until(now -> now.path("past").size() == 1);
            assertEquals(
                    "0 servers are ready, at least 1 must be",
                    status.path("past").get(0).path("reason").asText());
            assertEquals("1", version(stage.ask(Stage.get("a", "5"))));
            lists.join();
        }
    }

    /** A change that is applied again right after its rollback: the retiring listener still occupies the port. */
    @Test
    void reusesRetiringListener() throws Exception {
        int other = freePort();
        try (OperatorStage stage = new OperatorStage(1)) {
            stage.start(stage.text(0));
            for (int i = 0; i < 3; i++) {
                int next = stage.stage(stage.text("127.0.0.1:" + other, "", 0));
                assertEquals(200, stage.apply(next).path("status").asInt());
                Peer.Message answer = stage.ask(Stage.get("r" + i, "5"));
                assertEquals(Integer.toString(next), version(answer));
                assertNull(answer.header("Connection"));
                stage.admin("POST", "/config/rollback", "");
            }
        }
    }

    @Test
    void accessLogContainsVersionOfEachResponse() throws Exception {
        try (OperatorStage stage = new OperatorStage(1)) {
            stage.start(stage.text(0).replace("[node]", "[node]\naccess-log = \"access.log\""));
            stage.ask(Stage.get("a\"b\\\\", "5"));
            stage.apply(stage.stage(Files.readString(stage.file) + "[limits]\nattempts = 1\n"));
            stage.servers.get(0).plan = seen -> new Plan(500, 0);
            stage.ask(Stage.spend("c", ""));
            stage.node.drain();
            List<String> lines = Files.readAllLines(stage.folder.resolve("access.log"));
            assertEquals(2, lines.size());
            var json = new com.fasterxml.jackson.databind.json.JsonMapper();
            JsonNode first = json.readTree(lines.get(0));
            assertEquals("a\"b\\\\", first.path("request").asText());
            assertEquals(
                    "1 look-up served 1",
                    first.path("version").asText() + " "
                            + first.path("class").asText()
                            + " " + first.path("outcome").asText() + " "
                            + first.path("attempts").asText());
            JsonNode second = json.readTree(lines.get(1));
            assertEquals(
                    "2 credit-spend failed 1",
                    second.path("version").asText() + " "
                            + second.path("class").asText() + " "
                            + second.path("outcome").asText() + " "
                            + second.path("attempts").asText());
        }
    }

    @Test
    void nextStartIgnoresFileThatCouldNotBeServed() throws Exception {
        try (OperatorStage stage = new OperatorStage(1);
                ServerSocket taken = new ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
            Files.writeString(stage.file, stage.text("127.0.0.1:" + taken.getLocalPort(), "", 0));
            OperatorNode.StartException failed =
                    assertThrows(OperatorNode.StartException.class, () -> OperatorNode.start(stage.file, false));
            assertTrue(failed.getMessage().startsWith("cannot listen on "), failed.getMessage());
            stage.start(stage.text(0));
            assertEquals(200, stage.ask(Stage.get("a", "5")).status());
            stage.node.kill();
            // A version that has served is used at the next start regardless of the file, until the file is adopted.
            Files.writeString(stage.file, stage.text(0) + "[limits]\nattempts = 1\n");
            stage.node = OperatorNode.start(stage.file, false);
            assertEquals("2", version(stage.ask(Stage.get("b", "5"))));
            stage.node.kill();
            stage.node = OperatorNode.start(stage.file, true);
            assertEquals("3", version(stage.ask(Stage.get("c", "5"))));
        }
    }

    @Test
    void refusesRequestsAboveLimitImmediately() throws Exception {
        try (OperatorStage stage = new OperatorStage(1)) {
            stage.start(stage.text("127.0.0.1:0", "[limits]\nopen = 2\n", 0));
            stage.servers.get(0).plan = seen -> new Plan(0, 0);
            try (Peer one = stage.caller();
                    Peer other = stage.caller()) {
                one.write(Stage.spend("a", ""));
                other.write(Stage.spend("b", ""));
                stage.servers.get(0).await(2);
                Peer.Message refused = stage.ask(Stage.spend("c", ""));
                assertEquals(503, refused.status());
                assertEquals("2.000", refused.header("Retry-After"));
                stage.servers.get(0).release();
                assertEquals(200, one.read().status());
                assertEquals(200, other.read().status());
            }
            assertEquals(0, stage.servers.get(0).count("c"));
            stage.servers.get(0).plan = seen -> new Plan(200, 0);
            assertEquals(200, stage.ask(Stage.spend("d", "")).status());
        }
    }

    @Test
    void adminPortRequiresToken() throws Exception {
        try (OperatorStage stage = new OperatorStage(1)) {
            Files.writeString(stage.folder.resolve("token"), "a token of some length\n");
            stage.start(stage.text("127.0.0.1:0", "[admin]\nlisten = \"127.0.0.1:0\"\ntoken-file = \"token\"\n", 0));
            var address = stage.node.adminAddress();
            assertEquals(
                    200,
                    OperatorStage.admin(address, "a token of some length", "GET", "/config/status", "")
                            .path("status")
                            .asInt());
            for (String token : new String[] {null, "", "a token of some lengtH"}) {
                assertEquals(
                        401,
                        OperatorStage.admin(address, token, "POST", "/config/rollback", "")
                                .path("status")
                                .asInt());
            }
        }
    }

    @Test
    void adminSocketIsAccessibleToOwnerOnly() throws Exception {
        try (OperatorStage stage = new OperatorStage(1)) {
            stage.start(stage.text(0));
            assertEquals(
                    "rw-------",
                    java.nio.file.attribute.PosixFilePermissions.toString(
                            Files.getPosixFilePermissions(stage.folder.resolve("sablehinge-state/admin.sock"))));
            OperatorNode.StartException taken =
                    assertThrows(OperatorNode.StartException.class, () -> OperatorNode.start(stage.file, false));
            assertTrue(taken.getMessage().contains("is in use by another process"), taken.getMessage());
        }
    }
}

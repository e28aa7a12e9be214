package sablehinge.gateway.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sablehinge.common.eventloop.ClosingEventLoops;
import sablehinge.gateway.config.PlatformConfig;
import sablehinge.policy.LatencyWeightedBalancer;
import sablehinge.policy.LoadBalancer.Change;
import sablehinge.testing.Listener;
import sablehinge.testing.Peer;
import sablehinge.testing.ResponseGrammar;
import sablehinge.testing.Script;
import sablehinge.testing.Stage;

/** Tests fetch and watch of the roster, including invalid responses. */
@Timeout(60)
class DiscoveryTest {

    private final Stage stage = new Stage();

    DiscoveryTest() throws IOException {
        stage.script.onStart = () -> stage.script.actions.watch(true);
    }

    private void startStage() throws Exception {
        stage.start();
        assertEquals(Change.CACHED, Script.next(stage.script.changes));
    }

    @Test
    void watchContinuesFromLastVersion() throws Exception {
        try (stage) {
            startStage();
            Peer watch = stage.discovery.accept();
            assertEquals(
                    "GET /catalog/members?index=41&wait=20000 HTTP/1.1",
                    watch.read().first());
            watch.write(Stage.ok(Stage.roster(45, false, Stage.entry(0, "127.0.0.1:1", "draining"))));
            assertEquals(Change.DELTA, Script.next(stage.script.changes));
            assertEquals(
                    "GET /catalog/members?index=45&wait=20000 HTTP/1.1",
                    watch.read().first());
            watch.write(Stage.ok(Stage.roster(46, false)));
            assertEquals(Change.DELTA, Script.next(stage.script.changes));
            assertEquals(
                    "GET /catalog/members?index=46&wait=20000 HTTP/1.1",
                    watch.read().first());
            watch.write(Stage.ok(Stage.roster(47, false, "{\"id\":\"s-00000000\",\"state\":\"removed\"}")));
            assertEquals(Change.DELTA, Script.next(stage.script.changes));
            assertEquals(
                    "GET /catalog/members?index=47&wait=20000 HTTP/1.1",
                    watch.read().first());
        }
    }

    @Test
    void restartsUnresponsiveWatchWhenItsServersFail() throws Exception {
        try (Stage twoUpstreams = new Stage(2)) {
            twoUpstreams.upstreams.get(0).close();
            twoUpstreams.listed = 1;
            twoUpstreams.askEvery = 0;
            twoUpstreams.maxAttempts = 3;
            twoUpstreams.start(LatencyWeightedBalancer::new);
            Peer unresponsive = twoUpstreams.discovery.accept();
            assertEquals(
                    "GET /catalog/members?index=41&wait=20000 HTTP/1.1",
                    unresponsive.read().first());
            Peer caller = twoUpstreams.caller();
            caller.write(Stage.get("d1", "5"));
            assertEquals(503, caller.read().status());
            // The old watch is cancelled, and a new one requests the missed updates.
            Peer watch = twoUpstreams.discovery.accept();
            assertEquals(
                    "GET /catalog/members?index=41&wait=20000 HTTP/1.1",
                    watch.read().first());
            assertTrue(unresponsive.ended());
            watch.write(Stage.ok(Stage.roster(
                    42,
                    false,
                    "{\"id\":\"s-00000000\",\"state\":\"removed\"}",
                    Stage.entry(1, twoUpstreams.upstreams.get(1).address(), "up"))));
            assertEquals(
                    "GET /catalog/members?index=42&wait=20000 HTTP/1.1",
                    watch.read().first());
            caller.write(Stage.get("d2", "5"));
            Peer upstream = twoUpstreams.upstreams.get(1).accept();
            upstream.read();
            upstream.write(Stage.ok("served"));
            assertEquals(200, caller.read().status());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
                "garbage\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"version\":",
                "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"version\":",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
                "HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\n{\"version\":50,\"servers\":[{}]}"
            })
    void reportsInvalidResponseAsFailureAndKeepsOldRoster(String answer) throws Exception {
        try (stage) {
            startStage();
            Peer watch = stage.discovery.accept();
            watch.read();
            watch.write(answer);
            watch.close();
            assertEquals(Change.FAILED, Script.next(stage.script.changes));
            stage.servesStill();
            // One failure per call, and the module can continue from its last version.
            assertTrue(stage.script.changes.isEmpty());
            stage.script.onRequest = request -> {
                stage.script.actions.refuse(request.id(), 0);
                stage.script.actions.watch(true);
            };
            stage.caller().write(Stage.get("again", "10"));
            assertEquals(
                    "GET /catalog/members?index=41&wait=20000 HTTP/1.1",
                    stage.discovery.accept().read().first());
        }
    }

    /** A roster in a response without a valid status line, or with a malformed field name, is not adopted. */
    @Test
    void reportsMalformedHeadAsFailureAndKeepsOldRoster() throws Exception {
        try (stage) {
            startStage();
            stage.script.onRequest = request -> {
                stage.script.actions.refuse(request.id(), 0);
                stage.script.actions.watch(true);
            };
            String rest = Stage.ok(Stage.roster(45, false)).substring("HTTP/1.1 200 OK\r\n".length());
            List<String> heads = new ArrayList<>();
            ResponseGrammar.malformedStatusLines().forEach(line -> heads.add(line + "\r\n"));
            ResponseGrammar.malformedNames()
                    .forEach(name -> heads.add("HTTP/1.1 200 OK\r\nA: b\r\n" + name + ": v\r\n"));
            Peer caller = stage.caller();
            for (String head : heads) {
                Peer watch = stage.discovery.accept();
                assertEquals(
                        "GET /catalog/members?index=41&wait=20000 HTTP/1.1",
                        watch.read().first());
                watch.write(head + rest);
                assertEquals(Change.FAILED, Script.next(stage.script.changes), () -> ResponseGrammar.escape(head));
                assertTrue(watch.ended());
                caller.write(Stage.get("again", "10"));
                assertEquals(503, caller.read().status());
            }
        }
    }

    @Test
    void reportsUnreachableDiscoveryAsFailure() throws Exception {
        try (stage) {
            stage.discovery.close();
            startStage();
            assertEquals(Change.FAILED, Script.next(stage.script.changes));
        }
    }

    @Test
    void moduleRetriesAfterFailure() throws Exception {
        try (stage) {
            stage.start(sablehinge.policy.LatencyWeightedBalancer::new);
            stage.discovery.accept().reset();
            assertEquals(
                    "GET /catalog/members?index=41&wait=20000 HTTP/1.1",
                    stage.discovery.accept().read().first());
        }
    }

    @Test
    void reportsUnresponsiveDiscoveryAsFailureAfterTimeout() throws Exception {
        EventLoop loop = ClosingEventLoops.single("test");
        Path file = Files.createTempFile("node", ".json");
        try (stage) {
            Files.writeString(file, stage.config());
            LinkedBlockingQueue<Change> received = new LinkedBlockingQueue<>();
            PlatformConfig config = PlatformConfig.read(file.toString());
            Discovery discovery = new Discovery(
                    loop,
                    config.discovery(),
                    config.knownRoster().version(),
                    new RosterParser(config.zones(), config.kinds(), false),
                    ByteBufAllocator.DEFAULT,
                    (change, roster) -> received.add(change),
                    100);
            loop.execute(() -> discovery.watch(true));
            Peer watch = stage.discovery.accept();
            assertEquals(
                    "GET /catalog/members?index=41&wait=100 HTTP/1.1",
                    watch.read().first());
            assertTrue(watch.ended());
            assertEquals(Change.FAILED, Script.next(received));
        } finally {
            Files.delete(file);
            loop.parent().shutdownGracefully();
        }
    }

    @Test
    void fetchesCompleteRoster() throws Exception {
        try (stage) {
            stage.script.onStart = () -> stage.script.actions.fetch();
            startStage();
            Peer call = stage.discovery.accept();
            assertEquals("GET /catalog/members HTTP/1.1", call.read().first());
            call.write(Stage.ok(Stage.roster(50, true)));
            assertEquals(Change.FULL, Script.next(stage.script.changes));
        }
    }

    /** A reset completes no roster, even if all of it was received. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void fetchesRosterDelimitedByConnectionEnd(boolean abruptly) throws Exception {
        try (stage) {
            stage.script.onStart = () -> stage.script.actions.fetch();
            startStage();
            Peer call = stage.discovery.accept();
            call.read();
            call.write("HTTP/1.1 200 OK\r\n\r\n" + Stage.roster(50, true));
            if (abruptly) {
                call.reset();
            } else {
                call.close();
            }
            assertEquals(abruptly ? Change.FAILED : Change.FULL, Script.next(stage.script.changes));
        }
    }

    @Test
    void fetchClosesItsConnection() throws Exception {
        try (stage) {
            stage.script.onStart = () -> stage.script.actions.fetch();
            startStage();
            Peer call = stage.discovery.accept();
            call.read();
            call.write(Stage.ok(Stage.roster(50, true)));
            assertEquals(Change.FULL, Script.next(stage.script.changes));
            assertTrue(call.ended());
        }
    }

    @Test
    void fetchesCompleteRosterFromNewDiscoveryAndCancelsOldWatchSilently() throws Exception {
        Path file = Files.createTempFile("node", ".json");
        try (stage;
                Listener second = new Listener();
                Listener third = new Listener()) {
            startStage();
            Peer old = stage.discovery.accept();
            old.read();
            Listener[] discoveries = {second, third};
            for (Listener discovery : discoveries) {
                Files.writeString(file, stage.config().replace(stage.discovery.address(), discovery.address()));
                stage.node.reload(PlatformConfig.read(file.toString()));
                Peer fresh = discovery.accept();
                assertEquals("GET /catalog/members HTTP/1.1", fresh.read().first());
                assertTrue(old.ended());
                fresh.write(Stage.ok(Stage.roster(
                        7, true, Stage.entry(0, stage.upstreams.get(0).address(), "up"))));
                // No failure was reported before.
                assertEquals(Change.FULL, Script.next(stage.script.changes));
                assertEquals(
                        "GET /catalog/members?index=7&wait=20000 HTTP/1.1",
                        fresh.read().first());
                old = fresh;
            }
            stage.servesStill();
        } finally {
            Files.delete(file);
        }
    }

    @Test
    void fetchesCompleteRosterFromNewDiscoveryAfterFailure() throws Exception {
        Path file = Files.createTempFile("node", ".json");
        try (stage;
                Listener second = new Listener()) {
            startStage();
            stage.discovery.accept().read();
            Files.writeString(file, stage.config().replace(stage.discovery.address(), second.address()));
            stage.node.reload(PlatformConfig.read(file.toString()));
            second.accept().reset();
            assertEquals(Change.FAILED, Script.next(stage.script.changes));
            stage.script.onRequest = request -> {
                stage.script.actions.refuse(request.id(), 0);
                stage.script.actions.watch(true);
            };
            stage.caller().write(Stage.get("again", "10"));
            assertEquals("GET /catalog/members HTTP/1.1", second.accept().read().first());
        } finally {
            Files.delete(file);
        }
    }
}

package sablehinge.gateway.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
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
import sablehinge.testing.Script;
import sablehinge.testing.Stage;

/** The list and the watch, and what becomes of answers that are of no use. */
@Timeout(60)
class DiscoveryTest {

    private final Stage stage = new Stage();

    DiscoveryTest() throws IOException {
        stage.script.onStart = () -> stage.script.actions.watch(true);
    }

    private void started() throws Exception {
        stage.start();
        assertEquals(Change.CACHED, Script.next(stage.script.changes));
    }

    @Test
    void aWatchGoesOnFromWhatItWasTold() throws Exception {
        try (stage) {
            started();
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
    void aSilentWatchIsBegunAnewOnceTheServersItNamedTakeNothing() throws Exception {
        try (Stage two = new Stage(2)) {
            two.upstreams.get(0).close();
            two.listed = 1;
            two.askEvery = 0;
            two.maxAttempts = 3;
            two.start(LatencyWeightedBalancer::new);
            Peer unresponsive = two.discovery.accept();
            assertEquals(
                    "GET /catalog/members?index=41&wait=20000 HTTP/1.1",
                    unresponsive.read().first());
            Peer caller = two.caller();
            caller.write(Stage.get("d1", "5"));
            assertEquals(503, caller.read().status());
            // Nobody waits for the old one any more, and what it missed is requested.
            Peer watch = two.discovery.accept();
            assertEquals(
                    "GET /catalog/members?index=41&wait=20000 HTTP/1.1",
                    watch.read().first());
            assertTrue(unresponsive.ended());
            watch.write(Stage.ok(Stage.roster(
                    42,
                    false,
                    "{\"id\":\"s-00000000\",\"state\":\"removed\"}",
                    Stage.entry(1, two.upstreams.get(1).address(), "up"))));
            assertEquals(
                    "GET /catalog/members?index=42&wait=20000 HTTP/1.1",
                    watch.read().first());
            caller.write(Stage.get("d2", "5"));
            Peer upstream = two.upstreams.get(1).accept();
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
    void anAnswerOfNoUseIsAFailureAndTheOldListHolds(String answer) throws Exception {
        try (stage) {
            started();
            Peer watch = stage.discovery.accept();
            watch.read();
            watch.write(answer);
            watch.close();
            assertEquals(Change.FAILED, Script.next(stage.script.changes));
            stage.servesStill();
            // One failure for one call, and the module can ask again from where it was.
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

    @Test
    void aDiscoveryThatIsDownIsAFailure() throws Exception {
        try (stage) {
            stage.discovery.close();
            started();
            assertEquals(Change.FAILED, Script.next(stage.script.changes));
        }
    }

    @Test
    void theModuleAsksAgainAfterAFailure() throws Exception {
        try (stage) {
            stage.start(sablehinge.policy.LatencyWeightedBalancer::new);
            stage.discovery.accept().reset();
            assertEquals(
                    "GET /catalog/members?index=41&wait=20000 HTTP/1.1",
                    stage.discovery.accept().read().first());
        }
    }

    @Test
    void aSilentDiscoveryIsAFailureOnceItsWaitIsOver() throws Exception {
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
    void theWholeListIsAskedForOnItsOwn() throws Exception {
        try (stage) {
            stage.script.onStart = () -> stage.script.actions.fetch();
            started();
            Peer call = stage.discovery.accept();
            assertEquals("GET /catalog/members HTTP/1.1", call.read().first());
            call.write(Stage.ok(Stage.roster(50, true)));
            assertEquals(Change.FULL, Script.next(stage.script.changes));
        }
    }

    @Test
    void aCallForTheWholeListLeavesNoConnectionBehind() throws Exception {
        try (stage) {
            stage.script.onStart = () -> stage.script.actions.fetch();
            started();
            Peer call = stage.discovery.accept();
            call.read();
            call.write(Stage.ok(Stage.roster(50, true)));
            assertEquals(Change.FULL, Script.next(stage.script.changes));
            assertTrue(call.ended());
        }
    }

    @Test
    void anotherDiscoveryIsAskedForItsWholeListAndTheOldOneLeftQuietly() throws Exception {
        Path file = Files.createTempFile("node", ".json");
        try (stage;
                Listener second = new Listener();
                Listener third = new Listener()) {
            started();
            Peer old = stage.discovery.accept();
            old.read();
            Listener[] moves = {second, third};
            for (Listener move : moves) {
                Files.writeString(file, stage.config().replace(stage.discovery.address(), move.address()));
                stage.node.reload(PlatformConfig.read(file.toString()));
                Peer fresh = move.accept();
                assertEquals("GET /catalog/members HTTP/1.1", fresh.read().first());
                assertTrue(old.ended());
                fresh.write(Stage.ok(Stage.roster(
                        7, true, Stage.entry(0, stage.upstreams.get(0).address(), "up"))));
                // No failure came before it.
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
    void aNewDiscoveryThatFailsIsStillAskedForItsWholeList() throws Exception {
        Path file = Files.createTempFile("node", ".json");
        try (stage;
                Listener second = new Listener()) {
            started();
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

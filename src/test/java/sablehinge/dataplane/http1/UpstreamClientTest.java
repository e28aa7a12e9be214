package sablehinge.dataplane.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import sablehinge.dataplane.proxy.ShutdownDeadlines;
import sablehinge.policy.LoadBalancer.Change;
import sablehinge.policy.LoadBalancer.Result;
import sablehinge.testing.Backlog;
import sablehinge.testing.Listener;
import sablehinge.testing.Peer;
import sablehinge.testing.Script;
import sablehinge.testing.Stage;

/** How attempts are sent, and how each kind of end is reported to the load balancer. */
@Timeout(60)
class UpstreamClientTest {

    @Test
    void forwardsRequestAndResponseUnchanged() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write("POST /tile-order/a?x=1 HTTP/1.1\r\nHost: app.svc\r\nX-Txn: 9b1f03aa5c7e2d41\r\n"
                    + "X-Lane: tile-order\r\nX-Remaining: 5\r\nIdempotency-Key: 5c0f\r\n"
                    + "Connection: keep-alive\r\nContent-Length: 4\r\n\r\nbody");
            Peer upstream = stage.upstreams.get(0).accept();
            Peer.Message request = upstream.read();
            assertEquals("POST /tile-order/a?x=1 HTTP/1.1", request.first());
            assertEquals("9b1f03aa5c7e2d41", request.header("X-Txn"));
            assertEquals("5c0f", request.header("Idempotency-Key"));
            assertEquals("body", request.body());
            double remaining = Double.parseDouble(request.header("X-Remaining"));
            assertTrue(remaining > 0 && remaining <= 5, "remaining " + remaining);
            upstream.write(Stage.ok("served"));
            Peer.Message answer = caller.read();
            assertEquals(200, answer.status());
            assertEquals("served", answer.body());
            assertEquals(Result.OK, stage.script.result());
        }
    }

    @Test
    void sendsAttemptTimeoutAsRemainingTime() throws Exception {
        try (Stage stage = new Stage().start()) {
            stage.script.onRequest = request -> stage.script.sendTo(0, request, 3_000);
            stage.caller().write(Stage.get("1", "9"));
            String remaining = stage.upstreams.get(0).accept().read().header("X-Remaining");
            assertTrue(Double.parseDouble(remaining) <= 3, remaining);
        }
    }

    @ParameterizedTest
    @CsvSource({"500,,ERROR", "503,1,FULL", "504,1,FULL", "503,,ERROR", "404,,ERROR", "500,1,ERROR"})
    void mapsResponseStatusToOutcome(int status, String rejected, Result expected) throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(Stage.spend("1", "x"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            upstream.write("HTTP/1.1 " + status + " No\r\nContent-Length: 0\r\n"
                    + (rejected == null ? "" : "X-Turned-Away: " + rejected + "\r\n") + "\r\n");
            assertEquals(expected, stage.script.result());
            assertEquals(502, caller.read().status());
        }
    }

    @Test
    void refusedConnectionIsReportedAsNeverRun() throws Exception {
        try (Stage stage = new Stage().start()) {
            stage.upstreams.get(0).close();
            Peer caller = stage.caller();
            caller.write(Stage.spend("1", "x"));
            assertEquals(Result.CONNECT_FAILED, stage.script.result());
            assertEquals(502, caller.read().status());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 200 OK\r\nContent-Le",
                "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"
            })
    void connectionEndBeforeCompleteResponseIsReportedAsReset(String part) throws Exception {
        for (boolean abruptly : new boolean[] {false, true}) {
            try (Stage stage = new Stage().start()) {
                Peer caller = stage.caller();
                caller.write(Stage.spend("1", "x"));
                Peer upstream = stage.upstreams.get(0).accept();
                upstream.read();
                upstream.write(part);
                if (abruptly) {
                    upstream.reset();
                } else {
                    upstream.close();
                }
                assertEquals(Result.RESET, stage.script.result());
                Peer.Message answer = caller.read();
                assertEquals(502, answer.status());
                assertEquals("", answer.body());
            }
        }
    }

    @Test
    void partlyWrittenRequestIsReportedAsNeverRun() throws Exception {
        try (Stage stage = new Stage()) {
            // Large bodies that are not read fill the buffers on the way; the last one can't be written.
            stage.upstreams.set(0, new Listener(1_024));
            stage.start();
            stage.node.onLoop((frontend, upstreams) -> {
                upstreams.setSendBufferBytes(4_096);
                return null;
            });
            String body = "b".repeat(UpstreamClient.MAX_BUFFERED_BODY_BYTES);
            Peer caller = stage.caller();
            caller.write(Stage.spend("1", body));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.reset();
            assertEquals(Result.CONNECT_FAILED, stage.script.result());
            assertEquals(502, caller.read().status());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "nonsense\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"
            })
    void malformedResponseIsReportedAsError(String answer) throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(Stage.spend("1", "x"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            upstream.write(answer);
            assertEquals(Result.ERROR, stage.script.result());
            assertEquals(502, caller.read().status());
            assertTrue(upstream.ended());
            stage.servesStill();
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "noise that has no end of a line",
                "HTTX",
                "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
                "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
                "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nab",
                "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nab",
                "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nmore and more",
                // These responses would never end or never begin.
                "HTTP/1.1 200 OK\r\nContent-Le",
                "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
                "HTTP/1.1 200 OK\r\n\r\nhalf"
            })
    void corruptResponseIsReportedAsMaybeRunAndClosesConnection(String answer) throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(Stage.spend("1", "x"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            // The upstream keeps the connection open; without the check the request would wait for its end.
            upstream.write(answer);
            assertEquals(Result.ERROR, stage.script.result());
            assertEquals(502, caller.read().status());
            assertTrue(upstream.ended());
            stage.servesStill();
        }
    }

    @Test
    void abortsEndlessHeadsAndInterimResponses() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            for (String endless : new String[] {"HTTP/1.1 100 Continue\r\n\r\n", "X-More: of the same\r\n"}) {
                caller.write(Stage.get("1", "20"));
                Peer upstream = stage.upstreams.get(0).accept();
                upstream.read();
                try {
                    upstream.write("HTTP/1.1 100 Continue\r\n" + (endless.startsWith("X") ? "" : "\r\n")
                            + endless.repeat(1_000));
                } catch (IOException e) {
                    // It is enough if the connection is closed while the response is being written.
                }
                assertEquals(Result.ERROR, stage.script.result());
                assertEquals(502, caller.read().status());
            }
        }
    }

    @Test
    void skipsInterimResponses() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(Stage.get("1", "10"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            upstream.write("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\n" + "Link: x\r\n\r\nHTTP/1");
            awaitInputHandled(stage);
            upstream.write(Stage.ok("served").substring(6));
            assertEquals("served", caller.read().body());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "H",
                "noise",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nco"
            })
    void doesNotTakeSurplusBytesForNextResponse(String more) throws Exception {
        for (boolean later : new boolean[] {false, true}) {
            try (Stage stage = new Stage().start()) {
                Peer caller = stage.caller();
                caller.write(Stage.get("1", "10"));
                Peer upstream = stage.upstreams.get(0).accept();
                upstream.read();
                upstream.write(Stage.ok("mine") + (later ? "" : more));
                assertEquals("mine", caller.read().body());
                if (later) {
                    upstream.write(more);
                }
                caller.write(Stage.get("2", "10"));
                Peer fresh = stage.upstreams.get(0).accept();
                assertEquals("2", fresh.read().header("X-Txn"));
                assertTrue(upstream.ended());
                fresh.write(Stage.ok("yours"));
                assertEquals("yours", caller.read().body());
            }
        }
    }

    /** Returns once the node has read what was sent before. */
    private static void awaitInputHandled(Stage stage) throws Exception {
        Peer other = stage.caller();
        other.write("GET /_health HTTP/1.1\r\n\r\n");
        other.read();
    }

    @Test
    void forwardsOnlyHeadersOfTheProtocol() throws Exception {
        try (Stage stage = new Stage().start()) {
            stage.caller()
                    .write(Stage.get("1", "10")
                            .replace(
                                    "Host:",
                                    "Authorization: secret\r\n" + "X-Turned-Away: 1\r\nX-Labels: a=1\r\nHost:"));
            Peer.Message passed = stage.upstreams.get(0).accept().read();
            assertEquals("a=1", passed.header("X-Labels"));
            assertEquals(
                    java.util.Set.of("host", "x-txn", "x-lane", "x-labels", "x-remaining"),
                    passed.headers().keySet());
        }
    }

    @Test
    void descriptorShortageIsNotReportedAsUpstreamFailure() throws Exception {
        try (Stage stage = new Stage()) {
            stage.sockets = 64 + 5;
            stage.start();
            stage.script.onRequest = request -> {};
            for (int i = 0; i < 4; i++) {
                stage.caller().write(Stage.get("r" + i, "20"));
            }
            awaitInputHandled(stage);
            stage.script.onRequest = request -> stage.script.sendTo(0, request, 0);
            Peer caller = stage.caller();
            caller.write(Stage.get("more", "20"));
            assertEquals(Result.NOT_SENT, stage.script.result());
            assertEquals(502, caller.read().status());
        }
    }

    @Test
    void forgetsUpstreamThatDrainedAndLeft() throws Exception {
        try (Stage stage = new Stage()) {
            stage.script.onStart = () -> stage.script.actions.watch(true);
            stage.start();
            Peer watch = sendRoster(stage, Stage.entry(9, "127.0.0.1:9", "up"));
            String[] states = {"draining", "removed"};
            for (int i = 0; i < states.length; i++) {
                watch.read();
                watch.write(Stage.ok(Stage.roster(43 + i, false, Stage.entry(9, "127.0.0.1:9", states[i]))));
                assertEquals(Change.DELTA, Script.next(stage.script.changes));
            }
            int targetCount = stage.node.onLoop((frontend, upstreams) -> {
                upstreams.sweep(stage.node.now() + 60_000);
                return upstreams.targetCount();
            });
            assertEquals(0, targetCount);
        }
    }

    @Test
    void ignoresLoadReportOutOfRange() {
        List<String> fields = List.of("queue");
        for (String text : new String[] {"TEXT queue=-1", "queue=1e99", "queue=NaN", "queue=", "queue", ""}) {
            assertEquals(null, LoadReport.parse(text, fields));
        }
        assertEquals(2, LoadReport.parse("TEXT queue=2", fields)[0]);
    }

    @Test
    void evictsIdleClientsForUpstreamConnection() throws Exception {
        try (Stage stage = new Stage()) {
            stage.sockets = 64 + 5;
            stage.start();
            List<Peer> resting = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                resting.add(stage.caller());
                resting.get(i).write("GET /_health HTTP/1.1\r\n\r\n");
                resting.get(i).read();
            }
            stage.servesStill();
            assertTrue(resting.get(0).ended());
        }
    }

    @Test
    void rejectsResponseAnnouncedOverTheLimit() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            for (int extra = 1; extra >= 0; extra--) {
                caller.write(Stage.get("1", "10"));
                Peer upstream = stage.upstreams.get(0).accept();
                upstream.read();
                upstream.write("HTTP/1.1 200 OK\r\nContent-Length: " + (UpstreamClient.MAX_RELAYED_BYTES + extra)
                        + "\r\n\r\nbegins");
                assertEquals(extra == 0 ? Result.OK : Result.ERROR, stage.script.result());
                if (extra == 1) {
                    assertEquals(502, caller.read().status());
                }
            }
            stage.servesStill();
        }
    }

    @Test
    void timesOutSilentUpstreamAndClosesConnection() throws Exception {
        try (Stage stage = new Stage().start()) {
            stage.script.onRequest = request -> stage.script.sendTo(0, request, 100);
            Peer caller = stage.caller();
            caller.write(Stage.spend("1", "x"));
            Peer upstream = stage.upstreams.get(0).accept();
            assertNotNull(upstream.read());
            assertTrue(upstream.ended());
            assertEquals(Result.TIMEOUT, stage.script.result());
            assertEquals(502, caller.read().status());
        }
    }

    @Test
    void closesConnectionOfCancelledAttempt() throws Exception {
        try (Stage stage = new Stage(2).start()) {
            // The second attempt is a copy: the first response wins, and the other attempt is cancelled.
            stage.script.onRequest = request -> {
                stage.script.sendTo(0, request, 0);
                stage.script.sendTo(1, request, 0);
            };
            Peer caller = stage.caller();
            caller.write(Stage.get("1", "10"));
            Peer slow = stage.upstreams.get(0).accept();
            slow.read();
            Peer fast = stage.upstreams.get(1).accept();
            fast.read();
            stage.script.onOutcome = outcome -> stage.script.actions.cancel(outcome.requestId(), 0);
            fast.write(Stage.ok("fast"));
            assertEquals("fast", caller.read().body());
            assertEquals(Result.OK, stage.script.result());
            assertTrue(slow.ended());
            assertEquals(Result.CANCELLED, stage.script.result());
        }
    }

    @Test
    void reusesLiveConnection() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            Peer upstream = null;
            for (int i = 0; i < 3; i++) {
                caller.write(Stage.get("r" + i, "10"));
                upstream = upstream == null ? stage.upstreams.get(0).accept() : upstream;
                assertEquals("r" + i, upstream.read().header("X-Txn"));
                upstream.write(Stage.ok("a" + i));
                assertEquals("a" + i, caller.read().body());
            }
            assertEquals(0, stage.upstreams.get(0).waiting());
        }
    }

    @Test
    void sendsUnsafeRequestOnNewConnectionAfterIdleTime() throws Exception {
        try (Stage stage = new Stage().start()) {
            stage.node.onLoop((frontend, upstreams) -> {
                upstreams.setMaxIdleForUnsafe(0);
                return null;
            });
            Peer caller = stage.caller();
            caller.write(Stage.spend("s1", "x"));
            Peer first = stage.upstreams.get(0).accept();
            first.read();
            first.write(Stage.ok("a"));
            assertEquals("a", caller.read().body());
            caller.write(Stage.spend("s2", "x"));
            Peer second = stage.upstreams.get(0).accept();
            assertEquals("s2", second.read().header("X-Txn"));
            // The new connection replaces the old one, so that idle connections don't accumulate.
            assertTrue(first.ended());
            second.write(Stage.ok("b"));
            assertEquals("b", caller.read().body());
            caller.write(Stage.get("g1", "10"));
            assertEquals("g1", second.read().header("X-Txn"));
            second.write(Stage.ok("c"));
            assertEquals("c", caller.read().body());
        }
    }

    @Test
    void immediateResetShortensTrustedIdleTime() throws Exception {
        Freshness freshness = new Freshness(20_000, 50);
        assertTrue(freshness.mayUse(19_000, true));
        assertTrue(freshness.mayUse(50, false));
        assertFalse(freshness.mayUse(51, false));
        freshness.onReset(400);
        assertTrue(freshness.mayUse(200, true));
        assertFalse(freshness.mayUse(201, true));
        // A break after a longer idle time is no new evidence, and one after the shortest does not reduce the limit to
        // nothing.
        freshness.onReset(600);
        assertFalse(freshness.mayUse(201, true));
        freshness.onReset(1);
        assertTrue(freshness.mayUse(50, true));
        for (int second = 0; second < 60; second++) {
            freshness.recover();
        }
        assertTrue(freshness.mayUse(20_000, true));
        assertFalse(freshness.mayUse(20_001, true));
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void doesNotUsePooledConnectionClosedByUpstream(boolean abruptly) throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(Stage.get("1", "10"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            upstream.write(Stage.ok("one"));
            caller.read();
            if (abruptly) {
                upstream.reset();
            } else {
                upstream.close();
            }
            caller.write(Stage.get("2", "10"));
            Peer fresh = stage.upstreams.get(0).accept();
            assertEquals("2", fresh.read().header("X-Txn"));
            fresh.write(Stage.ok("two"));
            assertEquals("two", caller.read().body());
            assertEquals(Result.OK, stage.script.result());
            assertEquals(Result.OK, stage.script.result());
        }
    }

    @Test
    void connectTimeoutIsReportedAsNeverRun() throws Exception {
        try (Stage stage = new Stage();
                Backlog full = new Backlog()) {
            stage.connectTimeout = 200;
            stage.script.onStart = () -> stage.script.actions.watch(true);
            stage.start();
            sendRoster(stage, Stage.entry(9, full.address(), "up"));
            Peer caller = stage.caller();
            caller.write(Stage.spend("1", "x"));
            assertEquals(Result.CONNECT_FAILED, stage.script.result());
            assertEquals(502, caller.read().status());
        }
    }

    @Test
    void writesNothingToLateConnectionDuringShutdown() throws Exception {
        try (Stage stage = new Stage();
                Backlog full = new Backlog()) {
            stage.connectTimeout = 15_000;
            stage.script.onStart = () -> stage.script.actions.watch(true);
            stage.start();
            sendRoster(stage, Stage.entry(9, full.address(), "up"));
            Peer caller = stage.caller();
            caller.write(Stage.spend("1", "x"));
            // The node runs on one thread: it has handled the request once it has answered a later one.
            Peer other = stage.caller();
            other.write("GET /_health HTTP/1.1\r\n\r\n");
            other.read();
            stage.node.onLoop((frontend, upstreams) -> {
                double now = stage.node.now();
                upstreams.drain(new ShutdownDeadlines(now, now, now + 10_000));
                return null;
            });
            try (Peer late = full.acceptLast()) {
                assertEquals(Result.CONNECT_FAILED, stage.script.result());
                assertEquals(502, caller.read().status());
                assertEquals(0, late.socket.getInputStream().available());
            }
        }
    }

    @Test
    void doesNotStartWaitingAttemptAfterDrainGrace() throws Exception {
        try (Stage stage = new Stage();
                Backlog full = new Backlog()) {
            stage.connectTimeout = 15_000;
            stage.drainGrace = 50;
            stage.script.onStart = () -> stage.script.actions.watch(true);
            stage.start();
            Peer watch = sendRoster(stage, Stage.entry(9, full.address(), "up"));
            Peer caller = stage.caller();
            caller.write(Stage.spend("1", "x"));
            // The node runs on one thread: it has handled the request once it has answered a later one.
            Peer other = stage.caller();
            other.write("GET /_health HTTP/1.1\r\n\r\n");
            other.read();
            watch.read();
            watch.write(Stage.ok(Stage.roster(43, false, Stage.entry(9, full.address(), "draining"))));
            assertEquals(Change.DELTA, Script.next(stage.script.changes));
            // The kernel retries the connect only after a second, long past the grace period.
            try (Peer late = full.acceptLast()) {
                assertTrue(late.ended(), "the request was written after the grace");
            }
            assertEquals(Result.CONNECT_FAILED, stage.script.result());
            assertEquals(502, caller.read().status());
        }
    }

    @Test
    void healthCheckReturnsLoadReport() throws Exception {
        try (Stage stage = new Stage().start()) {
            stage.script.onRequest = request -> {
                stage.script.actions.healthCheck(stage.script.upstreams.get(0).id());
                stage.script.actions.refuse(request.id(), 0);
            };
            Peer caller = stage.caller();
            caller.write(Stage.get("1", "10"));
            assertEquals(503, caller.read().status());
            Peer upstream = stage.upstreams.get(0).accept();
            assertEquals("GET /_load HTTP/1.1", upstream.read().first());
            upstream.write(Stage.ok("TEXT queue=2, eps=0.5, latency_ms=61"));
            assertEquals("OK [2.0, 0.5, 61.0]", Script.next(stage.script.probes));
        }
    }

    @Test
    void evictsIdleUpstreamConnectionsForClients() throws Exception {
        try (Stage stage = new Stage(6)) {
            stage.sockets = 64 + 10;
            stage.start();
            Peer caller = stage.caller();
            List<Peer> idle = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                int to = i;
                stage.script.onRequest = request -> stage.script.sendTo(to, request, 0);
                caller.write(Stage.get("r" + i, "10"));
                idle.add(stage.upstreams.get(i).accept());
                idle.get(i).read();
                idle.get(i).write(Stage.ok("a"));
                caller.read();
            }
            for (int i = 0; i < 6; i++) {
                Peer more = stage.caller();
                more.write("GET /_health HTTP/1.1\r\n\r\n");
                assertEquals(200, more.read().status());
            }
            assertTrue(idle.get(0).ended() && idle.get(1).ended() && idle.get(2).ended());
        }
    }

    /** Answers the node's first watch with a complete roster of one upstream. */
    private static Peer sendRoster(Stage stage, String entry) throws Exception {
        Script.next(stage.script.changes);
        Peer watch = stage.discovery.accept();
        watch.read();
        watch.write(Stage.ok(Stage.roster(42, true, entry)));
        assertEquals(Change.FULL, Script.next(stage.script.changes));
        return watch;
    }
}

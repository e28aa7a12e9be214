package sablehinge.dataplane.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import sablehinge.dataplane.proxy.ShutdownDeadlines;
import sablehinge.policy.LoadBalancer.Result;
import sablehinge.testing.Peer;
import sablehinge.testing.Script;
import sablehinge.testing.Stage;

/** The responses to clients: every request is answered once, whatever errors the client or the load balancer make. */
@Timeout(60)
class FrontendTest {

    private static final String HEALTH = "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n";

    @Test
    void answersHealthCheckOnceItListens() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(HEALTH);
            assertEquals(200, caller.read().status());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET /nothing/7 HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: nothing\r\nX-Remaining: 1\r\n\r\n",
                "GET / HTTP/1.1\r\nX-Txn: 1\r\nX-Remaining: 1\r\n\r\n",
                "GET /look-up HTTP/1.1\r\nX-Lane: look-up\r\nX-Remaining: 1\r\n\r\n",
                "GET /look-up HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: look-up\r\n\r\n",
                "GET /look-up HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: look-up\r\nX-Remaining: soon\r\n\r\n",
                "GET /look-up HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: look-up\r\nX-Remaining: -1\r\n\r\n",
                "GET /look-up HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: look-up\r\nX-Remaining: NaN\r\n\r\n",
                "GET /look-up HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: look-up\r\nX-Remaining: 1\r\nX-Estimate: x\r\n\r\n",
                "POST /look-up HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: look-up\r\nX-Remaining: 1\r\n\r\n",
                "GET /credit-spend HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: credit-spend\r\nX-Remaining: 1\r\n\r\n",
                "POST /tile-order HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: tile-order\r\nX-Remaining: 1\r\n\r\n",
                "POST /credit-spend HTTP/1.1\r\nX-Txn: 1\r\nContent-Length: many\r\n\r\n",
                "no request at all\r\n\r\n",
                "GET /look-up HTTP/1.1\r\nX-Txn: 1\r\nX-Remaining: 1\r\n\r\n",
                "GET /tile-order HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: look-up\r\nX-Remaining: 1\r\n\r\n",
                "GET http://a/look-up HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: look-up\r\nX-Remaining: 1\r\n\r\n",
                "GET /look-up HTTP/1.1\r\nX-Txn: 1\r\nX-Txn: 2\r\nX-Lane: look-up\r\nX-Remaining: 1\r\n\r\n",
                "GET /look-up HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: look-up\r\nX-Remaining: 0x1p3\r\n\r\n",
                "GET /look-up HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: look-up\r\nX-Remaining: 1d\r\n\r\n",
                "GET /look-up HTTP/1.1\r\nX-Txn: 1 2\r\nX-Lane: look-up\r\nX-Remaining: 1\r\n\r\n",
                "GET /look-up HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: look-up\r\nX-Remaining: 1\r\n"
                        + "Content-Length: 1\r\n\r\nb",
                "POST /credit-spend HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: credit-spend\r\nX-Remaining: 1\r\n"
                        + "Idempotency-Key: k\r\nContent-Length: 0\r\n\r\n",
                "POST /credit-spend HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: credit-spend\r\nX-Remaining: 1\r\n"
                        + "Content-Length: -1\r\n\r\n",
                "POST /credit-spend HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: credit-spend\r\nX-Remaining: 1\r\n"
                        + "Content-Length: 0\r\nContent-Length: 1\r\n\r\nb",
                "POST /credit-spend HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: credit-spend\r\nX-Remaining: 1\r\n"
                        + "Transfer-Encoding: gzip\r\n\r\n",
                "POST /credit-spend HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: credit-spend\r\nX-Remaining: 1\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
                "POST /credit-spend HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: credit-spend\r\nX-Remaining: 1\r\n"
                        + "Content-Length: 60\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                        + "POST /credit-spend HTTP/1.1\r\nX-Txn: 2\r\n"
            })
    void rejectsMalformedRequestAndClosesConnection(String request) throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(request);
            Peer.Message answer = caller.read();
            assertEquals(400, answer.status());
            assertEquals("close", answer.header("Connection"));
            assertTrue(caller.ended());
            // The first request that the upstream receives is that of the next client.
            stage.servesStill();
        }
    }

    @Test
    void answersErrorOfPipelinedRequestAfterPrecedingResponse() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(Stage.get("1", "10") + "POST /credit-spend HTTP/1.1\r\nExpect: 100-continue\r\n"
                    + "Content-Length: 60000000\r\n\r\n");
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            upstream.write(Stage.ok("first"));
            assertEquals("first", caller.read().body());
            assertEquals(413, caller.read().status());
            assertTrue(caller.ended());
        }
    }

    @Test
    void sendsContinueWhenClientExpectsIt() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            String request = Stage.spend("1", "body").replace("Host:", "Expect: 100-continue\r\nHost:");
            caller.write(request.substring(0, request.length() - 4));
            assertEquals(100, caller.read().status());
            caller.write("body");
            Peer upstream = stage.upstreams.get(0).accept();
            Peer.Message passed = upstream.read();
            assertEquals("body", passed.body());
            assertNull(passed.header("Expect"));
            upstream.write(Stage.ok("served"));
            assertEquals("served", caller.read().body());
        }
    }

    @Test
    void rejectsTooManyPipelinedRequestsAndCancelsTheFirst() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(Stage.spend("first", "x"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < 300; i++) {
                requests.append(Stage.get("r" + i, "10"));
            }
            caller.write(requests.toString());
            assertEquals(400, caller.read().status());
            assertTrue(caller.ended());
            assertEquals(1, Script.next(stage.script.gone));
            stage.script.onOutcome = outcome -> {};
            assertEquals(0, stage.upstreams.get(0).waiting());
        }
    }

    /** How much later than planned the frontend stops admitting requests, ms. */
    private static final double LATE_MS = 400;

    /** Stops admitting requests; one whose first byte has been received by now may still start for the given ms. */
    private static void stopAdmitting(Stage stage, double startMs) throws Exception {
        stage.node.onLoop((frontend, upstreams) -> {
            double now = stage.node.now();
            // The frontend stops later than planned: what it reads only now was received before it stopped.
            frontend.stopAdmitting(new ShutdownDeadlines(now - LATE_MS, now + startMs, now + startMs + 10_000));
            return null;
        });
    }

    /** Waits until the given number of requests were read since the drain began. */
    private static void awaitLate(Stage stage, int count) throws Exception {
        while (stage.node.onLoop((frontend, upstreams) -> frontend.lateRequests()) < count) {
            Thread.onSpinWait();
        }
    }

    /** Opens a connection with a partly received request. */
    private static Peer halfRead(Stage stage) throws Exception {
        Peer caller = stage.caller();
        caller.write("POST /credit-spend HTTP/1.1\r\n");
        while (stage.node.onLoop((frontend, upstreams) -> frontend.callers()) == 0) {
            Thread.onSpinWait();
        }
        return caller;
    }

    @Test
    void servesRequestBegunBeforeShutdownAsTheLast() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = halfRead(stage);
            stopAdmitting(stage, 60_000);
            caller.write(Stage.spend("1", "x").replace("POST /credit-spend HTTP/1.1\r\n", ""));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            caller.write(Stage.spend("behind", "x"));
            awaitLate(stage, 2);
            upstream.write(Stage.ok("served"));
            assertEquals("served", caller.read().body());
            Peer.Message refused = caller.read();
            assertEquals(503, refused.status());
            assertEquals("close", refused.header("Connection"));
            assertTrue(caller.ended());
            assertEquals(0, stage.upstreams.get(0).waiting());
        }
    }

    /**
     * The first byte of a request that shares a segment with the end of another was received with that segment, and not
     * with the first byte of the other request.
     */
    @Test
    void timesFirstByteOfRequestThatSharesASegmentWithItsPredecessor() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = halfRead(stage);
            stopAdmitting(stage, 60_000);
            caller.write(
                    Stage.spend("1", "x").replace("POST /credit-spend HTTP/1.1\r\n", "") + Stage.spend("behind", "x"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            upstream.write(Stage.ok("served"));
            assertEquals("served", caller.read().body());
            assertEquals(503, caller.read().status());
            assertTrue(caller.ended());
        }
    }

    @Test
    void refusesRequestCompletedAfterShutdownDeadline() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = halfRead(stage);
            stopAdmitting(stage, 0);
            caller.write(Stage.spend("1", "x").replace("POST /credit-spend HTTP/1.1\r\n", ""));
            Peer.Message answer = caller.read();
            assertEquals(503, answer.status());
            assertEquals("close", answer.header("Connection"));
            assertTrue(Double.parseDouble(answer.header("Retry-After")) > 0);
            assertTrue(caller.ended());
            assertEquals(0, stage.upstreams.get(0).waiting());
        }
    }

    @Test
    void isWrittenOutOnlyAfterRelayedResponseAndDespiteOpenConnections() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(Stage.get("1", "10"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            assertTrue(isWrittenOut(stage));
            String body = "x".repeat(200_000);
            upstream.write("HTTP/1.1 200 OK\r\nContent-Length: " + 2 * body.length() + "\r\n\r\n" + body);
            assertEquals(Result.OK, stage.script.result());
            assertFalse(isWrittenOut(stage));
            upstream.write(body);
            assertEquals(body + body, caller.read().body());
            while (!isWrittenOut(stage)) {
                Thread.onSpinWait();
            }
            int callers = stage.node.onLoop((frontend, upstreams) -> frontend.callers());
            assertEquals(1, callers);
        }
    }

    private static boolean isWrittenOut(Stage stage) throws Exception {
        return stage.node.onLoop((frontend, upstreams) -> frontend.isWrittenOut());
    }

    @Test
    void refusesLateRequestBeforeItsBodyArrives() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(Stage.get("1", "10"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            stopAdmitting(stage, 60_000);
            caller.write(Stage.spend("2", "body").replace("body", ""));
            awaitLate(stage, 1);
            upstream.write(Stage.ok("served"));
            assertEquals("served", caller.read().body());
            assertEquals(503, caller.read().status());
            assertTrue(caller.ended());
        }
    }

    /** Advances the time for the timeouts of connections. */
    private static void advanceTime(Stage stage, double millis) throws Exception {
        stage.node.onLoop((frontend, upstreams) -> {
            frontend.sweep(stage.node.now() + millis);
            return null;
        });
    }

    /** Returns once the node has handled what clients sent before. */
    private static void awaitInputHandled(Stage stage) throws Exception {
        Peer other = stage.caller();
        other.write(HEALTH);
        other.read();
        other.close();
    }

    @Test
    void closesSilentClientAndAnswersPartialRequestWithTimeout() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer unresponsive = stage.caller();
            Peer[] slow = {stage.caller(), stage.caller(), stage.caller()};
            slow[0].write("GET /look-up HT");
            slow[1].write("GET /look-up HTTP/1.1\r\n");
            slow[2].write("POST /credit-spend HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
            awaitInputHandled(stage);
            advanceTime(stage, 3_000);
            assertTrue(unresponsive.ended());
            for (Peer caller : slow) {
                assertEquals(408, caller.read().status());
                assertTrue(caller.ended());
            }
            stage.servesStill();
        }
    }

    /** LOST: the time limit for a client that reads nothing also counted while the upstream was silent. */
    @Test
    void silentUpstreamDoesNotUseUpTimeOfClientThatReads() throws Exception {
        try (Stage stage = new Stage().start()) {
            String body = "x".repeat(200_000);
            Peer caller = stage.caller();
            caller.write(Stage.get("1", "60"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            upstream.write("HTTP/1.1 200 OK\r\nContent-Length: " + 2 * body.length() + "\r\n\r\n" + body);
            CompletableFuture<Peer.Message> answer = CompletableFuture.supplyAsync(() -> {
                try {
                    return caller.read();
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
            awaitWritten(stage);
            advanceTime(stage, 30_000);
            upstream.write(body);
            assertEquals(body + body, answer.get().body());
        }
    }

    private static void awaitWritten(Stage stage) throws Exception {
        assertEquals(Result.OK, stage.script.result());
        while (unwrittenBytes(stage) > 0) {
            Thread.onSpinWait();
        }
    }

    private static long unwrittenBytes(Stage stage) throws Exception {
        AtomicLong bytes = new AtomicLong();
        return stage.node.onLoop((frontend, upstreams) -> {
            frontend.forEachRelay(relay -> bytes.addAndGet(relay.unwrittenBytes()));
            return bytes.get();
        });
    }

    private static int callers(Stage stage) throws Exception {
        return stage.node.onLoop((frontend, upstreams) -> frontend.callers());
    }

    /** A client that takes nothing of a relayed response is still given up, and not before its time. */
    @Test
    void closesConnectionOfClientThatReadsNothing() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(Stage.get("1", "60"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            CompletableFuture<Boolean> written = CompletableFuture.supplyAsync(() -> {
                try {
                    upstream.write("HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n" + "x".repeat(30_000_000));
                    return true;
                } catch (IOException e) {
                    return false;
                }
            });
            assertEquals(Result.OK, stage.script.result());
            while (unwrittenBytes(stage) == 0) {
                Thread.onSpinWait();
            }
            advanceTime(stage, 9_000);
            assertEquals(1, callers(stage));
            // The buffers of the kernel may still take some of it.
            while (callers(stage) == 1) {
                advanceTime(stage, 11_000);
            }
            assertFalse(written.get());
        }
    }

    @Test
    void closesIdleConnectionButNotOneWithRequestInProgress() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer idle = stage.caller();
            idle.write(HEALTH);
            idle.read();
            Peer busy = stage.caller();
            busy.write(HEALTH);
            busy.read();
            // The request is in the kernel's buffer or in progress; either way it must not be lost.
            busy.write(Stage.get("1", "10"));
            advanceTime(stage, 9_000);
            assertTrue(idle.ended());
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            upstream.write(Stage.ok("kept"));
            assertEquals("kept", busy.read().body());
        }
    }

    @Test
    void evictsIdleConnectionsForNewClients() throws Exception {
        try (Stage stage = new Stage()) {
            stage.sockets = 64 + 20;
            stage.start();
            for (int i = 0; i < 200; i++) {
                // Each client keeps its connection open, as far as it can.
                Peer caller = stage.caller();
                caller.write(HEALTH);
                assertEquals(200, caller.read().status());
            }
        }
    }

    @Test
    void acceptsNoClientsBeyondDescriptorLimitWhenOthersLeave() throws Exception {
        try (Stage stage = new Stage()) {
            stage.sockets = 64 + 5;
            stage.start();
            java.util.concurrent.atomic.AtomicInteger taken = new java.util.concurrent.atomic.AtomicInteger();
            stage.script.onRequest = request -> taken.incrementAndGet();
            Peer[] clients = new Peer[80];
            for (int i = 0; i < clients.length; i++) {
                clients[i] = stage.caller();
                clients[i].write(Stage.get("r" + i, "20"));
            }
            for (int i = 0; i < 10; i++) {
                advanceTime(stage, 0);
            }
            int before = taken.get();
            assertTrue(before >= 5 && before <= 5 + 16, before + " let in");
            // While there are too many connections, no client is accepted in place of one that leaves.
            for (int i = 0; i < before - 5; i++) {
                clients[i].close();
                Script.next(stage.script.gone);
                advanceTime(stage, 0);
                advanceTime(stage, 0);
            }
            assertEquals(before, taken.get());
            clients[before - 1].close();
            Script.next(stage.script.gone);
            while (taken.get() == before) {
                Thread.onSpinWait();
            }
        }
    }

    @Test
    void rejectsRequestWhoseIdIsInProgress() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer first = stage.caller();
            first.write(Stage.spend("same", "x"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            Peer second = stage.caller();
            second.write(Stage.spend("same", "x"));
            assertEquals(409, second.read().status());
            assertTrue(second.ended());
            upstream.write(Stage.ok("first"));
            assertEquals("first", first.read().body());
            // The id can be used again.
            first.write(Stage.get("same", "10"));
            assertEquals("same", upstream.read().header("X-Txn"));
        }
    }

    @Test
    void acceptsRetryAfterClientClosedItsConnection() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer first = stage.caller();
            first.write(Stage.get("same", "10"));
            stage.upstreams.get(0).accept().read();
            first.close();
            Peer second = stage.caller();
            second.write(Stage.get("same", "10"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            upstream.write(Stage.ok("second"));
            assertEquals("second", second.read().body());
        }
    }

    @Test
    void rejectsBodyOverTheLimit() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write("POST /credit-spend HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: credit-spend\r\n"
                    + "X-Remaining: 10\r\nContent-Length: "
                    + (UpstreamClient.MAX_RELAYED_BYTES + 1) + "\r\n\r\nbegins");
            assertEquals(413, caller.read().status());
            stage.servesStill();
        }
    }

    @Test
    void clientThatStillSendsReceivesItsResponse() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write("no request at all\r\n\r\n");
            // The response may be written before the rest is received; it must not be lost to a reset.
            caller.write("x".repeat(200_000));
            assertEquals(400, caller.read().status());
            caller.socket.shutdownOutput();
            assertTrue(caller.ended());
        }
    }

    @Test
    void rejectsHeadersOverTheLimit() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write("GET /look-up HTTP/1.1\r\nX-Labels: " + "x".repeat(20_000) + "\r\n\r\n");
            int status = caller.read().status();
            assertTrue(status >= 400 && status < 500 && status != 429, "status " + status);
            stage.servesStill();
        }
    }

    @Test
    void sendsRetryAfterForRefusalAndBadGatewayForFailure() throws Exception {
        try (Stage stage = new Stage().start()) {
            stage.script.onRequest = request -> stage.script.actions.refuse(request.id(), 250);
            Peer caller = stage.caller();
            caller.write(Stage.get("1", "10"));
            Peer.Message refused = caller.read();
            assertEquals(503, refused.status());
            assertEquals("0.250", refused.header("Retry-After"));
            stage.script.onRequest = request -> stage.script.actions.refuse(request.id(), 0);
            caller.write(Stage.get("2", "10"));
            assertNull(caller.read().header("Retry-After"));
            stage.script.onRequest = request -> stage.script.actions.fail(request.id());
            caller.write(Stage.get("3", "10"));
            assertEquals(502, caller.read().status());
        }
    }

    @Test
    void answersRequestOnlyOnce() throws Exception {
        try (Stage stage = new Stage().start()) {
            stage.script.onRequest = request -> {
                stage.script.actions.fail(request.id());
                stage.script.actions.refuse(request.id(), 0);
                stage.script.actions.fail(request.id());
            };
            Peer caller = stage.caller();
            caller.write(Stage.get("1", "10"));
            assertEquals(502, caller.read().status());
            caller.write(HEALTH);
            assertEquals(200, caller.read().status());
        }
    }

    @Test
    void answersPipelinedRequestsInOrder() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(Stage.get("1", "10") + Stage.get("2", "10") + HEALTH);
            Peer upstream = stage.upstreams.get(0).accept();
            assertEquals("1", upstream.read().header("X-Txn"));
            upstream.write(Stage.ok("first"));
            // The first response releases its connection only after the next request has looked for one.
            assertEquals("first", caller.read().body());
            Peer second = stage.upstreams.get(0).accept();
            assertEquals("2", second.read().header("X-Txn"));
            second.write(Stage.ok("second"));
            assertEquals("second", caller.read().body());
            assertEquals(200, caller.read().status());
        }
    }

    @Test
    void reportsClientGoneOnceAndDropsLaterOutcomes() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(Stage.spend("1", "x"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            caller.close();
            assertEquals(1, Script.next(stage.script.gone));
            upstream.write(Stage.ok("nobody waits"));
            assertTrue(Script.next(stage.script.outcomes).closed());
            stage.script.onRequest = request -> stage.script.actions.fail(request.id());
            Peer other = stage.caller();
            other.write(Stage.get("2", "10"));
            other.read();
            assertTrue(stage.script.gone.isEmpty());
        }
    }

    @ParameterizedTest
    @CsvSource({"request", "outcome", "timer"})
    void exceptionInLoadBalancerFailsOnlyItsRequest(String where) throws Exception {
        try (Stage stage = new Stage().start()) {
            Script script = stage.script;
            Runnable broken = () -> {
                throw new IllegalStateException("made by a test");
            };
            if (where.equals("request")) {
                script.onRequest = request -> broken.run();
            } else if (where.equals("outcome")) {
                script.onOpen = (actions, outcome) -> broken.run();
            } else {
                script.onRequest = request -> script.actions.setTimer(7, 0);
                script.onTimer = broken;
            }
            Peer caller = stage.caller();
            caller.write(Stage.spend("1", "x"));
            if (where.equals("outcome")) {
                Peer upstream = stage.upstreams.get(0).accept();
                upstream.read();
                upstream.close();
            }
            assertEquals(500, caller.read().status());
            assertEquals(1, Script.next(script.gone));
            script.onRequest = request -> script.sendTo(0, request, 0);
            script.onOpen = (actions, outcome) -> {};
            stage.servesStill();
        }
    }

    @Test
    void requestForgottenByLoadBalancerFailsAfterItsDeadline() throws Exception {
        try (Stage stage = new Stage().start()) {
            stage.script.onRequest = request -> {};
            Peer caller = stage.caller();
            caller.write(Stage.get("1", "0.1"));
            assertEquals(504, caller.read().status());
            assertEquals(1, Script.next(stage.script.gone));
        }
    }

    @Test
    void deliversEventCausedByActionAfterLoadBalancerReturns() throws Exception {
        try (Stage stage = new Stage().start()) {
            boolean[] inside = new boolean[1];
            boolean[] nested = new boolean[1];
            stage.script.onOutcome = outcome -> nested[0] |= inside[0];
            stage.script.onRequest = request -> {
                inside[0] = true;
                // There is no such upstream: the attempt has ended before the action returns.
                stage.script.actions.send(request.id(), 12_345, 0);
                inside[0] = false;
            };
            Peer caller = stage.caller();
            caller.write(Stage.get("1", "10"));
            assertEquals(502, caller.read().status());
            assertFalse(nested[0]);
        }
    }

    @Test
    void sendsNoAttemptOverTheLimit() throws Exception {
        try (Stage stage = new Stage().start()) {
            stage.upstreams.get(0).close();
            stage.script.onOpen = (actions, outcome) -> {
                if (outcome.result() == sablehinge.policy.LoadBalancer.Result.NOT_SENT) {
                    actions.refuse(outcome.requestId(), 0);
                } else {
                    actions.send(outcome.requestId(), outcome.upstream(), 0);
                }
            };
            Peer caller = stage.caller();
            caller.write(Stage.get("1", "10"));
            assertEquals(503, caller.read().status());
            assertEquals(5, stage.script.outcomes.size());
        }
    }
}

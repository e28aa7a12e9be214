package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What callers see: every request has one answer, whatever they or the module get wrong. */
@Timeout(60)
class FrontendTest {

    private static final String HEALTH = "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n";

    @Test
    void itIsHealthyOnceItListens() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(HEALTH);
            assertEquals(200, caller.read().status());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {
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
        "no request at all\r\n\r\n"})
    void aMalformedRequestIsTheCallersFault(String request) throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(request);
            assertEquals(400, caller.read().status());
            stage.servesStill();
        }
    }

    @Test
    void aBodyOverTheLimitIsTurnedDown() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(Stage.spend("1", "b".repeat(UpstreamClient.MAX_BODY + 1)));
            assertEquals(413, caller.read().status());
            stage.servesStill();
        }
    }

    @Test
    void aCallerThatStillSendsHasItsAnswerAllTheSame() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write("no request at all\r\n\r\n");
            // The answer may be out before the rest comes in; it must not be lost to a reset.
            caller.write("x".repeat(200_000));
            assertEquals(400, caller.read().status());
            caller.socket.shutdownOutput();
            assertTrue(caller.ended());
        }
    }

    @Test
    void headersOverTheLimitAreTurnedDown() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write("GET /look-up HTTP/1.1\r\nX-Labels: " + "x".repeat(20_000) + "\r\n\r\n");
            int status = caller.read().status();
            assertTrue(status >= 400 && status < 500 && status != 429, "status " + status);
            stage.servesStill();
        }
    }

    @Test
    void aRefusalSaysWhenToComeBackAndAFailureIsNoRefusal() throws Exception {
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
    void anAnswerIsGivenOnceOnly() throws Exception {
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
    void requestsSentAheadAreAnsweredInTheirOrder() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(Stage.get("1", "10") + Stage.get("2", "10") + HEALTH);
            Peer upstream = stage.upstreams.get(0).accept();
            assertEquals("1", upstream.read().header("X-Txn"));
            upstream.write(Stage.ok("first"));
            // The first answer frees its connection only after the next request has looked for one.
            assertEquals("first", caller.read().body());
            Peer second = stage.upstreams.get(0).accept();
            assertEquals("2", second.read().header("X-Txn"));
            second.write(Stage.ok("second"));
            assertEquals("second", caller.read().body());
            assertEquals(200, caller.read().status());
        }
    }

    @Test
    void aCallerThatLeavesIsGoneOnceAndLaterOutcomesAreDropped() throws Exception {
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
    void anExceptionInTheModuleFailsThatRequestOnly(String where) throws Exception {
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
            script.onOpen = (actions, outcome) -> { };
            stage.servesStill();
        }
    }

    @Test
    void aRequestThatTheModuleForgetsFailsSoonAfterItsDeadline() throws Exception {
        try (Stage stage = new Stage().start()) {
            stage.script.onRequest = request -> { };
            Peer caller = stage.caller();
            caller.write(Stage.get("1", "0.1"));
            assertEquals(504, caller.read().status());
            assertEquals(1, Script.next(stage.script.gone));
        }
    }

    @Test
    void anEventThatAnActionCausesWaitsForTheModulesCallToReturn() throws Exception {
        try (Stage stage = new Stage().start()) {
            boolean[] inside = new boolean[1];
            boolean[] nested = new boolean[1];
            stage.script.onOutcome = outcome -> nested[0] |= inside[0];
            stage.script.onRequest = request -> {
                inside[0] = true;
                // No such upstream: the attempt has ended before the action returns.
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
    void anAttemptOverTheLimitIsNotSent() throws Exception {
        try (Stage stage = new Stage().start()) {
            stage.upstreams.get(0).close();
            stage.script.onOpen = (actions, outcome) -> {
                if (outcome.result() == cranedeal.LoadBalancer.Result.NOT_SENT) {
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

package sablehinge.dataplane.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sablehinge.policy.LoadBalancer.Result;
import sablehinge.testing.Peer;
import sablehinge.testing.ResponseGrammar;
import sablehinge.testing.Script;
import sablehinge.testing.Stage;

/** The gateway's requests and health checks, where an upstream sends no status line or no field name (RFC 9112). */
@Timeout(120)
class MalformedUpstreamResponseTest {

    private static final String STATUS_LINE = "HTTP/1.1 200 OK";
    private static final String REST = "\r\nContent-Length: 4\r\n\r\nbody";
    private static final String RELAYED_REST = "\r\nContent-Length: 100000\r\n\r\n" + "b".repeat(100_000);

    /** Sends a request that may not be repeated, whose response is malformed. */
    private static void assertMayHaveRun(Stage stage, Peer caller, String response) throws Exception {
        caller.write(Stage.spend("1", "x"));
        Peer upstream = stage.upstreams.get(0).accept();
        upstream.read();
        upstream.write(response);
        assertEquals(Result.ERROR, stage.script.result(), () -> ResponseGrammar.escape(response));
        assertEquals(502, caller.read().status());
        assertTrue(upstream.ended());
    }

    @Test
    void malformedStatusLineIsReportedAsMaybeRunAndClosesConnection() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            for (String line : ResponseGrammar.malformedStatusLines()) {
                assertMayHaveRun(stage, caller, line + REST);
            }
            for (String line : new String[] {"HTTP/1.1 000 OK", "HTTP/1.1 +200 OK", "HTTP/1.1 200 \1K"}) {
                assertMayHaveRun(stage, caller, line + RELAYED_REST);
            }
            stage.servesStill();
        }
    }

    @Test
    void malformedFieldNameIsReportedAsMaybeRunAndClosesConnection() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            for (String name : ResponseGrammar.malformedNames()) {
                assertMayHaveRun(stage, caller, STATUS_LINE + "\r\nA: b\r\n" + name + ": v" + REST);
                assertMayHaveRun(
                        stage,
                        caller,
                        STATUS_LINE + "\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\nA: b\r\n" + name
                                + ": v\r\n\r\n");
            }
            assertMayHaveRun(stage, caller, STATUS_LINE + "\r\nA: b\r\n C: d" + RELAYED_REST);
            stage.servesStill();
        }
    }

    @Test
    void allowedResponsesAreServedOnOneConnection() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            Peer upstream = null;
            for (String line : ResponseGrammar.successes()) {
                if (!line.startsWith("HTTP/1.0") && line.contains(" 200 ")) {
                    caller.write(Stage.spend("1", "x"));
                    upstream = upstream == null ? stage.upstreams.get(0).accept() : upstream;
                    upstream.read();
                    upstream.write(line + REST);
                    assertEquals(Result.OK, stage.script.result(), () -> ResponseGrammar.escape(line));
                    assertEquals("body", caller.read().body());
                }
            }
            assertEquals(0, stage.upstreams.get(0).waiting());
        }
    }

    @Test
    void malformedResponseFailsHealthCheck() throws Exception {
        try (Stage stage = new Stage().start()) {
            stage.script.onRequest = request -> {
                stage.script.actions.healthCheck(stage.script.upstreams.get(0).id());
                stage.script.actions.refuse(request.id(), 0);
            };
            Peer caller = stage.caller();
            for (String line : ResponseGrammar.malformedStatusLines()) {
                assertEquals("ERROR null", checkHealth(stage, caller, line + REST), () -> ResponseGrammar.escape(line));
            }
            for (String name : ResponseGrammar.malformedNames()) {
                String response = STATUS_LINE + "\r\nA: b\r\n" + name + ": v" + REST;
                assertEquals("ERROR null", checkHealth(stage, caller, response), () -> ResponseGrammar.escape(name));
            }
        }
    }

    /** The result of a health check on a connection of its own, which must end. */
    private static String checkHealth(Stage stage, Peer caller, String response) throws Exception {
        caller.write(Stage.get("1", "10"));
        assertEquals(503, caller.read().status());
        Peer upstream = stage.upstreams.get(0).accept();
        upstream.read();
        upstream.write(response);
        String result = Script.next(stage.script.probes);
        assertTrue(upstream.ended());
        return result;
    }
}

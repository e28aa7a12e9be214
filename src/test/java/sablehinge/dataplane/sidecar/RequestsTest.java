package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.SocketException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Requests from a client through the outbound and the inbound side of a real sidecar to an upstream simulated by the
 * test.
 */
@Timeout(60)
class RequestsTest {

    private static final String TENANTS =
            """
            {"name":"hule930","passes":["k-1","k-2"],"priority":0,"perS":0,"burst":0},
            {"name":"few","passes":["k-few"],"perS":0.01,"burst":10}""";

    private static String echo(PlainConnection.Message request) {
        return SidecarFixture.ok(request.id(), request.body());
    }

    private static String lines(String... lines) {
        return String.join("\r\n", lines) + "\r\n";
    }

    @ParameterizedTest
    @CsvSource({
        "GET,/s/a%2Fb/./../c?x=1&y=%20+;z,0",
        "DELETE,/u/?,0",
        "OPTIONS,/u//a,0",
        "PUT,/u/~,5",
        "PATCH,/u/a?b?c,70000",
        "POST,/u/x,0",
        "POST,/u/x,1300000"
    })
    void forwardsMethodPathQueryAndBodyUnchanged(String method, String path, int length) throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream().respond(RequestsTest::echo)) {
            String body = "0123456789".repeat(length / 10 + 1).substring(0, length);
            PlainConnection.Message answer =
                    mesh.client().request(SidecarFixture.post(path, "t-1", body).replaceFirst("POST", method));
            assertEquals(200, answer.status());
            assertEquals(body, answer.body());
            assertEquals("t-1", answer.id());
            assertEquals("3e1b.t-1", answer.header("Sablehinge-Postmark"));
            assertEquals(method + " " + path + " HTTP/1.1", mesh.arrived.get(0).startLine());
            assertEquals(body, mesh.arrived.get(0).body());
            assertEquals(List.of("t-1"), mesh.arrivedIds());
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {10, 40_000, 1_700_000})
    void forwardsChunkedUploadCompletely(int length) throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream()
                .respond(request ->
                        SidecarFixture.ok(request.id(), "" + request.body().length()))) {
            PlainConnection client = mesh.client();
            client.write(SidecarFixture.get("/u/up", "t-1", lines("Transfer-Encoding: chunked"))
                    .replaceFirst("GET", "POST"));
            String half = "ab".repeat(length / 4);
            String chunk = Integer.toHexString(half.length()) + "\r\n" + half + "\r\n";
            client.write(chunk + chunk + "0\r\n\r\n");
            assertEquals("" + 2 * half.length(), client.read().body());
            assertEquals(half + half, mesh.arrived.get(0).body());
            assertEquals(200, client.request(SidecarFixture.get("/s/x", "t-2")).status());
        }
    }

    @Test
    void neverForwardsTruncatedUploadAsComplete() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream().respond(RequestsTest::echo)) {
            for (int length : new int[] {1_000, 1_700_000}) {
                PlainConnection client = mesh.client();
                client.write(SidecarFixture.get("/u/up", "t-" + length, lines("Transfer-Encoding: chunked"))
                        .replaceFirst("GET", "POST"));
                client.write(Integer.toHexString(length) + "\r\n" + "a".repeat(length) + "\r\n");
                client.close();
            }
            assertEquals(
                    200,
                    mesh.client().request(SidecarFixture.get("/s/x", "t-2")).status());
            assertEquals(List.of("t-2"), mesh.arrivedIds());
        }
    }

    @Test
    void removesHopByHopHeadersAndForwardsAllOthers() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream()
                .respond(request -> SidecarFixture.ok(
                        request.id(),
                        "",
                        lines(
                                "X-Answer: a",
                                "X-Answer: b",
                                "Connection: X-Near",
                                "X-Near: 1",
                                "Keep-Alive: timeout=5",
                                "Sablehinge-Verdict: not-run")))) {
            PlainConnection.Message answer = mesh.client()
                    .request(SidecarFixture.get(
                            "/s/x",
                            "t-1",
                            lines(
                                    "Connection: x-hop, keep-alive",
                                    "X-Hop: 1",
                                    "Keep-Alive: timeout=9",
                                    "TE: trailers",
                                    "Proxy-Connection: x",
                                    "X-Far: a",
                                    "X-Far: b",
                                    "Accept-Encoding: identity",
                                    "Cookie: c=d",
                                    "Sablehinge-Patience: 1",
                                    "Sablehinge-Rank: 0")));
            PlainConnection.Message request = mesh.arrived.get(0);
            assertEquals(List.of("a", "b"), request.headerValues("X-Far"));
            assertEquals("identity", request.header("Accept-Encoding"));
            assertEquals("c=d", request.header("Cookie"));
            assertEquals("ficu95.example", request.header("Host"));
            for (String removed : List.of(
                    "X-Hop",
                    "Keep-Alive",
                    "TE",
                    "Proxy-Connection",
                    "Sablehinge-Patience",
                    "Sablehinge-Rank",
                    "Transfer-Encoding")) {
                assertEquals(List.of(), request.headerValues(removed), removed);
            }
            assertEquals(200, answer.status());
            assertEquals(List.of("a", "b"), answer.headerValues("X-Answer"));
            for (String removed : List.of("X-Near", "Keep-Alive", "Sablehinge-Verdict")) {
                assertEquals(List.of(), answer.headerValues(removed), removed);
            }
        }
    }

    /**
     * RULES, UNASKED: a client can't remove the headers set for an upstream by listing them in its Connection header.
     */
    @Test
    void ignoresConnectionOptionsThatNameProtocolHeaders() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream(TENANTS)
                .respond(request -> SidecarFixture.ok(
                        request.id(), "", lines("Connection: Sablehinge-Postmark, Sablehinge-Try-Id")))) {
            PlainConnection.Message answer = mesh.client()
                    .request(SidecarFixture.get(
                            "/s/x",
                            "t-1",
                            lines(
                                    "Sablehinge-Key: k-1",
                                    "Connection: sablehinge-caller, Sablehinge-Sender,Sablehinge-Patience, "
                                            + "Sablehinge-Try-Id, Sablehinge-Time-Left, "
                                            + "Sablehinge-Deliver-To, Sablehinge-Rank")));
            assertEquals(200, answer.status());
            assertEquals("3e1b.t-1", answer.header("Sablehinge-Postmark"));
            PlainConnection.Message request = mesh.arrived.get(0);
            assertEquals(SidecarFixture.CALLER, request.header("Sablehinge-Caller"));
            assertEquals("hule930", request.header("Sablehinge-Sender"));
            assertEquals("t-1", request.id());
            assertEquals("i-1", request.header("Sablehinge-Deliver-To"));
        }
    }

    @Test
    void removesKeyAndOverwritesForgedIdentityHeaders() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream(TENANTS).respond(RequestsTest::echo)) {
            String forged = lines(
                    "Sablehinge-Sender: other",
                    "Sablehinge-Caller: other",
                    "sablehinge-sender: third",
                    "Sablehinge-Deliver-To: i-9");
            assertEquals(
                    200,
                    mesh.client()
                            .request(SidecarFixture.get("/s/x", "t-1", forged, lines("Sablehinge-Key: k-2")))
                            .status());
            assertEquals(
                    200,
                    mesh.client()
                            .request(SidecarFixture.get("/o/x", "t-2", forged))
                            .status());
            assertEquals(
                    200,
                    mesh.client()
                            .request(SidecarFixture.get("/o/x", "t-3", lines("Sablehinge-Key: wrong")))
                            .status());
            PlainConnection.Message known = mesh.arrived.get(0);
            assertEquals("hule930", known.header("Sablehinge-Sender"));
            assertEquals("i-1", known.header("Sablehinge-Deliver-To"));
            for (PlainConnection.Message request : mesh.arrived) {
                assertEquals(SidecarFixture.CALLER, request.header("Sablehinge-Caller"));
                assertEquals(List.of(), request.headerValues("Sablehinge-Key"));
            }
            assertEquals(List.of(), mesh.arrived.get(1).headerValues("Sablehinge-Sender"));
            assertEquals(List.of(), mesh.arrived.get(2).headerValues("Sablehinge-Sender"));
        }
    }

    @Test
    void rejectsUnknownMissingAndRepeatedKeys() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream(TENANTS).respond(RequestsTest::echo)) {
            assertEquals(
                    401,
                    mesh.client()
                            .request(SidecarFixture.get("/s/x", "t-1", lines("Sablehinge-Key: wrong")))
                            .status());
            assertEquals(
                    401,
                    mesh.client().request(SidecarFixture.get("/s/x", "t-2")).status());
            assertEquals(
                    400,
                    mesh.client()
                            .request(SidecarFixture.get(
                                    "/s/x", "t-3", lines("Sablehinge-Key: k-1", "Sablehinge-Key: k-few")))
                            .status());
            assertEquals(
                    400,
                    mesh.client()
                            .request(SidecarFixture.get("/s/x", "t-4", lines("Sablehinge-Key: k-1"))
                                    .replaceAll("Sablehinge-Try-Id: t-4\r\n", ""))
                            .status());
            assertEquals(List.of(), mesh.arrivedIds());
        }
    }

    @Test
    void rejectsRequestsBeyondTenantQuotaWithRetryAfterAndServesOthers() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream(TENANTS).respond(RequestsTest::echo)) {
            PlainConnection client = mesh.client();
            int served = 0;
            PlainConnection.Message answer =
                    client.request(SidecarFixture.get("/s/x", "t-0", lines("Sablehinge-Key: k-few")));
            while (answer.status() == 200 && served < 30) {
                served++;
                answer = client.request(SidecarFixture.get("/s/x", "t-" + served, lines("Sablehinge-Key: k-few")));
            }
            assertEquals(429, answer.status());
            assertTrue(served > 0 && served <= 10, served + " served");
            double seconds = Double.parseDouble(answer.header("Retry-After"));
            assertTrue(seconds > 0 && seconds <= 12, "after " + seconds);
            assertEquals(served, mesh.arrived.size());
            assertEquals(
                    200,
                    client.request(SidecarFixture.get("/s/x", "u-1", lines("Sablehinge-Key: k-1")))
                            .status());
            assertEquals(200, client.request(SidecarFixture.get("/o/x", "u-2")).status());
        }
    }

    @Test
    void limitsTimeLeftToClientTimeoutAndRouteTimeout() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream().respond(RequestsTest::echo)) {
            mesh.client().request(SidecarFixture.get("/s/x", "t-1"));
            mesh.client().request(SidecarFixture.get("/s/x", "t-2").replace("Left: 12000", "Left: 90000"));
            for (int i = 0; i < 2; i++) {
                int left = Integer.parseInt(mesh.arrived.get(i).header("Sablehinge-Time-Left"));
                assertTrue(left > 0 && left <= (i == 0 ? 12_000 : 15_000), "left " + left);
            }
        }
    }

    // ---- Responses -----------------------------------------------------------------------------------

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nSablehinge-Try-Id: t-1\r\nContent-Length: 4\r\n\r\nbody",
                "HTTP/1.1 204 No\r\nSablehinge-Try-Id: t-1\r\n\r\n",
                "HTTP/1.1 200 OK\r\nSablehinge-Postmark: p\r\nContent-Length: 4\r\n\r\nbody",
                "HTTP/1.1 200 OK\r\nSablehinge-Try-Id: t-1\r\nSablehinge-Postmark: p\r\nContent-Encoding: gzip\r\n"
                        + "Content-Length: 4\r\n\r\nbody",
                "HTTP/1.1 200 OK\r\nSablehinge-Try-Id: t-1\r\nSablehinge-Postmark: p\r\nContent-Length: 9\r\n\r\n"
                        + "body",
                "HTTP/1.1 302 Found\r\nSablehinge-Try-Id: t-1\r\nLocation: /\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 503 Run\r\nSablehinge-Try-Id: t-1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 429 Run\r\nSablehinge-Try-Id: t-1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 503 Whose\r\nSablehinge-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 421 Whose\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 500 Whose\r\nSablehinge-Postmark: p\r\nContent-Length: 4\r\n\r\nbody",
                "noise\r\n\r\n",
                "HTTP/1.1 200 OK\r\nSablehinge-Try",
                ""
            })
    void answersBadGatewayUnlessUpstreamSuccessIsCompleteAndStamped(String answer) throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream().respond(request -> answer)) {
            PlainConnection client = mesh.client();
            client.write(SidecarFixture.post("/u/x", "t-1", "body"));
            SidecarFixture.await("the request has arrived", () -> mesh.arrived.size() == 1);
            mesh.app.close();
            if (answer.isEmpty() || !answer.endsWith("\r\n\r\n")) {
                // An incomplete response is ended only by the end of the connection.
                mesh.closeUpstreams();
            }
            PlainConnection.Message response = client.read();
            assertEquals(502, response.status());
            assertEquals("t-1", response.id());
            assertEquals("", response.body());
            assertEquals(1, mesh.arrived.size());
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {500, 504, 404, 409, 400})
    void forwardsUpstreamFailureUnchanged(int status) throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream()
                .respond(request -> "HTTP/1.1 " + status + " Own\r\nX-Own: 1\r\n"
                        + "Sablehinge-Try-Id: t-1\r\nContent-Length: 3\r\n\r\nwhy")) {
            PlainConnection.Message response = mesh.client().request(SidecarFixture.post("/u/x", "t-1", "body"));
            assertEquals(status, response.status());
            assertEquals("why", response.body());
            assertEquals("1", response.header("X-Own"));
            assertEquals(1, mesh.arrived.size());
        }
    }

    /** RULES, MIXED: the postmark confirms the status that the upstream sent. */
    @ParameterizedTest
    @CsvSource({"503 Run,502,0", "429 Run,502,0", "408 Run,502,0", "500 Oh,500,1", "404 Gone,404,1"})
    void forwardsPostmarkOfFailureOnlyWithOriginalStatus(String given, int status, int stamps) throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream()
                .respond(request -> "HTTP/1.1 " + given + "\r\nSablehinge-Try-Id: " + request.id()
                        + "\r\nSablehinge-Postmark: 3e1b.x\r\nContent-Length: 0\r\n\r\n")) {
            PlainConnection.Message answer = mesh.client().request(SidecarFixture.post("/u/x", "t-1", "b"));
            assertEquals(status, answer.status());
            assertEquals(stamps, answer.headerValues("Sablehinge-Postmark").size());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"503 Full", "429 Many", "400 Bad", "421 Other"})
    void answersNotRunWhenUpstreamStatesNotRun(String status) throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream()
                .respond(request -> "HTTP/1.1 " + status + "\r\n"
                        + (status.startsWith("421") ? "" : "Sablehinge-Not-Run: 1\r\n")
                        + "Sablehinge-Try-Id: t-1\r\nContent-Length: 0\r\n\r\n")) {
            PlainConnection.Message response = mesh.client().request(SidecarFixture.post("/u/x", "t-1", "body"));
            assertEquals(503, response.status());
            assertEquals("t-1", response.id());
            assertFalse(mesh.arrived.isEmpty());
        }
    }

    @Test
    void discardsSurplusResponseBeforeTheNextOne() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream()) {
            PlainConnection client = mesh.client();
            client.write(SidecarFixture.post("/u/1", "t-1", "a"));
            PlainConnection upstream = mesh.upstream();
            upstream.read();
            upstream.write(SidecarFixture.ok("t-1", "first"));
            assertEquals("first", client.read().body());
            client.write(SidecarFixture.post("/u/2", "t-2", "b"));
            assertEquals("t-2", upstream.read().id());
            upstream.write(SidecarFixture.ok("t-1", "surplus")
                    + SidecarFixture.ok("t-0", "older")
                    + SidecarFixture.ok("t-2", "second"));
            PlainConnection.Message answer = client.read();
            assertEquals(200, answer.status());
            assertEquals("t-2", answer.id());
            assertEquals("second", answer.body());
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void answersBadGatewayIfOnlySurplusResponseArrives(boolean large) throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream()) {
            PlainConnection client = mesh.client();
            client.write(SidecarFixture.post("/u/1", "t-1", "a"));
            PlainConnection upstream = mesh.upstream();
            upstream.read();
            upstream.write(SidecarFixture.ok("t-1", "first"));
            client.read();
            client.write(SidecarFixture.post("/u/2", "t-2", "b"));
            upstream.read();
            try {
                upstream.write(SidecarFixture.ok("t-1", "s".repeat(large ? 200_000 : 7)));
            } catch (SocketException e) {
                // The sidecar may close the connection before the rest is written, as intended.
                assertTrue(large, e::toString);
            }
            upstream.close();
            PlainConnection.Message answer = client.read();
            assertEquals(502, answer.status());
            assertEquals("t-2", answer.id());
            assertEquals(0, mesh.app.waiting());
        }
    }

    @Test
    void retriesSafeRequestAfterSurplusResponse() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream()) {
            mesh.respond(request -> mesh.arrived.size() > 2
                    ? SidecarFixture.ok(request.id(), "right")
                    : SidecarFixture.ok("t-1", "first", "Connection: close\r\n"));
            PlainConnection client = mesh.client();
            assertEquals(
                    "first", client.request(SidecarFixture.get("/s/1", "t-1")).body());
            PlainConnection.Message answer = client.request(SidecarFixture.get("/s/2", "t-2"));
            assertEquals(200, answer.status());
            assertEquals("right", answer.body());
            assertEquals(List.of("t-1", "t-2", "t-2"), mesh.arrivedIds().subList(0, 3));
        }
    }

    @Test
    void ignoresBytesAfterCompleteResponse() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream()) {
            PlainConnection client = mesh.client();
            client.write(SidecarFixture.post("/u/1", "t-1", "a"));
            PlainConnection upstream = mesh.upstream();
            upstream.read();
            upstream.write(SidecarFixture.ok("t-1", "first") + "HTTP/1.1 200 OK\r\nSablehinge-Try-Id: t-2\r\n");
            assertEquals("first", client.read().body());
            client.write(SidecarFixture.post("/u/2", "t-2", "b"));
            PlainConnection second = mesh.upstream();
            second.read();
            second.write(SidecarFixture.ok("t-2", "second"));
            assertEquals("second", client.read().body());
        }
    }

    @Test
    void forwardsLongResponseCompletelyAndTruncatedOneNeverAsComplete() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream()) {
            String body = "0123456789".repeat(30_000);
            for (boolean complete : new boolean[] {true, false}) {
                PlainConnection client = mesh.client();
                client.write(SidecarFixture.post("/u/1", "t-1", "a"));
                PlainConnection upstream = mesh.upstream();
                upstream.read();
                String chunk = Integer.toHexString(body.length()) + "\r\n" + body + "\r\n";
                upstream.write("HTTP/1.1 200 OK\r\nSablehinge-Try-Id: t-1\r\nSablehinge-Postmark: p\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n" + chunk + (complete ? "0\r\n\r\n" : ""));
                upstream.close();
                PlainConnection.Message answer;
                try {
                    answer = client.read();
                } catch (java.io.IOException e) {
                    answer = null;
                }
                if (complete) {
                    assertEquals(body, answer.body());
                } else {
                    assertTrue(answer == null || answer.status() == 502, "the truncated response looks complete");
                }
            }
        }
    }

    // ---- Client connections ----------------------------------------------------------------------

    @Test
    void answersPipelinedRequestsInOrder() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream().respond(RequestsTest::echo)) {
            PlainConnection client = mesh.client();
            client.write(SidecarFixture.post("/s/x", "t-1", "1")
                    + SidecarFixture.post("/s/x", "t-2", "2")
                    + SidecarFixture.get("/none/x", "t-3")
                    + SidecarFixture.post("/s/x", "t-4", "4"));
            assertEquals("t-1", client.read().id());
            assertEquals("2", client.read().body());
            assertEquals(404, client.read().status());
            assertEquals("t-4", client.read().id());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"Connection: close\r\n", "Sablehinge-Time-Left: never\r\n"})
    void neverRunsPipelinedRequestsAfterClosingAnswer(String header) throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream().respond(RequestsTest::echo)) {
            PlainConnection client = mesh.client();
            client.write(SidecarFixture.post("/u/x", "t-1", "1", header)
                    + SidecarFixture.post("/u/x", "t-2", "2")
                    + SidecarFixture.get("/s/x", "t-3"));
            PlainConnection.Message answer = client.read();
            assertEquals("close", answer.header("Connection"));
            assertNull(client.read());
            assertEquals(
                    200,
                    mesh.client()
                            .request(SidecarFixture.post("/u/x", "t-2", "2"))
                            .status());
            assertEquals(1, mesh.arrivedIds().stream().filter("t-2"::equals).count());
            assertFalse(mesh.arrivedIds().contains("t-3"));
        }
    }

    @Test
    void keepsClientConnectionOpenWhenUpstreamCloses() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream()
                .respond(request -> SidecarFixture.ok(request.id(), "", "Connection: close\r\n"))) {
            PlainConnection client = mesh.client();
            client.write(SidecarFixture.post("/u/x", "t-1", "1") + SidecarFixture.post("/u/x", "t-2", "2"));
            PlainConnection.Message answer = client.read();
            assertNull(answer.header("Connection"));
            assertEquals("t-2", client.read().id());
        }
    }

    // ---- Between sidecars ---------------------------------------------------------------------------

    @Test
    void answersNotRunIfNoPeerIsReachable() throws Exception {
        try (SidecarFixture mesh = new SidecarFixture()) {
            mesh.core.setConfiguration(SidecarFixture.configuration(4, "", ""), 4);
            mesh.addPeer("i-8").close();
            mesh.core.awaitKnown("");
            PlainConnection.Message answer = mesh.client().request(SidecarFixture.post("/u/x", "t-1", "1"));
            assertEquals(503, answer.status());
            assertEquals("t-1", answer.id());
        }
    }

    @Test
    void treatsAttemptThatFailsBeforeFirstByteAsNotRun() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream().respond(RequestsTest::echo)) {
            mesh.addPeer("i-8").close();
            mesh.core.awaitKnown("i-1");
            int served = 0;
            for (int i = 0; i < 20; i++) {
                PlainConnection.Message answer = mesh.client().request(SidecarFixture.post("/u/x", "t-" + i, "1"));
                assertTrue(answer.status() == 200 || answer.status() == 503, answer.startLine());
                served += answer.status() == 200 ? 1 : 0;
            }
            assertEquals(served, mesh.arrived.size());
            assertTrue(served > 0);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void neverRepeatsUnsafeRequestAfterItWasSentCompletely(boolean abruptly) throws Exception {
        try (SidecarFixture mesh = new SidecarFixture()) {
            mesh.core.setConfiguration(SidecarFixture.configuration(4, "", ""), 4);
            sablehinge.testing.Listener one = mesh.addPeer("i-8");
            sablehinge.testing.Listener two = mesh.addPeer("i-9");
            mesh.core.awaitKnown("");
            PlainConnection client = mesh.client();
            client.write(SidecarFixture.post("/u/x", "t-1", "1"));
            SidecarFixture.await("a peer has received the request", () -> one.waiting() + two.waiting() > 0);
            PlainConnection balancer = new PlainConnection((one.waiting() > 0 ? one : two).accept().socket);
            PlainConnection.Message sent = balancer.read();
            assertEquals("t-1", sent.id());
            assertNotNull(sent.header("Sablehinge-Patience"));
            if (abruptly) {
                balancer.reset();
            } else {
                balancer.close();
            }
            assertEquals(502, client.read().status());
            assertEquals(0, one.waiting() + two.waiting());
        }
    }

    @ParameterizedTest
    @CsvSource({"not-run,503", "may-have-run,502", "ran,502", ",502"})
    void answersNotRunOnlyForNotRunVerdictOfPeer(String verdict, int expected) throws Exception {
        try (SidecarFixture mesh = new SidecarFixture()) {
            mesh.core.setConfiguration(SidecarFixture.configuration(4, "", ""), 4);
            sablehinge.testing.Listener other = mesh.addPeer("i-8");
            mesh.respond(
                    other,
                    request -> "HTTP/1.1 503 No\r\nSablehinge-Try-Id: t-1\r\n"
                            + "Content-Length: 0\r\n"
                            + (verdict == null ? "" : "Sablehinge-Verdict: " + verdict + "\r\n") + "\r\n");
            mesh.core.awaitKnown("");
            assertEquals(
                    expected,
                    mesh.client()
                            .request(SidecarFixture.post("/u/x", "t-1", "1"))
                            .status());
            assertTrue(expected == 503 || mesh.arrived.size() == 1);
        }
    }

    @Test
    void neverReusesIdleConnectionThatUpstreamClosed() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream()) {
            PlainConnection client = mesh.client();
            for (int i = 0; i < 3; i++) {
                client.write(SidecarFixture.post("/u/x", "t-" + i, "1"));
                PlainConnection upstream = mesh.upstream();
                upstream.read();
                upstream.write(SidecarFixture.ok("t-" + i, "" + i));
                assertEquals("" + i, client.read().body());
                upstream.close();
            }
        }
    }
}

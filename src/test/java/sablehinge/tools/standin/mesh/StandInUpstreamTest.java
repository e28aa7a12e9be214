package sablehinge.tools.standin.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the responses of a stand-in upstream, and the violations that the judge reports. */
class StandInUpstreamTest {

    private static final int TIMEOUT_MS = 5_000;
    private static final double UNLOAD_MS = 1_000;
    private static final double EDITION_MS = 1_000;
    private static final MeshVersion FIRST = version(3, 0, "basalt");
    private static final MeshVersion SECOND = version(8, 3, "marl");

    private final TrafficLog trafficLog = new TrafficLog();
    private StandInUpstream upstream;

    private static MeshVersion version(long edition, long basedOn, String service) {
        return new MeshVersion(
                edition,
                basedOn,
                List.of(
                        new MeshVersion.Route("/read/", TrafficLog.Kind.SAFE, List.of(service)),
                        new MeshVersion.Route("/write/", TrafficLog.Kind.UNSAFE, List.of(service))),
                List.of("basalt", "marl"));
    }

    @BeforeEach
    void start() {
        upstream = new StandInUpstream(
                new StandInUpstream.Terms("i-1", "basalt", new InetSocketAddress("127.0.0.1", 0), 2, 1), trafficLog);
    }

    @AfterEach
    void stop() {
        upstream.close();
    }

    private Message exchange(String method, String uri, Map<String, String> more, byte[] body) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>(Map.of("Host", "h"));
        headers.putAll(more);
        return ClientCall.once(upstream.address(), TIMEOUT_MS, method, uri, headers, body);
    }

    private TrafficLog.Sent recordSent(String id, TrafficLog.Kind kind, String uri, byte[] body) {
        TrafficLog.Sent request = new TrafficLog.Sent(
                id,
                "marl",
                kind,
                body.length > 0 ? "POST" : "GET",
                uri,
                uri.substring(0, uri.indexOf('/', 1) + 1),
                Message.sum(body),
                TrafficLog.now());
        trafficLog.sent(request);
        return request;
    }

    private Message send(TrafficLog.Sent request, byte[] body) throws IOException {
        return exchange(
                request.method(),
                request.uri(),
                Map.of(
                        "Sablehinge-Try-Id",
                        request.id(),
                        "Sablehinge-Caller",
                        "marl",
                        "Sablehinge-Sender",
                        MeshVersion.TENANT,
                        "Sablehinge-Deliver-To",
                        "i-1"),
                body);
    }

    private void recordAnswer(TrafficLog.Sent to, int status, Message answer) {
        trafficLog.answered(new TrafficLog.Answered(
                to.id(),
                status,
                answer.header("Sablehinge-Try-Id"),
                answer.header("Sablehinge-Postmark"),
                Message.sum(answer.body()),
                TrafficLog.now()));
    }

    private List<String> violatedRules(MeshVersion readBack, Operator.Order... orders) {
        MeshJudge judge = new MeshJudge(trafficLog, List.of(orders), UNLOAD_MS, EDITION_MS);
        return judge.breaches(readBack.body()).stream()
                .map(line -> line.substring(0, line.indexOf(':')))
                .toList();
    }

    private static Operator.Order first() {
        return new Operator.Order(FIRST, 0, 0);
    }

    @Test
    void stampsAndRecordsRuns() throws IOException {
        byte[] body = {1, 2, 3};
        TrafficLog.Sent request = recordSent("t1", TrafficLog.Kind.UNSAFE, "/write/1", body);
        Message answer = send(request, body);
        assertEquals(200, answer.status());
        assertEquals("t1", answer.header("Sablehinge-Try-Id"));
        assertNotNull(answer.header("Sablehinge-Postmark"));
        recordAnswer(request, 200, answer);
        assertEquals(1, trafficLog.runs().size());
        assertEquals(List.of(), violatedRules(FIRST, first()));
    }

    @Test
    void rejectsRequestsForOtherUpstreams() throws IOException {
        Message other = exchange(
                "GET", "/read/1", Map.of("Sablehinge-Try-Id", "t1", "Sablehinge-Deliver-To", "i-2"), new byte[0]);
        assertEquals(421, other.status());
        assertEquals("t1", other.header("Sablehinge-Try-Id"));
        assertNotNull(other.header("Sablehinge-Not-Run"));
        assertEquals(400, exchange("GET", "/read/1", Map.of(), new byte[0]).status());
        assertEquals(List.of(), trafficLog.runs());
    }

    @Test
    void healthResponseFollowsState() throws IOException {
        Message well = exchange("GET", "/health", Map.of(), new byte[0]);
        assertEquals(200, well.status());
        assertEquals("i-1", well.header("Sablehinge-Answered-By"));
        assertNull(well.header("Connection"));
        upstream.unloads();
        Message leaving = exchange("GET", "/health", Map.of(), new byte[0]);
        assertEquals(503, leaving.status());
        assertTrue(leaving.closes());
    }

    @Test
    void answersPipelinedRequestsInOrder() throws IOException {
        try (ClientCall call = new ClientCall(upstream.address(), TIMEOUT_MS)) {
            for (int i = 0; i < 7; i++) {
                call.send("GET", "/read/" + i, Map.of("Host", "h", "Sablehinge-Try-Id", "t" + i), new byte[0], false);
            }
            for (int i = 0; i < 7; i++) {
                Message answer = call.receive();
                assertEquals("t" + i, answer.header("Sablehinge-Try-Id"));
                assertTrue(new String(answer.body(), java.nio.charset.StandardCharsets.UTF_8)
                        .startsWith("ran t" + i + " at i-1"));
            }
        }
    }

    @Test
    void reportsRequestThatRanTwiceDespiteRefusal() throws IOException {
        TrafficLog.Sent twice = recordSent("t1", TrafficLog.Kind.UNSAFE, "/write/1", new byte[] {1});
        send(twice, new byte[] {1});
        recordAnswer(twice, 503, send(twice, new byte[] {1}));
        assertEquals(List.of("REFUSED", "TWICE"), violatedRules(FIRST, first()));
    }

    @Test
    void reportsAnswerOfOtherRequest() throws IOException {
        TrafficLog.Sent request = recordSent("t1", TrafficLog.Kind.SAFE, "/read/1", new byte[0]);
        TrafficLog.Sent other = recordSent("t2", TrafficLog.Kind.SAFE, "/read/2", new byte[0]);
        recordAnswer(request, 200, send(other, new byte[0]));
        assertEquals(List.of("MIXED"), violatedRules(FIRST, first()));
    }

    @Test
    void reportsAlteredRequestAndWrongRoute() throws IOException {
        TrafficLog.Sent request = recordSent("t1", TrafficLog.Kind.UNSAFE, "/write/1", new byte[] {1});
        send(request, new byte[] {2});
        assertEquals(List.of("UNASKED"), violatedRules(FIRST, first()));
        TrafficLog.Sent second = recordSent("t2", TrafficLog.Kind.SAFE, "/read/1", new byte[0]);
        send(second, new byte[0]);
        assertEquals(List.of("UNASKED", "ROUTE"), violatedRules(SECOND, new Operator.Order(SECOND, 0, 0)));
    }

    @Test
    void reportsOutdatedConfigurationAfterBound() throws IOException {
        TrafficLog.Sent request = recordSent("t1", TrafficLog.Kind.SAFE, "/read/1", new byte[0]);
        send(request, new byte[0]);
        double acked = request.at() - EDITION_MS / 2;
        assertEquals(List.of(), violatedRules(SECOND, first(), new Operator.Order(SECOND, acked, acked)));
        assertEquals(
                List.of("CONFIG"),
                violatedRules(SECOND, first(), new Operator.Order(SECOND, acked - EDITION_MS, acked - EDITION_MS)));
        assertEquals(List.of("CONFIG"), violatedRules(FIRST, first(), new Operator.Order(SECOND, acked, acked)));
    }

    @Test
    void reportsRunAfterUpstreamShutdown() throws IOException {
        TrafficLog.Sent request = recordSent("t1", TrafficLog.Kind.SAFE, "/read/1", new byte[0]);
        send(request, new byte[0]);
        double ranAt = trafficLog.runs().get(0).at();
        trafficLog.left(new TrafficLog.Left("i-1", false, ranAt - UNLOAD_MS / 2));
        assertEquals(List.of(), violatedRules(FIRST, first()));
        trafficLog.left(new TrafficLog.Left("i-1", false, ranAt - 2 * UNLOAD_MS));
        assertEquals(List.of("DRAIN"), violatedRules(FIRST, first()));
    }
}

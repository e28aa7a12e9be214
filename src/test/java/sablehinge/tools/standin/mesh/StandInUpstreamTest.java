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

/** What a stand-in upstream answers, and what the judge makes of it. */
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
    void begins() {
        upstream = new StandInUpstream(
                new StandInUpstream.Terms("i-1", "basalt", new InetSocketAddress("127.0.0.1", 0), 2, 1), trafficLog);
    }

    @AfterEach
    void ends() {
        upstream.close();
    }

    private Message ask(String method, String uri, Map<String, String> more, byte[] body) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>(Map.of("Host", "h"));
        headers.putAll(more);
        return ClientCall.once(upstream.address(), TIMEOUT_MS, method, uri, headers, body);
    }

    private TrafficLog.Sent sends(String id, TrafficLog.Kind kind, String uri, byte[] body) {
        TrafficLog.Sent one = new TrafficLog.Sent(
                id,
                "marl",
                kind,
                body.length > 0 ? "POST" : "GET",
                uri,
                uri.substring(0, uri.indexOf('/', 1) + 1),
                Message.sum(body),
                TrafficLog.now());
        trafficLog.sent(one);
        return one;
    }

    private Message runs(TrafficLog.Sent one, byte[] body) throws IOException {
        return ask(
                one.method(),
                one.uri(),
                Map.of(
                        "Sablehinge-Try-Id",
                        one.id(),
                        "Sablehinge-Caller",
                        "marl",
                        "Sablehinge-Sender",
                        MeshVersion.TENANT,
                        "Sablehinge-Deliver-To",
                        "i-1"),
                body);
    }

    private void comes(TrafficLog.Sent to, int status, Message answer) {
        trafficLog.answered(new TrafficLog.Answered(
                to.id(),
                status,
                answer.header("Sablehinge-Try-Id"),
                answer.header("Sablehinge-Postmark"),
                Message.sum(answer.body()),
                TrafficLog.now()));
    }

    private List<String> judged(MeshVersion readBack, Operator.Order... orders) {
        MeshJudge judge = new MeshJudge(trafficLog, List.of(orders), UNLOAD_MS, EDITION_MS);
        return judge.breaches(readBack.body()).stream()
                .map(line -> line.substring(0, line.indexOf(':')))
                .toList();
    }

    private static Operator.Order first() {
        return new Operator.Order(FIRST, 0, 0);
    }

    @Test
    void whatRunsIsStampedAndWrittenDown() throws IOException {
        byte[] body = {1, 2, 3};
        TrafficLog.Sent one = sends("t1", TrafficLog.Kind.UNSAFE, "/write/1", body);
        Message answer = runs(one, body);
        assertEquals(200, answer.status());
        assertEquals("t1", answer.header("Sablehinge-Try-Id"));
        assertNotNull(answer.header("Sablehinge-Postmark"));
        comes(one, 200, answer);
        assertEquals(1, trafficLog.runs().size());
        assertEquals(List.of(), judged(FIRST, first()));
    }

    @Test
    void whatIsNotMeantForItIsNotRun() throws IOException {
        Message other =
                ask("GET", "/read/1", Map.of("Sablehinge-Try-Id", "t1", "Sablehinge-Deliver-To", "i-2"), new byte[0]);
        assertEquals(421, other.status());
        assertEquals("t1", other.header("Sablehinge-Try-Id"));
        assertNotNull(other.header("Sablehinge-Not-Run"));
        assertEquals(400, ask("GET", "/read/1", Map.of(), new byte[0]).status());
        assertEquals(List.of(), trafficLog.runs());
    }

    @Test
    void itsHealthFollowsItsState() throws IOException {
        Message well = ask("GET", "/health", Map.of(), new byte[0]);
        assertEquals(200, well.status());
        assertEquals("i-1", well.header("Sablehinge-Answered-By"));
        assertNull(well.header("Connection"));
        upstream.unloads();
        Message leaving = ask("GET", "/health", Map.of(), new byte[0]);
        assertEquals(503, leaving.status());
        assertTrue(leaving.closes());
    }

    @Test
    void answersOfARowComeInItsOrder() throws IOException {
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
    void aPromiseThatIsBrokenIsFound() throws IOException {
        TrafficLog.Sent twice = sends("t1", TrafficLog.Kind.UNSAFE, "/write/1", new byte[] {1});
        runs(twice, new byte[] {1});
        comes(twice, 503, runs(twice, new byte[] {1}));
        assertEquals(List.of("REFUSED", "TWICE"), judged(FIRST, first()));
    }

    @Test
    void anAnswerOfAnotherIsFound() throws IOException {
        TrafficLog.Sent one = sends("t1", TrafficLog.Kind.SAFE, "/read/1", new byte[0]);
        TrafficLog.Sent other = sends("t2", TrafficLog.Kind.SAFE, "/read/2", new byte[0]);
        comes(one, 200, runs(other, new byte[0]));
        assertEquals(List.of("MIXED"), judged(FIRST, first()));
    }

    @Test
    void whatNobodySentOrMayRunHereIsFound() throws IOException {
        TrafficLog.Sent one = sends("t1", TrafficLog.Kind.UNSAFE, "/write/1", new byte[] {1});
        runs(one, new byte[] {2});
        assertEquals(List.of("UNASKED"), judged(FIRST, first()));
        TrafficLog.Sent second = sends("t2", TrafficLog.Kind.SAFE, "/read/1", new byte[0]);
        runs(second, new byte[0]);
        assertEquals(List.of("UNASKED", "ROUTE"), judged(SECOND, new Operator.Order(SECOND, 0, 0)));
    }

    @Test
    void anOlderConfigurationIsFoundOnceItsTimeIsOver() throws IOException {
        TrafficLog.Sent one = sends("t1", TrafficLog.Kind.SAFE, "/read/1", new byte[0]);
        runs(one, new byte[0]);
        double acked = one.at() - EDITION_MS / 2;
        assertEquals(List.of(), judged(SECOND, first(), new Operator.Order(SECOND, acked, acked)));
        assertEquals(
                List.of("CONFIG"),
                judged(SECOND, first(), new Operator.Order(SECOND, acked - EDITION_MS, acked - EDITION_MS)));
        assertEquals(List.of("CONFIG"), judged(FIRST, first(), new Operator.Order(SECOND, acked, acked)));
    }

    @Test
    void whatComesAfterAnUpstreamsTimeIsFound() throws IOException {
        TrafficLog.Sent one = sends("t1", TrafficLog.Kind.SAFE, "/read/1", new byte[0]);
        runs(one, new byte[0]);
        double ranAt = trafficLog.runs().get(0).at();
        trafficLog.left(new TrafficLog.Left("i-1", false, ranAt - UNLOAD_MS / 2));
        assertEquals(List.of(), judged(FIRST, first()));
        trafficLog.left(new TrafficLog.Left("i-1", false, ranAt - 2 * UNLOAD_MS));
        assertEquals(List.of("DRAIN"), judged(FIRST, first()));
    }
}

package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A response that comes behind a part of another one, which was broken off at any byte. A simple oracle judges what the
 * client gets by what the upstream has run.
 */
@Timeout(120)
class JoinedResponseTest {

    private static final long SPLIT_NANOS = 1_000_000;
    /** A step between offsets that visits bytes of all lines. */
    private static final int SPARSE_STEP = 7;

    /** What an upstream answers; a refused request is run when it arrives again. */
    private enum Kind {
        SUCCESS("200 OK", "", true),
        FAILURE("500 Internal Server Error", "", true),
        REFUSAL("503 Service Unavailable", "Sablehinge-Not-Run: 1\r\n", false);

        private final String status;
        private final String headers;
        private final boolean runs;

        Kind(String status, String headers, boolean runs) {
            this.status = status;
            this.headers = headers;
            this.runs = runs;
        }

        int code() {
            return Integer.parseInt(status.substring(0, 3));
        }

        String response(String id) {
            return head(id) + body(id);
        }

        String head(String id) {
            return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Type: text/plain\r\nSablehinge-Try-Id: " + id
                    + "\r\nSablehinge-Postmark: 3e1b." + id + "\r\nContent-Length: "
                    + body(id).length() + "\r\n\r\n";
        }

        String body(String id) {
            return name().toLowerCase(Locale.ROOT) + " of " + id;
        }
    }

    /** What the upstream sends for the first arrival of a request: some bytes, then its answer. */
    private record Plan(String surplus, boolean split, Kind answer) {}

    /** Answers each request by its plan, and requests without one with a success. */
    private static final class Upstream {
        final Map<String, Plan> plans = new ConcurrentHashMap<>();
        final Map<String, Integer> runs = new ConcurrentHashMap<>();
        final List<Socket> connections = new CopyOnWriteArrayList<>();

        Upstream(SidecarFixture mesh) {
            SidecarFixture.daemon(() -> {
                while (true) {
                    Socket socket = mesh.app.accept().socket;
                    connections.add(socket);
                    SidecarFixture.daemon(() -> serve(new PlainConnection(socket)));
                }
            });
        }

        private void serve(PlainConnection connection) throws Exception {
            for (PlainConnection.Message request = connection.read(); request != null; request = connection.read()) {
                String id = request.id();
                Plan plan = plans.remove(id);
                Kind kind = plan == null ? Kind.SUCCESS : plan.answer();
                if (kind.runs) {
                    runs.merge(id, 1, Integer::sum);
                }
                if (plan != null && plan.split()) {
                    connection.write(plan.surplus());
                    LockSupport.parkNanos(SPLIT_NANOS);
                    connection.write(kind.response(id));
                } else {
                    connection.write((plan == null ? "" : plan.surplus()) + kind.response(id));
                }
            }
        }
    }

    /** What a client may get for a request that is not repeatable, by what has run and what the upstream answered. */
    private static void judge(PlainConnection.Message given, String id, Kind answer, Upstream upstream, String where) {
        int runs = upstream.runs.getOrDefault(id, 0);
        String seen = where + ": " + given + ", runs " + runs;
        assertTrue(runs <= 1, () -> "TWICE: " + seen);
        switch (given.status()) {
            case 200 -> {
                Kind ran = answer == Kind.REFUSAL ? Kind.SUCCESS : answer;
                assertEquals(Kind.SUCCESS, ran, () -> "MIXED: " + seen);
                assertEquals(ran.body(id), given.body(), () -> "MIXED: " + seen);
                assertEquals("3e1b." + id, given.header("Sablehinge-Postmark"), () -> "MIXED: " + seen);
            }
            case 500 -> {
                assertEquals(Kind.FAILURE, answer, seen);
                assertEquals(answer.body(id), given.body(), seen);
            }
            case 502 -> {
                // It may have run; nothing is promised.
            }
            default -> {
                assertEquals(503, given.status(), seen);
                assertEquals(0, runs, () -> "REFUSED: " + seen);
            }
        }
    }

    /** TWICE, MIXED: the head of a broken-off copy becomes that of the next answer, whose id it gets. */
    @ParameterizedTest
    @CsvSource({
        "REFUSAL,SUCCESS",
        "REFUSAL,FAILURE",
        "REFUSAL,REFUSAL",
        "SUCCESS,SUCCESS",
        "SUCCESS,FAILURE",
        "SUCCESS,REFUSAL",
        "FAILURE,SUCCESS",
        "FAILURE,FAILURE",
        "FAILURE,REFUSAL"
    })
    void partOfOtherResponseIsNoPartOfTheNext(Kind copied, Kind answer) throws Exception {
        String copy = copied.response("t-other");
        try (SidecarFixture mesh = SidecarFixture.withUpstream()) {
            Upstream upstream = new Upstream(mesh);
            PlainConnection client = mesh.client();
            for (int end = 0; end <= copy.length(); end++) {
                play(client, upstream, end, new Plan(copy.substring(0, end), false, answer));
                if (end % SPARSE_STEP == 0) {
                    play(client, upstream, end, new Plan(copy.substring(0, end), true, answer));
                }
            }
        }
    }

    private static void play(PlainConnection client, Upstream upstream, int end, Plan plan) throws Exception {
        String id = "t-" + end + (plan.split() ? "-split" : "");
        upstream.plans.put(id, plan);
        judge(client.request(SidecarFixture.post("/u/x", id, "b")), id, plan.answer(), upstream, "cut at " + end);
        String next = id + "-next";
        PlainConnection.Message after = client.request(SidecarFixture.post("/u/y", next, "b"));
        judge(after, next, Kind.SUCCESS, upstream, "after a cut at " + end);
    }

    /** TWICE: a part of a refusal of the request itself, and then the answer of its run, are no refusal. */
    @ParameterizedTest
    @EnumSource(
            value = Kind.class,
            names = {"SUCCESS", "FAILURE"})
    void partOfOwnRefusalIsNoRefusal(Kind answer) throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream()) {
            Upstream upstream = new Upstream(mesh);
            PlainConnection client = mesh.client();
            for (int end = 0; end < Kind.REFUSAL.head("t-0").length(); end++) {
                String head = Kind.REFUSAL.head("t-" + end);
                // With its whole head it is a refusal, whose body may be anything.
                String part = head.substring(0, Math.min(end, head.length() - 1));
                play(client, upstream, end, new Plan(part, false, answer));
            }
        }
    }

    /** TWICE: a header that names a request, its verdict or its postmark stands once, or the answer proves nothing. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Sablehinge-Try-Id: t-1\r\nSablehinge-Try-Id: t-2\r\nSablehinge-Not-Run: 1\r\n",
                "Sablehinge-Try-Id: t-1\r\nSablehinge-Try-Id: t-1\r\nSablehinge-Not-Run: 1\r\n",
                "Sablehinge-Try-Id: t-1\r\nSablehinge-Not-Run: 1\r\nSablehinge-Not-Run: 1\r\n",
                "Sablehinge-Try-Id: t-1\r\nSablehinge-Not-Run: 1\r\nSablehinge-Postmark: a\r\nSablehinge-Postmark: b"
                        + "\r\n"
            })
    void repeatedHeaderProvesNothing(String headers) throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream()
                .respond(request -> "HTTP/1.1 503 Full\r\n" + headers + "Content-Length: 0\r\n\r\n")) {
            assertEquals(
                    502,
                    mesh.client()
                            .request(SidecarFixture.post("/u/x", "t-1", "b"))
                            .status());
            assertEquals(1, mesh.arrived.size());
        }
    }

    /** A connection on which a surplus answer came is not used again: more of it may follow. */
    @Test
    void connectionWithSurplusResponseIsNotUsedAgain() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream()) {
            Upstream upstream = new Upstream(mesh);
            PlainConnection client = mesh.client();
            upstream.plans.put("t-1", new Plan(Kind.REFUSAL.response("t-other"), false, Kind.SUCCESS));
            for (int i = 1; i <= 3; i++) {
                PlainConnection.Message answer = client.request(SidecarFixture.post("/u/x", "t-" + i, "b"));
                assertEquals(Kind.SUCCESS.body("t-" + i), answer.body());
            }
            assertEquals(2, upstream.connections.size());
        }
    }
}

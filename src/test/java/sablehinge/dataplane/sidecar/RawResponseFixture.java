package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.EOFException;
import java.io.IOException;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.UnaryOperator;
import sablehinge.testing.Listener;
import sablehinge.testing.ResponseGrammar;

/**
 * A sidecar, a client and a server that sends given octets for the first arrival of a request, and a success for all
 * others. What differs from what was expected is collected, and fails the test at its end.
 */
final class RawResponseFixture implements AutoCloseable {

    private static final long SPLIT_NANOS = 50_000;
    /** Cases that are named in a failure. */
    private static final int MAX_NAMED_CASES = 8;
    /** Cases after which a request is served as usual. */
    private static final int SERVE_STEP = 50;

    private static final int BAD_GATEWAY = 502;

    /** Who reads the response of the server. */
    enum Hop {
        /** The sidecar of an upstream, for a peer: one hop. */
        INBOUND,
        /** The same for a client, whose sidecar reads what the upstream's sidecar makes of it: two hops. */
        BOTH,
        /** The sidecar of a client, from a peer. */
        OUTBOUND
    }

    /** What the server sends for a request. */
    private record Plan(String response, boolean isSplit, boolean isMalformed) {}

    private final Hop hop;
    private final SidecarFixture mesh = new SidecarFixture();
    private final Map<String, Plan> plans = new ConcurrentHashMap<>();
    private final Map<String, Integer> arrivals = new ConcurrentHashMap<>();
    /** Connections that carried a malformed response, and those of them that were closed after it. */
    private final AtomicInteger spoiled = new AtomicInteger();

    private final AtomicInteger closed = new AtomicInteger();
    private final Set<String> reused = ConcurrentHashMap.newKeySet();
    private final List<String> wrong = new ArrayList<>();
    private PlainConnection client;
    private String id = "";
    private int cases;

    RawResponseFixture(Hop hop) throws Exception {
        this.hop = hop;
        mesh.core.setConfiguration(SidecarFixture.configuration(4, "", ""), 4);
        Listener server = hop == Hop.OUTBOUND ? mesh.addPeer("i-8") : mesh.app;
        if (hop != Hop.OUTBOUND) {
            mesh.heartbeat("i-1", "ready");
        }
        mesh.core.awaitKnown(hop == Hop.OUTBOUND ? "" : "i-1");
        SidecarFixture.daemon(() -> {
            while (true) {
                PlainConnection connection = new PlainConnection(server.accept().socket);
                SidecarFixture.daemon(() -> serve(connection));
            }
        });
        connect();
    }

    private void connect() throws IOException {
        client = hop == Hop.INBOUND ? mesh.connectAsPeer() : mesh.client();
    }

    /** Serves a connection until it is closed; after a malformed response it must carry no further request. */
    private void serve(PlainConnection connection) throws Exception {
        boolean isSpoiled = false;
        try {
            for (PlainConnection.Message request = connection.read(); request != null; request = connection.read()) {
                String requested = request.id();
                arrivals.merge(requested, 1, Integer::sum);
                if (isSpoiled) {
                    reused.add(requested);
                }
                Plan plan = plans.remove(requested);
                if (plan != null && plan.isMalformed() && !isSpoiled) {
                    isSpoiled = true;
                    spoiled.incrementAndGet();
                }
                send(connection, plan == null ? new Plan(success(requested), false, false) : plan);
            }
        } finally {
            // It may be closed while a response is being sent, or reset because part of one was not read.
            if (isSpoiled) {
                closed.incrementAndGet();
            }
        }
    }

    private static String success(String id) {
        return SidecarFixture.ok(id, "served " + id, "Sablehinge-Verdict: ran\r\n");
    }

    private static void send(PlainConnection connection, Plan plan) throws IOException {
        if (!plan.isSplit()) {
            connection.write(plan.response());
            return;
        }
        for (char octet : plan.response().toCharArray()) {
            connection.write(String.valueOf(octet));
            LockSupport.parkNanos(SPLIT_NANOS);
        }
    }

    /** Sends a request whose first arrival gets the given response. */
    private PlainConnection.Message exchange(
            String path, UnaryOperator<String> response, boolean split, boolean malformed) throws IOException {
        id = "t-" + ++cases;
        plans.put(id, new Plan(response.apply(id), split, malformed));
        return request(path, id);
    }

    private PlainConnection.Message request(String path, String requestId) throws IOException {
        String headers = hop == Hop.INBOUND ? "Sablehinge-Deliver-To: i-1\r\nSablehinge-Patience: 4000\r\n" : "";
        return client.request(
                path.startsWith("/s/")
                        ? SidecarFixture.get(path, requestId, headers)
                        : SidecarFixture.post(path, requestId, "b", headers));
    }

    /** Expects 502 and one run of a request that may not be repeated. */
    void expectBadGateway(String name, UnaryOperator<String> response, boolean split) throws IOException {
        PlainConnection.Message answer = null;
        String seen;
        try {
            answer = exchange("/u/x", response, split, true);
            seen = answer == null ? "the connection is closed" : answer.startLine();
        } catch (IOException | RuntimeException | AssertionError e) {
            seen = e.toString();
        }
        boolean isBadGateway = answer != null
                && answer.startLine().equals("HTTP/1.1 502 Bad Gateway")
                && answer.body().isEmpty()
                && (hop != Hop.INBOUND || "may-have-run".equals(answer.header("Sablehinge-Verdict")));
        int runs = arrivals.getOrDefault(id, 0);
        if (!isBadGateway || runs != 1) {
            wrong.add(ResponseGrammar.escape(name) + " -> " + ResponseGrammar.escape(seen) + ", runs " + runs);
            client.close();
            connect();
        }
        if (cases % SERVE_STEP == 0) {
            String other = id + "-next";
            assertEquals("served " + other, request("/u/y", other).body());
        }
    }

    /**
     * Expects that the client sees the end of its connection within the response, or 502 where the response was not
     * relayed before its end came.
     */
    void expectIncomplete(String name, UnaryOperator<String> response) throws IOException {
        try {
            PlainConnection.Message answer = exchange("/u/x", response, false, true);
            if (answer != null && answer.status() != BAD_GATEWAY) {
                wrong.add(ResponseGrammar.escape(name) + " -> " + answer.startLine() + ", complete");
            }
        } catch (EOFException | SocketException e) {
            // The response is incomplete.
        }
        assertEquals(1, arrivals.get(id), () -> ResponseGrammar.escape(name));
        client.close();
        connect();
    }

    /** Expects that the client gets the response. */
    PlainConnection.Message expect(String name, int status, String body, UnaryOperator<String> response, boolean split)
            throws IOException {
        PlainConnection.Message answer = exchange("/u/x", response, split, false);
        assertEquals(status, answer.status(), () -> ResponseGrammar.escape(name));
        assertEquals(body, answer.body(), () -> ResponseGrammar.escape(name));
        assertEquals(1, arrivals.get(id), () -> ResponseGrammar.escape(name));
        return answer;
    }

    /** Expects that a safe request is sent again after the given response, and is then served. */
    void expectRepeated(UnaryOperator<String> malformed) throws IOException {
        PlainConnection.Message answer = exchange("/s/x", malformed, false, true);
        assertEquals("served " + id, answer.body());
        assertEquals(2, arrivals.get(id));
    }

    /** Fails if a case was answered otherwise, or if a connection stayed open after a malformed response. */
    void finish() {
        assertEquals(0, wrong.size(), this::describeWrong);
        SidecarFixture.await("all connections are closed", () -> closed.get() == spoiled.get());
        assertEquals(Set.of(), reused);
    }

    private String describeWrong() {
        return "of " + cases + " cases, such as\n"
                + String.join("\n", wrong.subList(0, Math.min(MAX_NAMED_CASES, wrong.size())));
    }

    @Override
    public void close() throws IOException {
        mesh.close();
    }
}

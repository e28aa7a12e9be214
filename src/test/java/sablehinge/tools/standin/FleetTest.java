package sablehinge.tools.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sablehinge.testing.Peer;
import sablehinge.tools.audit.judge.Evidence;
import sablehinge.tools.audit.judge.Evidence.How;
import sablehinge.tools.audit.judge.Evidence.ServerAttempt;
import sablehinge.tools.audit.judge.Evidence.ServerStateUpdate;
import sablehinge.tools.standin.scenario.ScenarioFile;

/** Sends requests directly to the servers of a fleet, without a balancer in between, under one fault at a time. */
@Timeout(120)
class FleetTest {

    private static final JsonMapper JSON = new JsonMapper();
    private static final String TIER =
            """
            seed = 1
            warm-up = "0ms"
            list-delay = "0ms"
            [[class]]
            name = "look"
            effect = "safe"
            work = "1ms"
            [[class]]
            name = "order"
            effect = "keyed"
            work = "1ms"
            [[tier]]
            name = "front"
            servers = %d
            slots = %d
            queue = %d
            """;

    private final ConcurrentLinkedQueue<Evidence> record = new ConcurrentLinkedQueue<>();
    private final LinkedBlockingQueue<String> story = new LinkedBlockingQueue<>();
    /** The address of the server list, by balancer. */
    private final Map<String, InetSocketAddress> lists = new ConcurrentHashMap<>();

    private Fleet fleet;

    /** Starts a fleet whose balancers are replaced by the first server itself. */
    private void start(String text) throws Exception {
        ScenarioFile.Checked checked = ScenarioFile.parse(text);
        assertEquals(List.of(), checked.problems());
        fleet = new Fleet(
                checked.scenario(),
                spec -> {
                    lists.put(spec.name(), spec.discovery());
                    InetSocketAddress server = spec.known().get(0).address();
                    return new Balancers.Running() {
                        @Override
                        public InetSocketAddress address() {
                            return server;
                        }

                        @Override
                        public void kill() {}
                    };
                },
                1,
                record::add,
                story::add);
        fleet.start();
    }

    private static String fault(String kind, String extraLines) {
        return TIER.formatted(1, 10, 10) + "[[fault]]\nkind = \"" + kind + "\"\nfor = \"60s\"\nchance = 1.0\n"
                + extraLines;
    }

    private void awaitBegin(String kind) throws InterruptedException {
        String line = "";
        while (!line.contains(kind + " begins")) {
            line = story.poll(Peer.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }
    }

    private InetSocketAddress server() {
        return fleet.entries().get(0);
    }

    private static String get(String txn) {
        return "GET /look/7 HTTP/1.1\r\nHost: s\r\nX-Txn: " + txn + "\r\nX-Lane: look\r\nX-Remaining: 2\r\n"
                + "Cookie: key=00ff\r\n\r\n";
    }

    private Peer.Message exchange(String request) throws Exception {
        try (Peer peer = Peer.to(server())) {
            peer.write(request);
            return peer.read();
        }
    }

    private ServerAttempt ran(String txn) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Peer.TIMEOUT_MS);
        while (System.nanoTime() < end) {
            for (Evidence evidence : record) {
                if (evidence instanceof ServerAttempt ran && ran.txn().equals(txn)) {
                    return ran;
                }
            }
            Thread.onSpinWait();
        }
        throw new AssertionError("no record of " + txn);
    }

    @AfterEach
    void close() {
        fleet.close();
    }

    @Test
    void healthyServerServesAndReportsHealth() throws Exception {
        start(TIER.formatted(1, 10, 10));
        Peer.Message answer = exchange(get("q1"));
        assertEquals(200, answer.status());
        assertTrue(answer.body().startsWith("txn=q1\nserver=front-1\n"), answer.body());
        ServerAttempt ran = ran("q1");
        assertEquals(How.SERVED, ran.how());
        assertEquals("entry-1", ran.balancer());
        assertEquals("look", ran.serviceClass());
        assertEquals("00ff", ran.about());
        assertTrue(ran.begun() <= ran.taken() && ran.taken() <= ran.at());
        assertEquals(200, exchange("GET /ping HTTP/1.1\r\nHost: s\r\n\r\n").status());
        assertTrue(exchange("GET /_load HTTP/1.1\r\nHost: s\r\n\r\n").body().startsWith("TEXT queue=0, "));
        assertEquals(404, exchange("GET /look/7 HTTP/1.1\r\nHost: s\r\n\r\n").status());
        assertEquals(
                400,
                exchange("GET /other HTTP/1.1\r\nHost: s\r\nX-Txn: q2\r\n\r\n").status());
    }

    @Test
    void repeatedKeyIsAnsweredWithoutRunning() throws Exception {
        start(TIER.formatted(1, 10, 10));
        String order = "POST /order HTTP/1.1\r\nHost: s\r\nX-Txn: %s\r\nX-Lane: order\r\nX-Remaining: 2\r\n"
                + "Idempotency-Key: k1\r\nContent-Length: 4\r\n\r\nbody";
        assertEquals(200, exchange(order.formatted("q1")).status());
        assertTrue(exchange(order.formatted("q2")).body().startsWith("txn=q2\n"));
        assertEquals("k1", ran("q2").key());
    }

    @Test
    void fullServerRejectsWithProofHeader() throws Exception {
        start(TIER.formatted(1, 1, 0) + "[[fault]]\nkind = \"stall\"\nfor = \"60s\"\n");
        awaitBegin("stall");
        try (Peer first = Peer.to(server())) {
            first.write(get("q1"));
            Peer.Message answer = null;
            for (int i = 0; answer == null || answer.status() != 503; i++) {
                // Repeats until the first request occupies the slot; one of these requests may arrive before it.
                try (Peer next = Peer.to(server())) {
                    next.write(get("n" + i));
                    next.socket.setSoTimeout(200);
                    answer = next.read();
                } catch (SocketTimeoutException e) {
                    answer = null;
                }
            }
            assertEquals("1", answer.header("X-Turned-Away"));
        }
    }

    @Test
    void incompleteRequestIsCutAndAbandonedRequestIsCancelled() throws Exception {
        start(TIER.formatted(1, 10, 10) + "[[fault]]\nkind = \"stall\"\nfor = \"60s\"\n");
        awaitBegin("stall");
        try (Peer peer = Peer.to(server())) {
            peer.write("POST /order HTTP/1.1\r\nHost: s\r\nX-Txn: q1\r\nX-Lane: order\r\nContent-Length: "
                    + "9\r\n\r\nhalf");
        }
        assertEquals(How.CUT, ran("q1").how());
        try (Peer peer = Peer.to(server())) {
            peer.write(get("q2"));
        }
        assertEquals(How.CANCELLED, ran("q2").how());
    }

    @Test
    void requestFaultsDetermineOutcome() throws Exception {
        start(fault("error", ""));
        assertEquals(500, exchange(get("q1")).status());
        assertEquals(How.ERROR, ran("q1").how());
        close();
        start(fault("reset-before", ""));
        assertThrows(IOException.class, () -> {
            if (exchange(get("q2")) == null) {
                throw new IOException("ended");
            }
        });
        assertEquals(How.RESET, ran("q2").how());
        close();
        start(fault("half", ""));
        try (Peer peer = Peer.to(server())) {
            peer.write(get("q3"));
            byte[] all = peer.socket.getInputStream().readAllBytes();
            String text = new String(all, java.nio.charset.StandardCharsets.US_ASCII);
            int bodyLength = text.length() - text.indexOf("\r\n\r\n") - 4;
            int announcedLength = Integer.parseInt(
                    text.replaceAll("(?s).*content-length: " + "(\\d+).*|.*Content-Length: (\\d+).*", "$1$2"));
            assertTrue(bodyLength < announcedLength, text);
        }
        close();
        start(fault("spoil", ""));
        try (Peer peer = Peer.to(server())) {
            peer.write(get("q4"));
            assertTrue(new String(
                            peer.socket.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.ISO_8859_1)
                    .startsWith("HTTP/1.1 2o0"));
        }
    }

    @Test
    void refuseFaultRejectsConnectsAndHangFaultTimesThemOut() throws Exception {
        start(fault("refuse", ""));
        awaitBegin("refuse");
        assertThrows(ConnectException.class, () -> {
            for (int i = 0; i < 1_000_000; i++) {
                // The listener closes a short time after the fault is reported.
                try {
                    new Socket(server().getAddress(), server().getPort()).close();
                } catch (ConnectException refused) {
                    throw refused;
                } catch (SocketException resetInAcceptQueue) {
                    // Connections in the accept queue are reset, not refused, when the listener closes.
                    continue;
                }
            }
        });
        close();
        start(fault("hang", ""));
        awaitBegin("hang");
        assertThrows(IOException.class, () -> {
            while (true) {
                try (Socket socket = new Socket()) {
                    socket.connect(server(), 400);
                }
            }
        });
    }

    @Test
    void vanishedServerIsSilentOnOpenConnections() throws Exception {
        start(TIER.formatted(1, 10, 10) + "[[fault]]\nkind = \"vanish\"\nat = \"1s\"\nfor = \"60s\"\n");
        try (Peer peer = Peer.to(server())) {
            peer.write(get("q1"));
            assertEquals(200, peer.read().status());
            awaitBegin("vanish");
            peer.socket.setSoTimeout(300);
            assertThrows(SocketTimeoutException.class, () -> {
                for (int i = 0; i < 100; i++) {
                    peer.write(get("q2"));
                    peer.read();
                }
            });
        }
    }

    @Test
    void restartedServerIsRemovedAndListedAgainWithStartTime() throws Exception {
        start(TIER.formatted(2, 10, 10) + "[[fault]]\nkind = \"restart\"\nat = \"200ms\"\nfor = \"300ms\"\n");
        JsonNode list = list("");
        assertTrue(list.path("full").asBoolean());
        assertEquals(2, list.path("servers").size());
        long version = list.path("version").asLong();
        JsonNode removed = list("?index=" + version + "&wait=20000");
        assertEquals("removed", removed.path("servers").get(0).path("state").asText());
        assertFalse(removed.path("full").asBoolean());
        JsonNode back = list("?index=" + removed.path("version").asLong() + "&wait=20000");
        assertEquals("up", back.path("servers").get(0).path("state").asText());
        assertTrue(back.path("servers").get(0).path("started_ms").asLong() > 0);
        List<ServerStateUpdate> received = received();
        // The response may be read before it is recorded.
        for (int i = 0; i < 5_000 && received.size() < 2; i++) {
            LockSupport.parkNanos(1_000_000);
            received = received();
        }
        assertEquals(
                List.of("removed", "up"),
                received.stream().map(ServerStateUpdate::state).toList());
        assertEquals("entry-1", received.get(0).balancer());
    }

    private List<ServerStateUpdate> received() {
        return record.stream()
                .filter(ServerStateUpdate.class::isInstance)
                .map(ServerStateUpdate.class::cast)
                .toList();
    }

    private JsonNode list(String query) throws Exception {
        try (Peer peer = Peer.to(lists.get("entry-1"))) {
            peer.write("GET /catalog/members" + query + " HTTP/1.1\r\nHost: d\r\n\r\n");
            return JSON.readTree(peer.read().body());
        }
    }

    @Test
    void expiredWatchIsAnsweredWithoutChanges() throws Exception {
        start(TIER.formatted(1, 10, 10));
        long version = list("").path("version").asLong();
        JsonNode none = list("?index=" + version + "&wait=50");
        assertEquals(version, none.path("version").asLong());
        assertEquals(0, none.path("servers").size());
        assertTrue(list("?index=99&wait=50").path("full").asBoolean(), "version of a different list");
    }

    @Test
    void drainIsListedAndSilentListSendsNoResponse() throws Exception {
        start(TIER.formatted(1, 10, 10) + "[[fault]]\nkind = \"drain\"\nat = \"100ms\"\nfor = \"60s\"\n");
        JsonNode list = list("?index=" + list("").path("version").asLong() + "&wait=20000");
        // The drain may have been listed before the first request.
        String state = list.path("servers").isEmpty()
                ? list("").path("servers").get(0).path("state").asText()
                : list.path("servers").get(0).path("state").asText();
        assertEquals("draining", state);
        close();
        start(fault("silent-list", ""));
        awaitBegin("silent-list");
        try (Peer peer = Peer.to(lists.get("entry-1"))) {
            peer.socket.setSoTimeout(300);
            assertThrows(SocketTimeoutException.class, () -> {
                for (int i = 0; i < 100; i++) {
                    peer.write("GET /catalog/members HTTP/1.1\r\nHost: d\r\n\r\n");
                    peer.read();
                }
            });
        }
    }

    @Test
    void startFailsWhenBalancerFailsToStart() {
        fleet = new Fleet(
                ScenarioFile.parse(TIER.formatted(1, 10, 10)).scenario(),
                spec -> {
                    throw new IOException("no port left");
                },
                1,
                record::add,
                story::add);
        assertEquals(
                "no port left",
                assertThrows(IOException.class, () -> fleet.start()).getMessage());
        assertNull(story.poll());
    }
}

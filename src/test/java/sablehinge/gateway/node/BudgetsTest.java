package sablehinge.gateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import sablehinge.dataplane.budget.Budget;
import sablehinge.dataplane.budget.HeaderText;
import sablehinge.dataplane.budget.Keys;
import sablehinge.testing.Listener;
import sablehinge.testing.Peer;

/** Tests budgets over sockets, with balancers between tiers of servers that propagate the budget header. */
@Timeout(120)
class BudgetsTest {

    private static final AtomicInteger IDS = new AtomicInteger();

    @TempDir
    private Path folder;

    private final List<AutoCloseable> open = new ArrayList<>();

    /** A server that calls the next balancer, if there is one, for each request and responds with its result. */
    private final class Server {
        final Listener listener;
        final ConcurrentLinkedQueue<Peer.Message> requests = new ConcurrentLinkedQueue<>();
        volatile InetSocketAddress next;
        volatile int calls = 1;
        volatile boolean stripsBudget;
        /** The status of its responses; 0 closes the connection without a response. */
        volatile int status = 200;

        Server() throws IOException {
            listener = new Listener();
            open.add(listener);
            Thread acceptor = new Thread(() -> {
                try {
                    while (true) {
                        Peer peer = listener.accept();
                        Thread worker = new Thread(() -> serve(peer));
                        worker.setDaemon(true);
                        worker.start();
                    }
                } catch (InterruptedException | AssertionError e) {
                    // The listener is closed.
                }
            });
            acceptor.setDaemon(true);
            acceptor.start();
        }

        private void serve(Peer peer) {
            try (peer) {
                for (Peer.Message request = peer.read(); request != null; request = peer.read()) {
                    requests.add(request);
                    int answer = status;
                    String spent = null;
                    for (int i = 0; i < calls && next != null; i++) {
                        Peer.Message response = call(request);
                        spent = response.header("Sablehinge-Spent");
                        if (response.status() != 200) {
                            answer = 500;
                            break;
                        }
                    }
                    if (answer == 0) {
                        return;
                    }
                    peer.write("HTTP/1.1 " + answer + " x\r\nContent-Length: 2\r\n"
                            + (spent == null ? "" : "Sablehinge-Spent: " + spent + "\r\n") + "\r\nok");
                }
            } catch (IOException e) {
                // The client has closed the connection.
            }
        }

        private Peer.Message call(Peer.Message request) throws IOException {
            Map<String, String> headers = new LinkedHashMap<>();
            String budget = request.header("Sablehinge-Budget");
            if (budget != null && !stripsBudget) {
                headers.put("Sablehinge-Budget", budget);
            }
            return ask(next, request.first().split(" ")[1].substring(1), headers, request.header("X-Remaining"));
        }
    }

    @AfterEach
    void close() throws Exception {
        for (int i = open.size() - 1; i >= 0; i--) {
            open.get(i).close();
        }
    }

    private static Peer.Message ask(
            InetSocketAddress balancer, String type, Map<String, String> headers, String remaining) throws IOException {
        StringBuilder extraHeaders = new StringBuilder();
        headers.forEach((name, value) ->
                extraHeaders.append(name).append(": ").append(value).append("\r\n"));
        try (Peer caller = Peer.to(balancer)) {
            caller.write((type.equals("credit-spend") ? "POST /" : "GET /") + type + " HTTP/1.1\r\nX-Txn: t"
                    + IDS.incrementAndGet() + "\r\nX-Lane: " + type + "\r\nX-Remaining: " + remaining + "\r\n"
                    + (type.equals("credit-spend") ? "Content-Length: 0\r\n" : "") + extraHeaders + "\r\n");
            Peer.Message answer = caller.read();
            assertNotNull(answer, "the balancer closed the connection");
            return answer;
        }
    }

    private static Peer.Message ask(InetSocketAddress balancer, String type) throws IOException {
        return ask(balancer, type, new HashMap<>(), "5");
    }

    /** Starts a balancer in front of servers; {@code budget} is the content of its budget table, null for none. */
    private InetSocketAddress startBalancer(String name, String budget, Server... servers) throws Exception {
        Path directory = Files.createDirectories(folder.resolve(name));
        StringBuilder text = new StringBuilder(
                """
                [[listener]]
                address = "127.0.0.1:0"
                [[class]]
                name = "look-up"
                effect = "safe"
                deadline = "10s"
                [[class]]
                name = "credit-spend"
                effect = "unsafe"
                deadline = "10s"
                """);
        for (int i = 0; i < servers.length; i++) {
            text.append("[[upstream]]\nid = \"s")
                    .append(i)
                    .append("\"\naddress = \"")
                    .append(servers[i].listener.address())
                    .append("\"\n");
        }
        if (budget != null) {
            text.append("[budget]\n").append(budget).append('\n');
        }
        Path file = Files.writeString(directory.resolve("operator.toml"), text);
        OperatorNode node = OperatorNode.start(file, false);
        open.add(node::kill);
        return node.addresses().get(0);
    }

    /** The path of service ids in the budget of a request. */
    private static List<Long> path(Peer.Message request) {
        return new HeaderText(null)
                .readBudget(request.header("Sablehinge-Budget"))
                .value()
                .path();
    }

    @Test
    void propagatesBudgetDownstreamButNotToClients() throws Exception {
        Server store = new Server();
        Server render = new Server();
        render.next = startBalancer("store", "service = \"store\"\nentry = false\nlast = true", store);
        Server front = new Server();
        front.next = startBalancer("render", "service = \"render\"\nentry = false", render);
        InetSocketAddress entry = startBalancer("front", "service = \"front\"", front);
        Peer.Message answer = ask(entry, "look-up");
        assertEquals(200, answer.status());
        assertNull(answer.header("Sablehinge-Budget"));
        assertEquals(
                List.of(
                        OperatorNode.serviceId("front"),
                        OperatorNode.serviceId("render"),
                        OperatorNode.serviceId("store")),
                path(store.requests.peek()));
        Budget last = new HeaderText(null)
                .readBudget(store.requests.peek().header("Sablehinge-Budget"))
                .value();
        Budget first = new HeaderText(null)
                .readBudget(front.requests.peek().header("Sablehinge-Budget"))
                .value();
        assertEquals(1, last.attempts());
        assertTrue(last.remaining() < first.remaining() && first.remaining() < 5_000);
    }

    /** If every request fails at the last tier, the number of attempts there remains bounded for each request. */
    @Test
    void boundsAttemptsAtLastTier() throws Exception {
        Server store = new Server();
        store.status = 500;
        Server render = new Server();
        render.next = startBalancer("store", "service = \"store\"\nentry = false\nlast = true\nattempts = 3", store);
        Server front = new Server();
        front.next = startBalancer("render", "service = \"render\"\nentry = false\nattempts = 3", render);
        InetSocketAddress entry = startBalancer("front", "service = \"front\"\nattempts = 3", front);
        for (int i = 0; i < 20; i++) {
            int before = store.requests.size();
            int status = ask(entry, "look-up").status();
            assertTrue(status >= 500, "status " + status);
            int attempts = store.requests.size() - before;
            assertTrue(attempts <= 3, attempts + " attempts");
        }
        // The module may refuse some requests without an attempt.
        assertTrue(store.requests.size() > 3, store.requests.size() + " attempts in all");
    }

    @Test
    void detectsLoopOfThreeServicesWhereItCloses() throws Exception {
        Server store = new Server();
        Server render = new Server();
        Server front = new Server();
        render.next = startBalancer("store", "service = \"store\"\nentry = false\nlast = true", store);
        front.next = startBalancer("render", "service = \"render\"\nentry = false", render);
        // Other services of the installation call the front service as well.
        InetSocketAddress entry = startBalancer("front", "service = \"front\"\nentry = false\nunknown = 8", front);
        store.next = entry;
        Peer.Message answer = ask(entry, "look-up");
        assertTrue(answer.status() >= 500);
        // Each tier received the request once, without a retry.
        assertEquals(List.of(1, 1, 1), List.of(front.requests.size(), render.requests.size(), store.requests.size()));
    }

    @Test
    void reportsPathOfLoopOfOneService() throws Exception {
        Server server = new Server();
        InetSocketAddress entry = startBalancer("front", "service = \"front\"\nentry = false\nunknown = 8", server);
        server.next = entry;
        assertTrue(ask(entry, "look-up").status() >= 500);
        assertEquals(1, server.requests.size());
        String id = Long.toHexString(OperatorNode.serviceId("front"));
        Peer.Message loop = ask(
                entry,
                "look-up",
                Map.of("Sablehinge-Budget", server.requests.peek().header("Sablehinge-Budget")),
                "5");
        assertEquals(508, loop.status());
        assertEquals(id + " > " + id, loop.header("Sablehinge-Path"));
        assertTrue(loop.header("Sablehinge-Spent").contains("again=0"));
        // The loop response itself causes no further request to the server.
        assertEquals(1, server.requests.size());
    }

    @Test
    void refusesRequestsWithExhaustedBudget() throws Exception {
        Server store = new Server();
        InetSocketAddress balancer = startBalancer("store", "service = \"store\"\nentry = false\nlast = true", store);
        HeaderText text = new HeaderText(null);
        Peer.Message dead = ask(
                balancer,
                "credit-spend",
                Map.of("Sablehinge-Budget", text.write(new Budget(1, 4, 3, 1, List.of()))),
                "5");
        assertEquals(503, dead.status());
        assertEquals(
                503,
                ask(
                                balancer,
                                "look-up",
                                Map.of("Sablehinge-Budget", text.write(new Budget(2, 4, 900, 1, List.of()))),
                                "0.004")
                        .status());
        assertEquals(
                503,
                ask(
                                balancer,
                                "look-up",
                                Map.of("Sablehinge-Budget", text.write(new Budget(3, 0, 900, 1, List.of()))),
                                "5")
                        .status());
        assertEquals(0, store.requests.size());
    }

    /** If a tier strips the header, each of its calls gets the budget configured for unknown callers. */
    @Test
    void appliesDefaultBudgetWhereHeaderIsStripped() throws Exception {
        Server store = new Server();
        store.status = 500;
        Server render = new Server();
        render.stripsBudget = true;
        render.next = startBalancer("store", "service = \"store\"\nentry = false\nlast = true\nunknown = 1", store);
        InetSocketAddress entry = startBalancer("front", "service = \"front\"\nattempts = 2", render);
        assertTrue(ask(entry, "look-up").status() >= 500);
        assertTrue(store.requests.size() <= 2, store.requests.size() + " attempts");
        assertEquals(render.requests.size(), store.requests.size(), "a call was retried at the store");
    }

    /** No tier retries the request, and the client receives a single failure response. */
    @Test
    void sendsUnsafeRequestOnceWhenResponseIsLost() throws Exception {
        Server store = new Server();
        store.status = 0;
        Server render = new Server();
        render.next = startBalancer("store", "service = \"store\"\nentry = false\nlast = true", store);
        InetSocketAddress entry = startBalancer("front", "service = \"front\"", render);
        assertEquals(502, ask(entry, "credit-spend").status());
        assertEquals(1, store.requests.size());
        assertEquals(1, render.requests.size());
    }

    @Test
    void ignoresUnsignedBudget() throws Exception {
        byte[] secret = "a secret that both zones know".getBytes();
        Files.write(Files.createDirectories(folder.resolve("store")).resolve("k1"), secret);
        Server store = new Server();
        store.status = 500;
        InetSocketAddress balancer = startBalancer(
                "store",
                "service = \"store\"\nentry = false\nlast = true\n"
                        + "unknown = 0\n[[budget.key]]\nname = \"k1\"\nfile = \"k1\"",
                store);
        Budget budget = new Budget(1, 2, 900, 1, List.of());
        assertEquals(
                503,
                ask(balancer, "look-up", Map.of("Sablehinge-Budget", new HeaderText(null).write(budget)), "5")
                        .status());
        assertEquals(0, store.requests.size());
        String signed = new HeaderText(new Keys(Map.of("k1", secret))).write(budget);
        ask(balancer, "look-up", Map.of("Sablehinge-Budget", signed), "5");
        assertTrue(store.requests.size() >= 1 && store.requests.size() <= 2);
        // A repeated request with the same budget shares its attempts.
        ask(balancer, "look-up", Map.of("Sablehinge-Budget", signed), "5");
        ask(balancer, "look-up", Map.of("Sablehinge-Budget", signed), "5");
        assertEquals(2, store.requests.size());
    }
}

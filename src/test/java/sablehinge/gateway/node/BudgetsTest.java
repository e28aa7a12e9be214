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

/** Budgets over sockets: balancers between tiers of servers that pass on what they are handed. */
@Timeout(120)
class BudgetsTest {

    private static final AtomicInteger IDS = new AtomicInteger();

    @TempDir
    private Path folder;

    private final List<AutoCloseable> open = new ArrayList<>();

    /** A server: calls the next balancer for each request, if it has one, and answers what that says. */
    private final class Server {
        final Listener listener;
        final ConcurrentLinkedQueue<Peer.Message> seen = new ConcurrentLinkedQueue<>();
        volatile InetSocketAddress next;
        volatile int calls = 1;
        volatile boolean strips;
        /** What it does after its calls: a status, or 0 for a connection that ends without an answer. */
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
                    // Nobody calls any more.
                }
            });
            acceptor.setDaemon(true);
            acceptor.start();
        }

        private void serve(Peer peer) {
            try (peer) {
                for (Peer.Message request = peer.read(); request != null; request = peer.read()) {
                    seen.add(request);
                    int answer = status;
                    String spent = null;
                    for (int i = 0; i < calls && next != null; i++) {
                        Peer.Message below = call(request);
                        spent = below.header("Sablehinge-Spent");
                        if (below.status() != 200) {
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
                // Its caller has given it up.
            }
        }

        private Peer.Message call(Peer.Message request) throws IOException {
            Map<String, String> headers = new LinkedHashMap<>();
            String budget = request.header("Sablehinge-Budget");
            if (budget != null && !strips) {
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
        StringBuilder more = new StringBuilder();
        headers.forEach(
                (name, value) -> more.append(name).append(": ").append(value).append("\r\n"));
        try (Peer caller = Peer.to(balancer)) {
            caller.write((type.equals("credit-spend") ? "POST /" : "GET /") + type + " HTTP/1.1\r\nX-Txn: t"
                    + IDS.incrementAndGet() + "\r\nX-Lane: " + type + "\r\nX-Remaining: " + remaining + "\r\n"
                    + (type.equals("credit-spend") ? "Content-Length: 0\r\n" : "") + more + "\r\n");
            Peer.Message answer = caller.read();
            assertNotNull(answer, "the balancer ended the connection");
            return answer;
        }
    }

    private static Peer.Message ask(InetSocketAddress balancer, String type) throws IOException {
        return ask(balancer, type, new HashMap<>(), "5");
    }

    /** A balancer before some servers, with lines of its table of budgets; null for none. */
    private InetSocketAddress balancer(String name, String budget, Server... servers) throws Exception {
        Path own = Files.createDirectories(folder.resolve(name));
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
        Path file = Files.writeString(own.resolve("operator.toml"), text);
        OperatorNode node = OperatorNode.start(file, false);
        open.add(node::kill);
        return node.addresses().get(0);
    }

    /** What has come with a call: its path as ids. */
    private static List<Long> path(Peer.Message request) {
        return new HeaderText(null)
                .readBudget(request.header("Sablehinge-Budget"))
                .value()
                .path();
    }

    @Test
    void whatIsServedCarriesABudgetDownAndNothingToClients() throws Exception {
        Server store = new Server();
        Server render = new Server();
        render.next = balancer("store", "service = \"store\"\nentry = false\nlast = true", store);
        Server front = new Server();
        front.next = balancer("render", "service = \"render\"\nentry = false", render);
        InetSocketAddress entry = balancer("front", "service = \"front\"", front);
        Peer.Message answer = ask(entry, "look-up");
        assertEquals(200, answer.status());
        assertNull(answer.header("Sablehinge-Budget"));
        assertEquals(
                List.of(
                        OperatorNode.serviceId("front"),
                        OperatorNode.serviceId("render"),
                        OperatorNode.serviceId("store")),
                path(store.seen.peek()));
        Budget last = new HeaderText(null)
                .readBudget(store.seen.peek().header("Sablehinge-Budget"))
                .value();
        Budget first = new HeaderText(null)
                .readBudget(front.seen.peek().header("Sablehinge-Budget"))
                .value();
        assertEquals(1, last.attempts());
        assertTrue(last.remaining() < first.remaining() && first.remaining() < 5_000);
    }

    /** All fails at the last tier: its attempts stay within the bound, for each of many requests. */
    @Test
    void attemptsAtTheLastTierAreBounded() throws Exception {
        Server store = new Server();
        store.status = 500;
        Server render = new Server();
        render.next = balancer("store", "service = \"store\"\nentry = false\nlast = true\nattempts = 3", store);
        Server front = new Server();
        front.next = balancer("render", "service = \"render\"\nentry = false\nattempts = 3", render);
        InetSocketAddress entry = balancer("front", "service = \"front\"\nattempts = 3", front);
        for (int i = 0; i < 20; i++) {
            int before = store.seen.size();
            int status = ask(entry, "look-up").status();
            assertTrue(status >= 500, "status " + status);
            int made = store.seen.size() - before;
            assertTrue(made <= 3, made + " attempts");
        }
        // The module may refuse some of them unsent.
        assertTrue(store.seen.size() > 3, store.seen.size() + " attempts in all");
    }

    @Test
    void aLoopOfThreeIsFoundWhereItCloses() throws Exception {
        Server store = new Server();
        Server render = new Server();
        Server front = new Server();
        render.next = balancer("store", "service = \"store\"\nentry = false\nlast = true", store);
        front.next = balancer("render", "service = \"render\"\nentry = false", render);
        // Within the installation front is called by friends, too.
        InetSocketAddress entry = balancer("front", "service = \"front\"\nentry = false\nunknown = 8", front);
        store.next = entry;
        Peer.Message answer = ask(entry, "look-up");
        assertTrue(answer.status() >= 500);
        // One pass: each tier has seen it once, and none tried again.
        assertEquals(List.of(1, 1, 1), List.of(front.seen.size(), render.seen.size(), store.seen.size()));
    }

    @Test
    void aLoopOfOneNamesItsPath() throws Exception {
        Server server = new Server();
        InetSocketAddress entry = balancer("front", "service = \"front\"\nentry = false\nunknown = 8", server);
        server.next = entry;
        assertTrue(ask(entry, "look-up").status() >= 500);
        assertEquals(1, server.seen.size());
        String id = Long.toHexString(OperatorNode.serviceId("front"));
        Peer.Message loop = ask(
                entry, "look-up", Map.of("Sablehinge-Budget", server.seen.peek().header("Sablehinge-Budget")), "5");
        assertEquals(508, loop.status());
        assertEquals(id + " > " + id, loop.header("Sablehinge-Path"));
        assertTrue(loop.header("Sablehinge-Spent").contains("again=0"));
        // A second call from the same place by another path is none.
        assertEquals(1, server.seen.size());
    }

    @Test
    void whatIsDeadOnArrivalIsNeverSentOn() throws Exception {
        Server store = new Server();
        InetSocketAddress balancer = balancer("store", "service = \"store\"\nentry = false\nlast = true", store);
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
        assertEquals(0, store.seen.size());
    }

    /** A tier that strips the header: each of its calls has what is stated for the unknown. */
    @Test
    void whereTheHeaderIsStrippedTheDefaultHolds() throws Exception {
        Server store = new Server();
        store.status = 500;
        Server render = new Server();
        render.strips = true;
        render.next = balancer("store", "service = \"store\"\nentry = false\nlast = true\nunknown = 1", store);
        InetSocketAddress entry = balancer("front", "service = \"front\"\nattempts = 2", render);
        assertTrue(ask(entry, "look-up").status() >= 500);
        assertTrue(store.seen.size() <= 2, store.seen.size() + " attempts");
        assertEquals(render.seen.size(), store.seen.size(), "no call tried twice at the store");
    }

    /** No tier sends it again, and its client has one answer, worded as a failure. */
    @Test
    void anUnsafeCallWhoseAnswerIsLostIsSentOnce() throws Exception {
        Server store = new Server();
        store.status = 0;
        Server render = new Server();
        render.next = balancer("store", "service = \"store\"\nentry = false\nlast = true", store);
        InetSocketAddress entry = balancer("front", "service = \"front\"", render);
        assertEquals(502, ask(entry, "credit-spend").status());
        assertEquals(1, store.seen.size());
        assertEquals(1, render.seen.size());
    }

    @Test
    void whatIsNotSignedIsNotBelieved() throws Exception {
        byte[] secret = "a secret that both zones know".getBytes();
        Files.write(Files.createDirectories(folder.resolve("store")).resolve("k1"), secret);
        Server store = new Server();
        store.status = 500;
        InetSocketAddress balancer = balancer(
                "store",
                "service = \"store\"\nentry = false\nlast = true\n"
                        + "unknown = 0\n[[budget.key]]\nname = \"k1\"\nfile = \"k1\"",
                store);
        Budget budget = new Budget(1, 2, 900, 1, List.of());
        assertEquals(
                503,
                ask(balancer, "look-up", Map.of("Sablehinge-Budget", new HeaderText(null).write(budget)), "5")
                        .status());
        assertEquals(0, store.seen.size());
        String signed = new HeaderText(new Keys(Map.of("k1", secret))).write(budget);
        ask(balancer, "look-up", Map.of("Sablehinge-Budget", signed), "5");
        assertTrue(store.seen.size() >= 1 && store.seen.size() <= 2);
        // Sent again it draws on the same budget.
        ask(balancer, "look-up", Map.of("Sablehinge-Budget", signed), "5");
        ask(balancer, "look-up", Map.of("Sablehinge-Budget", signed), "5");
        assertEquals(2, store.seen.size());
    }
}

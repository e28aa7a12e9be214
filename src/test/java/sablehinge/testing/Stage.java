package sablehinge.testing;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import sablehinge.gateway.config.PlatformConfig;
import sablehinge.gateway.node.Node;
import sablehinge.policy.LoadBalancer;

/** A node on loopback addresses between listeners that the test plays upstreams and discovery on. */
public final class Stage implements AutoCloseable {

    public final Script script = new Script();
    public final Listener discovery = new Listener();
    public final List<Listener> upstreams = new ArrayList<>();
    private final List<Peer> callers = new ArrayList<>();
    /** Settings that a test may change before it starts the node. */
    public int sockets = 1_024;

    public int connectTimeout = 3_000;
    public int drainGrace = 2_000;
    /** How many of the upstreams, the first, are in the node's own zone; the others are of another type. */
    public int atHome = Integer.MAX_VALUE;
    /** How many of them the node knows from its start. */
    public int listed = Integer.MAX_VALUE;

    public int askEvery = 1_000;
    public int maxAttempts = 4;
    /** The aim of the class that must never run twice. */
    public String aim = "\"aim\":1500.0";
    /** Where operators call; null where they don't. */
    public String operator;

    public Node node;

    public Stage() throws IOException {
        this(1);
    }

    public Stage(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            upstreams.add(new Listener());
        }
    }

    /** Starts the node with the scripted module. */
    public Stage start() throws Exception {
        return start(script::with);
    }

    public Stage start(Function<LoadBalancer.Actions, LoadBalancer> module) throws Exception {
        Path file = Files.createTempFile("node", ".json");
        try {
            Files.writeString(file, config());
            node = Node.start(PlatformConfig.read(file.toString()), module);
        } finally {
            Files.delete(file);
        }
        return this;
    }

    public static String entry(int number, String address, String state) {
        return """
                {"id":"s-%08x","addr":"%s","zone":"dakar-a","kind":"front-mid","cell":%d,"state":"%s",
                 "weight":1.0,"started_ms":0}"""
                .formatted(number, address, number, state);
    }

    public static String roster(long version, boolean full, String... entries) {
        return "{\"version\":%d,\"full\":%b,\"servers\":[%s]}".formatted(version, full, String.join(",", entries));
    }

    public String config() {
        String[] entries = new String[Math.min(listed, upstreams.size())];
        for (int i = 0; i < entries.length; i++) {
            entries[i] = entry(i, upstreams.get(i).address(), "up");
            if (i >= atHome) {
                entries[i] = entries[i].replace("dakar-a", "thies-b").replace("front-mid", "front-slow");
            }
        }
        return """
                {"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"8c1f30d27a5be964",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"known":%s,
                 "settings":{"position":0,"siblings":1,"tier":0,"stages":["front"],"zone":0,
                 "zones":["dakar-a","thies-b"],"machineTypes":["front-mid","front-slow"],
                 "registryMode":"subscribe",
                 "familyInfo":{"passesDeadline":true},"callers":{"marksRetry":false},"worthBy":"request",
                 "overShareWorth":0.1,"weightKind":"silent",
                 "stats":{"how":"pull","fields":["queue","eps","latency_ms"]},"tenants":[],
                 "services":[
                 {"name":"look-up","aim":1000.0,"deadline":20000.0,"worth":1.0,"lateValue":0.5,
                  "idempotency":"idempotent","streamed":false},
                 {"name":"tile-order","aim":1000.0,"deadline":2500.0,"worth":8.0,"lateValue":0.5,
                  "idempotency":"deduplicated","group":"cell","memorySpan":4000.0,"streamed":false},
                 {"name":"credit-spend","aim":1500.0,"deadline":20000.0,"worth":2.0,"lateValue":0.3,
                  "idempotency":"at_most_once","streamed":false}],
                 "limits":{"attemptsCap":%d,"maxOpen":20000,"cancel":true,"parallelTries":true,"probes":true,
                  "peers":false,"retryAfter":true,"maxRetryAfter":2000.0,"connectTimeout":%d,
                  "connIdle":30000.0,"streamsPerConn":1},
                 "rules":{"graceToAnswer":20.0,"drainGrace":%d,"askEvery":%d,"startCapacity":0.13,
                  "warmUp":24000.0,"fallMultiple":3.0,"tipAfter":1500.0},
                 "goal":{"whole":0.55,"worstWindow":0.15,"worstClass":0.3,"worstTenant":0.0},
                 "prices":{"crossZone":0.22,"probe":0.01,"waste":0.2,"lateFail":0.03,"connection":0.0,
                  "handshake":0.0,"peer":0.0,"registryMode":0.0}}}
                """
                .formatted(
                        discovery.address(),
                        sockets,
                        roster(41, true, entries),
                        maxAttempts,
                        connectTimeout,
                        drainGrace,
                        askEvery)
                .replace("\"aim\":1500.0", aim)
                .replaceFirst("\\{", operator == null ? "{" : "{\"operator\":\"" + operator + "\",");
    }

    /** A new connection of a caller. */
    public Peer caller() throws IOException {
        Peer caller = Peer.to(node.address());
        callers.add(caller);
        return caller;
    }

    /** What the node answers to an operator's line. */
    public String call(String line) throws IOException {
        return call(node.operatorAddress(), line);
    }

    /** What a balancer answers to an operator's line. */
    public static String call(InetSocketAddress address, String line) throws IOException {
        try (Peer peer = Peer.to(address)) {
            peer.write(line + "\n");
            String answer = new String(peer.socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            return answer.strip();
        }
    }

    /** A request of the class that is safe to repeat. */
    public static String get(String id, String remaining) {
        return "GET /look-up/7?z=3 HTTP/1.1\r\nHost: app.svc\r\nX-Txn: " + id + "\r\nX-Lane: look-up\r\nX-Remaining: "
                + remaining + "\r\n\r\n";
    }

    /** A request of the class that must never run twice. */
    public static String spend(String id, String body) {
        return "POST /credit-spend HTTP/1.1\r\nHost: app.svc\r\nX-Txn: " + id
                + "\r\nX-Lane: credit-spend\r\nX-Remaining: 10\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    public static String ok(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Serves a request and asserts that the caller has its answer: the node is well. */
    public void servesStill() throws Exception {
        Peer caller = caller();
        caller.write(get("still", "10"));
        Peer upstream = upstreams.get(0).accept();
        upstream.read();
        upstream.write(ok("well"));
        Peer.Message answer = caller.read();
        if (answer == null || answer.status() != 200 || !answer.body().equals("well")) {
            throw new AssertionError("not served: " + answer);
        }
    }

    @Override
    public void close() throws IOException {
        for (Peer caller : callers) {
            caller.close();
        }
        if (node != null) {
            node.kill();
        }
        for (Listener upstream : upstreams) {
            upstream.close();
        }
        discovery.close();
    }
}

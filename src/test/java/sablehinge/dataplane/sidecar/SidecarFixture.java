package sablehinge.dataplane.sidecar;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import sablehinge.common.settings.LocalSettings;
import sablehinge.mesh.watch.Registration;
import sablehinge.testing.Listener;
import sablehinge.testing.Peer;

/** A sidecar on separate loopback addresses, with a control plane, an upstream and clients simulated by the test. */
final class SidecarFixture implements AutoCloseable {

    static final String SERVICE = "huvo11a";
    static final String CALLER = "wuno96b";
    static final int UNLOAD_MS = 2_400;
    static final int INNER = 7_100;
    private static final long TIMEOUT_NANOS = 20_000_000_000L;
    private static final AtomicInteger FIXTURES = new AtomicInteger();
    /** Each takes two addresses of a network, whose last octet is under 255. */
    private static final int FIXTURES_PER_NET = 125;

    final StubCore core;
    final Listener app = new Listener();
    Sidecar sidecar;
    private final LocalSettings settings;
    final LocalSettings.ListenOn at;
    final List<PlainConnection.Message> arrived = new CopyOnWriteArrayList<>();
    private final List<Socket> served = new CopyOnWriteArrayList<>();
    private final List<PlainConnection> open = new ArrayList<>();
    private final List<Listener> listeners = new ArrayList<>();

    SidecarFixture() throws Exception {
        this(true);
    }

    /** Creates a mesh whose control plane confirms its configuration as the latest, or does not yet. */
    SidecarFixture(boolean confirms) throws Exception {
        this(confirms, mesh -> {});
    }

    /** Likewise; {@code early} runs when the sockets are open, before anything else is loaded. */
    SidecarFixture(boolean confirms, Setup early) throws Exception {
        this(confirms, early, made -> {});
    }

    /** Likewise; {@code onMade} receives the sidecar before it reads its first request. */
    SidecarFixture(boolean confirms, Setup early, Consumer<Sidecar> onMade) throws Exception {
        long process = ProcessHandle.current().pid();
        int fixture = FIXTURES.getAndIncrement();
        String net =
                "127." + (1 + process % 250) + "." + (1 + (process / 250 + fixture / FIXTURES_PER_NET) % 250) + ".";
        int number = 2 + 2 * (fixture % FIXTURES_PER_NET);
        core = new StubCore(net + number, INNER);
        core.setConfirming(confirms);
        String ip = net + (number + 1);
        at = new LocalSettings.ListenOn(ip + ":7002", ip + ":7001", ip + ":7003", ip + ":7004");
        settings = new LocalSettings(
                "s-1",
                LocalSettings.Role.SIDECAR,
                "small",
                List.of("sidecar"),
                ip,
                "monza-a",
                "monza",
                INNER,
                INNER + 10,
                List.of(net + number + ":7090"),
                true,
                true,
                null,
                20_000,
                List.of(),
                app.address(),
                CALLER,
                Map.of("monza-a", "monza"),
                at,
                new LocalSettings.Limits(1, 1, 256, 1_264, 1_000, 0),
                1,
                new LocalSettings.Bounds(
                        3, 2, 3_000, 5_000, 4, UNLOAD_MS, 6, 200, 2_500, 250, 8_000, false, 5_000, 0.2, 10, 62, 5, 0, 0,
                        15));
        ListeningSockets listening = ListeningSockets.open(settings);
        early.on(this);
        sidecar = Sidecar.start(settings, listening, onMade);
    }

    /** Kills the sidecar's process and starts another one in its place; the upstream and the control plane stay. */
    void restartSidecar() throws Exception {
        sidecar.close();
        sidecar = Sidecar.start(settings, ListeningSockets.open(settings), made -> {});
    }

    /** Creates a mesh with a ready upstream and a configuration with the given tenants. */
    static SidecarFixture withUpstream(String senders) throws Exception {
        SidecarFixture mesh = new SidecarFixture();
        mesh.core.setConfiguration(configuration(4, senders, ""), 4);
        mesh.heartbeat("i-1", "ready");
        mesh.core.awaitKnown("i-1");
        return mesh;
    }

    static SidecarFixture withUpstream() throws Exception {
        return withUpstream("");
    }

    static void await(String condition, BooleanSupplier isMet) {
        long end = System.nanoTime() + TIMEOUT_NANOS;
        while (!isMet.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("timed out waiting until " + condition);
            }
            LockSupport.parkNanos(2_000_000);
        }
    }

    static String route(String name, String kind, String prefix, boolean open) {
        return """
                {"name":"%s","kind":"%s","targetMs":4000,"priority":1,"open":%b,
                 "sorting":{"lanePrefix":"%s"},"dispatch":{"depot":"huvo11a","timeoutMs":15000,
                 "attempts":3}}"""
                .formatted(name, kind, open, prefix);
    }

    /** A configuration; additional routes start with a comma. */
    static String configuration(long edition, String senders, String moreRoutes) {
        return """
                {"edition":%d,"limits":{"headerBytes":16384,"bodyBytes":67108864,"headerMs":9000,
                 "idleMs":30000},
                 "senders":[%s],"gates":[{"station":"ficu95.example","regulations":[%s,%s,%s%s]}],
                 "fleets":[{"name":"huvo11a","healthPath":"/health","connCap":110}]}"""
                .formatted(
                        edition,
                        senders,
                        route("r-safe", "safe", "/s/", false),
                        route("r-unsafe", "unsafe", "/u/", false),
                        route("r-open", "safe", "/o/", true),
                        moreRoutes);
    }

    /** A request with an id and no body; each header ends with a line break. */
    static String get(String path, String id, String... headers) {
        return "GET " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nSablehinge-Try-Id: " + id + "\r\n"
                + "Sablehinge-Time-Left: 12000\r\n" + String.join("", headers) + "\r\n";
    }

    static String post(String path, String id, String body, String... headers) {
        return get(path, id, String.join("", headers) + "Content-Length: " + body.length() + "\r\n")
                        .replaceFirst("GET", "POST")
                + body;
    }

    /** A complete successful response of an upstream. */
    static String ok(String id, String body, String... headers) {
        return "HTTP/1.1 200 OK\r\nSablehinge-Try-Id: " + id + "\r\nSablehinge-Postmark: 3e1b." + id + "\r\n"
                + String.join("", headers) + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Starts an upstream that responds to each request with the result of the function; null closes the connection. */
    SidecarFixture respond(Function<PlainConnection.Message, String> responder) {
        respond(app, responder);
        return this;
    }

    /** Likewise, for a different listener. */
    void respond(Listener listener, Function<PlainConnection.Message, String> responder) {
        daemon(() -> {
            while (true) {
                Socket socket = listener.accept().socket;
                served.add(socket);
                daemon(() -> serve(new PlainConnection(socket), responder));
            }
        });
    }

    private void serve(PlainConnection wire, Function<PlainConnection.Message, String> responder) throws IOException {
        for (PlainConnection.Message request = wire.read(); request != null; request = wire.read()) {
            arrived.add(request);
            String answer = responder.apply(request);
            if (answer == null) {
                wire.close();
                return;
            }
            wire.write(answer);
        }
    }

    /** A test's actions on a mesh. */
    interface Setup {
        void on(SidecarFixture mesh) throws Exception;
    }

    /** What a simulated upstream or client does on a thread of its own. */
    interface Job {
        void run() throws Exception;
    }

    /** Runs a job on a thread of its own; it ends with the first error, as at the end of a test. */
    static void daemon(Job work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception | AssertionError e) {
                // The test has finished or closed the connection.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Accepts the upstream's next connection. */
    PlainConnection upstream() throws Exception {
        Peer peer = app.accept();
        return closeAtEnd(new PlainConnection(peer.socket));
    }

    /** Closes all connections of the upstream without a reset. */
    void closeUpstreams() throws IOException {
        for (Socket socket : served) {
            socket.close();
        }
    }

    private PlainConnection closeAtEnd(PlainConnection wire) {
        open.add(wire);
        return wire;
    }

    /** Opens a client connection. */
    PlainConnection client() throws IOException {
        return closeAtEnd(PlainConnection.to(at.outbound()));
    }

    /** Opens a connection as a peer sidecar. */
    PlainConnection connectAsPeer() throws IOException {
        return closeAtEnd(PlainConnection.to(at.inbound()));
    }

    /** A request of a peer sidecar to an incarnation of the upstream. */
    static String peerRequest(String id, String incarnation, String... headers) {
        return get("/u/x", id, "Sablehinge-Deliver-To: " + incarnation + "\r\n", String.join("", headers));
    }

    /** Registers a peer sidecar with a further upstream of the service, simulated by the test. */
    Listener addPeer(String incarnation) throws IOException {
        Listener other = new Listener();
        listeners.add(other);
        register(incarnation, other.address());
        return other;
    }

    void register(String incarnation, String inbound) {
        core.register(new Registration("s-" + incarnation, "monza-a", inbound, SERVICE, incarnation, true, 8, 0));
    }

    PlainConnection.Message call(String to, String method, String path, String body) throws IOException {
        try (PlainConnection wire = PlainConnection.to(to)) {
            return wire.request(method + " " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length()
                    + "\r\n\r\n" + body);
        }
    }

    PlainConnection.Message heartbeat(String id, String state) throws IOException {
        return call(at.control(), "POST", "/sablehinge/Servers.Heartbeat/" + id, heartbeatBody(state));
    }

    PlainConnection.Message signOff(String id) throws IOException {
        return call(at.control(), "POST", "/sablehinge/Servers.SignOff/" + id, "");
    }

    private String heartbeatBody(String state) {
        return """
                {"depot":"huvo11a","address":"%s","zone":"monza-a","edition":"v1","berths":4,"state":"%s",
                 "coldLeftMs":0,"callCount":4}"""
                .formatted(app.address(), state);
    }

    /** Sends a heartbeat as the local upstream without waiting for the response. */
    PlainConnection sendHeartbeat(String id, String state) throws IOException {
        String body = heartbeatBody(state);
        return closeAtEnd(PlainConnection.to(at.control()))
                .write("POST /sablehinge/Servers.Heartbeat/" + id + " HTTP/1.1\r\nHost: x\r\nContent-Length: "
                        + body.length() + "\r\n\r\n" + body);
    }

    int ready() throws IOException {
        return call(at.ready(), "GET", "/sablehinge/ready", "").status();
    }

    List<String> arrivedIds() {
        return arrived.stream().map(PlainConnection.Message::id).toList();
    }

    @Override
    public void close() throws IOException {
        for (PlainConnection wire : open) {
            wire.close();
        }
        app.close();
        for (Listener listener : listeners) {
            listener.close();
        }
        try {
            sidecar.close();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
        core.close();
    }
}

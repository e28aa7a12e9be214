import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Case 2: unsafe requests take their upstream six seconds, and the sidecar that took them from its clients gets SIGTERM
 * meanwhile. With trouble the upstream falls silent within its answer: it sends the head and a first part at once and the
 * rest after the six seconds. Without, it is silent before its answer, for as long.
 */
public final class Silence {

    private static final String PORTAL = "portale";
    private static final String INTAKE = "accettazione";
    private static final int SILENT_MS = 6_000;
    /** The SIGTERM comes so long after the first request is sent. */
    private static final int TERM_AFTER_MS = 5_000;
    private static final int REQUESTS = 10;
    private static final int REQUEST_EVERY_MS = 100;
    private static final int DEADLINE_MS = 12_000;
    private static final int GRACE_MS = 6_000;

    private record Answered(double at, int status, String end) {}

    private static final Map<String, Double> SENT = new ConcurrentHashMap<>();
    private static final Map<String, Double> RUN_AT = new ConcurrentHashMap<>();
    private static final Map<String, Double> DONE_AT = new ConcurrentHashMap<>();
    private static final Map<String, Answered> ANSWERS = new ConcurrentHashMap<>();

    private Silence() {}

    private static volatile boolean silentWithinAnswer;

    private static boolean report(Upstream upstream, Upstream.Connection connection, Http.Message request)
            throws IOException {
        String id = request.header("sablehinge-try-id");
        RUN_AT.put(id, Mesh.now());
        upstream.mesh.record.line("upstream: runs try %s", id);
        byte[] body = ("report of " + id + ", ").repeat(20).getBytes(StandardCharsets.ISO_8859_1);
        int sent = silentWithinAnswer ? 40 : 0;
        if (silentWithinAnswer) {
            Mesh.write(connection.socket, Upstream.head(id, "p." + id, body.length));
            connection.socket.getOutputStream().write(body, 0, sent);
            upstream.mesh.record.line("upstream: has sent the head and %d of %d bytes for try %s", sent, body.length, id);
        }
        Mesh.sleep(SILENT_MS);
        DONE_AT.put(id, Mesh.now());
        upstream.mesh.record.line("upstream: sends the rest for try %s", id);
        if (!silentWithinAnswer) {
            Mesh.write(connection.socket, Upstream.head(id, "p." + id, body.length));
        }
        connection.socket.getOutputStream().write(body, sent, body.length - sent);
        return true;
    }

    private static void buy(Mesh mesh, String id) {
        try (Socket socket = new Socket()) {
            socket.connect(mesh.machine(0, Mesh.OUTBOUND), 1_000);
            socket.setSoTimeout(DEADLINE_MS + 500);
            socket.setTcpNoDelay(true);
            SENT.put(id, Mesh.now());
            mesh.record.line("client at sidecar-1: sends try %s", id);
            Mesh.write(socket, Http.request("POST", "/buy/1",
                    List.of("Host: " + Mesh.HOST, "Sablehinge-Try-Id: " + id,
                            "Sablehinge-Time-Left: " + DEADLINE_MS, "Sablehinge-Key: " + Mesh.KEY),
                    "one report".getBytes(StandardCharsets.ISO_8859_1)));
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
            ANSWERS.put(id, answer == null
                    ? new Answered(Mesh.now(), 0, "the connection was closed")
                    : new Answered(Mesh.now(), answer.status(),
                            "answered " + answer.status() + " with postmark " + answer.header("sablehinge-postmark")));
        } catch (IOException e) {
            ANSWERS.put(id, new Answered(Mesh.now(), 0, e.toString()));
        }
        mesh.record.line("client: try %s: %s", id, ANSWERS.get(id).end());
    }

    private static int play(Mesh mesh, boolean trouble) throws IOException {
        Mesh.startAll(mesh, List.of(
                        new Upstream(mesh, 0, 12, Silence::report), new Upstream(mesh, 1, 12, Silence::report)),
                Mesh.configuration(1,
                        List.of(new Mesh.Route("/buy/", "unsafe", INTAKE, 2_000, DEADLINE_MS, 2)), mesh.services));
        silentWithinAnswer = trouble;
        double begun = Mesh.now();
        for (int i = 0; i < REQUESTS; i++) {
            String id = "t" + i + "-" + Long.toHexString(System.nanoTime());
            Upstream.daemon(() -> buy(mesh, id));
            Mesh.sleep(begun + (i + 1) * REQUEST_EVERY_MS - Mesh.now());
        }
        Mesh.sleep(begun + TERM_AFTER_MS - Mesh.now());
        double termAt = Mesh.now();
        mesh.terminate(0);
        Mesh.sleep(GRACE_MS + 2_000);
        return judge(mesh, termAt);
    }

    /**
     * LOST as RULES.md has it: from the SIGTERM of the machine that took the request until 1 s after graceS, the request
     * was broken off, or ended with 500, 502 or 504, while its upstream was at work; not counted where the upstream is
     * still at work in the second half of graceS, broke off itself, or the deadline or the route's time-out was reached.
     */
    private static int judge(Mesh mesh, double termAt) {
        List<String> breaches = new ArrayList<>();
        int whole = 0;
        for (Map.Entry<String, Double> sent : SENT.entrySet()) {
            String id = sent.getKey();
            Answered answer = ANSWERS.get(id);
            if (answer == null || !RUN_AT.containsKey(id)) {
                continue;
            }
            if (answer.status() == 200) {
                whole++;
                continue;
            }
            boolean inSpan = answer.at() >= termAt && answer.at() <= termAt + GRACE_MS + 1_000;
            boolean brokenOff = List.of(0, 500, 502, 504).contains(answer.status());
            boolean atWork = DONE_AT.containsKey(id) && answer.at() < DONE_AT.get(id);
            boolean workedLate = !DONE_AT.containsKey(id) || DONE_AT.get(id) >= termAt + GRACE_MS / 2.0;
            boolean inTime = answer.at() < sent.getValue() + DEADLINE_MS;
            if (inSpan && brokenOff && atWork && !workedLate && inTime) {
                breaches.add(String.format(java.util.Locale.ROOT,
                        "LOST: try %s: %s, %.0f ms after the SIGTERM and %.0f ms after it was sent; its upstream was at"
                                + " work until %.0f ms after the SIGTERM",
                        id, answer.end(), answer.at() - termAt, answer.at() - sent.getValue(),
                        DONE_AT.get(id) - termAt));
            }
        }
        mesh.record.line("requests %d, run %d, answered whole %d", SENT.size(), RUN_AT.size(), whole);
        breaches.forEach(breach -> mesh.record.line("%s", breach));
        if (RUN_AT.size() < REQUESTS) {
            throw new Mesh.CannotRun("not all requests reached their upstream");
        }
        mesh.record.line(breaches.isEmpty() ? "no rule broken" : "rules broken: " + breaches.size());
        return breaches.isEmpty() ? 0 : 1;
    }

    public static void main(String[] args) throws IOException {
        Case.run(args[0], List.of(PORTAL, INTAKE), Silence::play);
    }
}

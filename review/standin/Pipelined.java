import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Case 3: clients send two safe requests at once on one connection, as PROTOCOL tells; the answer to the second is a
 * bulk export that its upstream sends over half a second. The sidecar that takes them gets SIGTERM meanwhile.
 */
public final class Pipelined {

    private static final String PORTAL = "portale";
    private static final String INTAKE = "accettazione";
    private static final int FIRST_WORK_MS = 800;
    private static final int PART_BYTES = 32 * 1024;
    private static final int PARTS = 10;
    private static final int PART_PAUSE_MS = 50;
    private static final int DEADLINE_MS = 6_000;
    private static final int GRACE_MS = 6_000;
    private static final int CLIENTS = 6;

    private record Ended(double at, int status, boolean whole, String how) {}

    private static final Map<String, Double> SENT = new ConcurrentHashMap<>();
    private static final Map<String, Double> RUN_AT = new ConcurrentHashMap<>();
    /** When the upstream saw that its connection was broken off while it worked, or had sent all. */
    private static final Map<String, Double> BROKEN_AT = new ConcurrentHashMap<>();

    private static final Map<String, Double> DONE_AT = new ConcurrentHashMap<>();
    private static final Map<String, Ended> ENDED = new ConcurrentHashMap<>();

    private Pipelined() {}

    private static boolean serve(Upstream upstream, Upstream.Connection connection, Http.Message request)
            throws IOException {
        String id = request.header("sablehinge-try-id");
        RUN_AT.put(id, Mesh.now());
        upstream.mesh.record.line("upstream: runs try %s, %s", id, request.path());
        if (request.path().endsWith("lookup")) {
            Mesh.sleep(FIRST_WORK_MS);
            byte[] body = ("found " + id).getBytes(StandardCharsets.ISO_8859_1);
            Mesh.write(connection.socket, Upstream.head(id, "p." + id, body.length));
            Mesh.write(connection.socket, body);
        } else {
            byte[] part = new byte[PART_BYTES];
            Arrays.fill(part, (byte) 'x');
            try {
                Mesh.write(connection.socket, Upstream.head(id, "p." + id, (long) PARTS * PART_BYTES));
                for (int i = 0; i < PARTS; i++) {
                    Mesh.sleep(PART_PAUSE_MS);
                    Mesh.write(connection.socket, part);
                }
            } catch (IOException e) {
                BROKEN_AT.put(id, Mesh.now());
                upstream.mesh.record.line("upstream: is at work on try %s and sees its connection broken off", id);
                throw e;
            }
        }
        DONE_AT.put(id, Mesh.now());
        upstream.mesh.record.line("upstream: has sent all of the answer to try %s", id);
        return true;
    }

    private static byte[] get(String path, String id) {
        return Http.request("GET", path,
                List.of("Host: " + Mesh.HOST, "Sablehinge-Try-Id: " + id, "Sablehinge-Time-Left: " + DEADLINE_MS,
                        "Sablehinge-Key: " + Mesh.KEY), null);
    }

    private static void client(Mesh mesh, String name) {
        String first = name + "a";
        String second = name + "b";
        try (Socket socket = new Socket()) {
            socket.connect(mesh.machine(0, Mesh.OUTBOUND), 1_000);
            socket.setSoTimeout(DEADLINE_MS + 500);
            socket.setTcpNoDelay(true);
            ByteArrayOutputStream both = new ByteArrayOutputStream();
            both.writeBytes(get("/archive/lookup", first));
            both.writeBytes(get("/archive/export", second));
            SENT.put(first, Mesh.now());
            SENT.put(second, Mesh.now());
            mesh.record.line("client at sidecar-1: sends tries %s and %s on one connection", first, second);
            Mesh.write(socket, both.toByteArray());
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (String id : List.of(first, second)) {
                try {
                    Http.Message answer = Http.read(in);
                    ENDED.put(id, answer == null
                            ? new Ended(Mesh.now(), 0, false, "the connection was closed")
                            : new Ended(Mesh.now(), answer.status(), answer.status() == 200,
                                    "answered " + answer.status() + " with " + answer.body().length + " bytes"));
                } catch (IOException e) {
                    ENDED.put(id, new Ended(Mesh.now(), 0, false, e.toString()));
                }
                mesh.record.line("client: try %s: %s", id, ENDED.get(id).how());
            }
        } catch (IOException e) {
            mesh.record.line("client: tries %s and %s: %s", first, second, e);
        }
    }

    private static int play(Mesh mesh, boolean trouble) throws IOException {
        Mesh.startAll(mesh, List.of(new Upstream(mesh, 0, 12, Pipelined::serve),
                        new Upstream(mesh, 1, 12, Pipelined::serve), new Upstream(mesh, 2, 12, Pipelined::serve)),
                Mesh.configuration(1,
                        List.of(new Mesh.Route("/archive/", "safe", INTAKE, 2_000, DEADLINE_MS, 2)), mesh.services));
        double termAt = trouble ? Mesh.now() : Double.POSITIVE_INFINITY;
        if (trouble) {
            mesh.terminate(0);
        }
        // Within the second and more in which the platform still sends the machine clients.
        for (int i = 0; i < CLIENTS; i++) {
            String name = "t" + i + "-" + Long.toHexString(System.nanoTime());
            Upstream.daemon(() -> client(mesh, name));
            Mesh.sleep(100);
        }
        Mesh.sleep(GRACE_MS + 2_000);
        return judge(mesh, termAt);
    }

    /** LOST as RULES.md has it; see {@link Silence}. */
    private static int judge(Mesh mesh, double termAt) {
        List<String> breaches = new ArrayList<>();
        int whole = 0;
        for (Map.Entry<String, Ended> ended : ENDED.entrySet()) {
            String id = ended.getKey();
            Ended end = ended.getValue();
            whole += end.whole() ? 1 : 0;
            boolean inSpan = end.at() >= termAt && end.at() <= termAt + GRACE_MS + 1_000;
            boolean failed = List.of(0, 500, 502, 504).contains(end.status());
            boolean brokenOff = BROKEN_AT.containsKey(id) && BROKEN_AT.get(id) < termAt + GRACE_MS / 2.0;
            boolean inTime = end.at() < SENT.get(id) + DEADLINE_MS;
            if (inSpan && failed && brokenOff && inTime) {
                breaches.add(String.format(java.util.Locale.ROOT,
                        "LOST: try %s: %s, %.0f ms after the SIGTERM; broken off while its upstream was at work, %.0f ms"
                                + " after the SIGTERM",
                        id, end.how(), end.at() - termAt, BROKEN_AT.get(id) - termAt));
            }
        }
        mesh.record.line("requests %d, run %d, answered whole %d", SENT.size(), RUN_AT.size(), whole);
        breaches.forEach(breach -> mesh.record.line("%s", breach));
        if (RUN_AT.size() < CLIENTS) {
            throw new Mesh.CannotRun("too few requests reached their upstream");
        }
        mesh.record.line(breaches.isEmpty() ? "no rule broken" : "rules broken: " + breaches.size());
        return breaches.isEmpty() ? 0 : 1;
    }

    public static void main(String[] args) throws IOException {
        Case.run(args[0], List.of(PORTAL, INTAKE, INTAKE), Pipelined::play);
    }
}

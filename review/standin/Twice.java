import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 1: unsafe requests to a service with one upstream, which has a limit of its own: it turns away with 429 and
 * Sablehinge-Not-Run what comes within a millisecond of its last start. With trouble, for five seconds, it sends a
 * second copy of 3 in 100 of its answers late, where the next answer on the connection is due.
 */
public final class Twice {

    private static final String SERVICE = "portale";
    private static final int WORK_MS = 40;
    /** The upstream's own limit: one start in this time. */
    private static final double PACE_MS = 1;
    /** `garble`: the share of answers that is spoilt; vtb-plagio.toml names up to 0.03 for `extra late`. */
    private static final double SURPLUS_SHARE = 0.03;
    private static final double SURPLUS_FROM_MS = 3_000;
    /** The longest `for_s` of `garble` with `extra late`: 5.0. */
    private static final double SURPLUS_FOR_MS = 5_000;
    private static final int LOAD_MS = 12_000;
    private static final int CLIENTS = 50;
    /** The mean pause of a client, which keeps its connection. */
    private static final double PAUSE_MS = 220;
    private static volatile double loadFrom = Double.POSITIVE_INFINITY;

    private static final Map<String, AtomicInteger> RUNS = new ConcurrentHashMap<>();
    private static final Map<String, Integer> ANSWERS = new ConcurrentHashMap<>();
    private static final AtomicInteger TURNED_AWAY = new AtomicInteger();
    private static final AtomicInteger SURPLUS = new AtomicInteger();
    private static final AtomicInteger ARRIVALS = new AtomicInteger();

    private Twice() {}

    /** The upstream's work. */
    private static final class Purchases implements Upstream.Work {
        private final boolean trouble;
        private final Random random = new Random();
        private double nextStartAt;
        private int stamps;

        Purchases(boolean trouble) {
            this.trouble = trouble;
        }

        private synchronized boolean mayStart() {
            double now = Mesh.now();
            if (now < nextStartAt) {
                return false;
            }
            nextStartAt = now + PACE_MS;
            return true;
        }

        private synchronized boolean isSpoilt() {
            double since = Mesh.now() - loadFrom;
            return trouble
                    && since >= SURPLUS_FROM_MS
                    && since < SURPLUS_FROM_MS + SURPLUS_FOR_MS
                    && random.nextDouble() < SURPLUS_SHARE;
        }

        private synchronized int stamp() {
            return ++stamps;
        }

        @Override
        public boolean answer(Upstream upstream, Upstream.Connection connection, Http.Message request)
                throws IOException {
            String id = request.header("sablehinge-try-id");
            ARRIVALS.incrementAndGet();
            if (connection.surplus != null) {
                byte[] late = connection.surplus;
                connection.surplus = null;
                SURPLUS.incrementAndGet();
                upstream.mesh.record.line("upstream: late second copy of its last answer, as try %s arrives", id);
                Mesh.write(connection.socket, late);
            }
            byte[] answer;
            if (!mayStart()) {
                TURNED_AWAY.incrementAndGet();
                upstream.mesh.record.line("upstream: turns try %s away, 429 with Sablehinge-Not-Run", id);
                answer = Upstream.notRun("429 Too Many Requests", id);
            } else {
                int run = RUNS.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
                upstream.mesh.record.line("upstream: runs try %s%s", id, run > 1 ? ", for the time number " + run : "");
                Mesh.sleep(WORK_MS);
                byte[] body = ("bought by " + id).getBytes(StandardCharsets.ISO_8859_1);
                byte[] head = Upstream.head(id, "p." + stamp(), body.length);
                answer = new byte[head.length + body.length];
                System.arraycopy(head, 0, answer, 0, head.length);
                System.arraycopy(body, 0, answer, head.length, body.length);
            }
            Mesh.write(connection.socket, answer);
            if (isSpoilt()) {
                connection.surplus = answer;
            }
            return true;
        }
    }

    private static void buy(Mesh mesh, int machine, int client, double until) {
        Random random = new Random();
        int number = 0;
        while (Mesh.now() < until) {
            try (Socket socket = new Socket()) {
                socket.connect(mesh.machine(machine, Mesh.OUTBOUND), 1_000);
                socket.setSoTimeout(5_500);
                socket.setTcpNoDelay(true);
                BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                boolean open = true;
                while (open && Mesh.now() < until) {
                    Mesh.sleep(-PAUSE_MS * Math.log(1 - random.nextDouble()));
                    open = buyOne(mesh, socket, in, machine, "t" + client + "-" + ++number);
                }
            } catch (IOException e) {
                Mesh.sleep(100);
            }
        }
    }

    /** Sends one request, each with an id of its own; returns whether the connection stays open. */
    private static boolean buyOne(Mesh mesh, Socket socket, BufferedInputStream in, int machine, String id)
            throws IOException {
        ANSWERS.put(id, 0);
        mesh.record.line("client at sidecar-%d: sends try %s", machine + 1, id);
        Mesh.write(socket, Http.request("POST", "/buy/1",
                List.of("Host: " + Mesh.HOST, "Sablehinge-Try-Id: " + id, "Sablehinge-Time-Left: 5000",
                        "Sablehinge-Key: " + Mesh.KEY),
                "one report".getBytes(StandardCharsets.ISO_8859_1)));
        Http.Message answer;
        try {
            answer = Http.read(in);
        } catch (IOException e) {
            mesh.record.line("client: try %s ends without an answer: %s", id, e);
            throw e;
        }
        int status = answer == null ? 0 : answer.status();
        ANSWERS.put(id, status);
        mesh.record.line("client: try %s is answered %d", id, status);
        return answer != null && !answer.closes();
    }

    private static int play(Mesh mesh, boolean trouble) throws IOException {
        Upstream upstream = new Upstream(mesh, 0, 24, new Purchases(trouble));
        Upstream other = new Upstream(mesh, 1, 24, new Purchases(false));
        Mesh.startAll(mesh, List.of(upstream, other), Mesh.configuration(1,
                List.of(new Mesh.Route("/buy/", "unsafe", SERVICE, 800, 5_000, 2)), mesh.services));
        loadFrom = Mesh.now();
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            Upstream.daemon(() -> buy(mesh, client % 2, client, loadFrom + LOAD_MS));
        }
        Mesh.sleep(LOAD_MS + 6_000);
        return judge(mesh);
    }

    /** TWICE and REFUSED as RULES.md has them, and whether enough was served for the case to say something. */
    private static int judge(Mesh mesh) {
        List<String> breaches = new ArrayList<>();
        int served = 0;
        for (Map.Entry<String, Integer> answered : ANSWERS.entrySet()) {
            int runs = RUNS.containsKey(answered.getKey()) ? RUNS.get(answered.getKey()).get() : 0;
            int status = answered.getValue();
            served += status == 200 ? 1 : 0;
            if (runs > 1) {
                breaches.add("TWICE: try " + answered.getKey() + " ran " + runs + " times, answered " + status);
            }
            if (runs > 0 && List.of(408, 421, 429, 503).contains(status)) {
                breaches.add("REFUSED: try " + answered.getKey() + " ran and was answered " + status);
            }
        }
        mesh.record.line("requests %d, served %d, arrivals at the upstreams %d, turned away %d, late second copies %d",
                ANSWERS.size(), served, ARRIVALS.get(), TURNED_AWAY.get(), SURPLUS.get());
        breaches.forEach(breach -> mesh.record.line("%s", breach));
        if (served < 500) {
            throw new Mesh.CannotRun("too little was served");
        }
        mesh.record.line(breaches.isEmpty() ? "no rule broken" : "rules broken: " + breaches.size());
        return breaches.isEmpty() ? 0 : 1;
    }

    public static void main(String[] args) throws IOException {
        Case.run(args[0], List.of(SERVICE, "accettazione"), Twice::play);
    }
}

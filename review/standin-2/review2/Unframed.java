package review2;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * LOST: an upstream's answers have no length and end with their connection, in good order; the machine that took the
 * requests gets SIGHUP. With TROUBLE=0 the same answers have a length; SIGHUP comes all the same.
 */
final class Unframed {
    private static final int REQUESTS = 5;
    private static final int BODY_BYTES = 200_000;
    private static final long DEADLINE_MS = 5_000;

    private Unframed() {}

    private static boolean run(Log log, Mesh mesh) throws Exception {
        new Upstream(log, "i-basalt-1", "basalt", mesh.app(0), mesh.control(0), 12);
        Upstream upstream = new Upstream(log, "i-marl-1", "marl", mesh.app(1), mesh.control(1), 12);
        mesh.start(Mesh.configuration(
                1,
                mesh.depots,
                Mesh.route("r-read", "safe", "/read/", "marl", 800, DEADLINE_MS, 2),
                Mesh.route("r-buy", "unsafe", "/buy/", "marl", 800, DEADLINE_MS, 2)));
        mesh.warm("/read/1", 3);
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            Client client = new Client(log, mesh.outbound(0));
            log.quiet("kept connection: " + client.call("GET", "/read/2", Client.newId(), 2_000, new byte[0]));
            clients.add(client);
        }
        // Calm for longer than contactMs.
        Mesh.sleep(3_500);
        byte[] body = "x".repeat(BODY_BYTES).getBytes(StandardCharsets.ISO_8859_1);
        upstream.work = run -> {
            Mesh.sleep(1_000);
            if (!Mesh.trouble()) {
                return run.ok(body);
            }
            run.write("HTTP/1.1 200 OK\r\nSablehinge-Try-Id: " + run.tryId + "\r\nSablehinge-Postmark: " + run.stamp
                    + "\r\n\r\n");
            run.write(body);
            // The end of the answer: an orderly end of the connection, no reset.
            run.socket.shutdownOutput();
            Mesh.sleep(200);
            return false;
        };
        Thread[] threads = new Thread[REQUESTS];
        Client.Answer[] answers = new Client.Answer[REQUESTS];
        String[] ids = new String[REQUESTS];
        for (int i = 0; i < REQUESTS; i++) {
            int at = i;
            ids[at] = Client.newId();
            threads[at] = Mesh.thread("client", () -> {
                answers[at] = clients.get(at).call("POST", "/buy/" + at, ids[at], DEADLINE_MS, new byte[200]);
                log.line("request " + ids[at] + ": " + answers[at]);
            });
        }
        Mesh.sleep(500);
        mesh.sidecarSettings(0);
        mesh.signal(mesh.sidecarProcesses[0], "HUP");
        double hangupAt = log.now();
        log.line("SIGHUP to the machine that took the requests");
        int lost = 0;
        for (Thread thread : threads) {
            thread.join();
        }
        Mesh.sleep(500);
        for (int i = 0; i < REQUESTS; i++) {
            boolean ran = upstream.runs.containsKey(ids[i]) && upstream.answered.contains(ids[i]);
            boolean cut = !answers[i].complete() && answers[i].endedAt > hangupAt
                    && answers[i].endedAt - answers[i].sentAt < DEADLINE_MS - 300;
            lost += ran && cut ? 1 : 0;
        }
        log.line(lost + " of " + REQUESTS + " requests that can't be repeated, run and answered whole by their upstream,"
                + " lost their connection without a whole answer");
        return lost > 0;
    }

    public static void main(String[] args) {
        Case.main(args, 3, List.of("basalt", "marl"), Unframed::run);
    }
}

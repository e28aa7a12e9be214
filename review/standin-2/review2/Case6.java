package review2;

import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * LOST: an upstream pauses for 6 s within a short answer to a request that can't be repeated; SIGTERM reaches the
 * machine that took the request 4 s after it. With TROUBLE=0 the upstream works as long, and answers in one piece.
 */
final class Case6 {
    private static final int REQUESTS = 3;
    private static final long PAUSE_MS = 6_000;
    private static final long TERM_AFTER_MS = 4_000;
    private static final long DEADLINE_MS = 12_000;
    private static final int BODY_BYTES = 1_500;

    private Case6() {}

    private static boolean run(Log log, Mesh mesh) throws Exception {
        Upstream upstream = new Upstream(log, "i-basalt-1", "basalt", mesh.app(0), mesh.control(0), 12);
        new Upstream(log, "i-marl-1", "marl", mesh.app(1), mesh.control(1), 12);
        mesh.start(Mesh.configuration(
                1,
                mesh.depots,
                Mesh.route("r-read", "safe", "/read/", "basalt", 800, DEADLINE_MS, 2),
                Mesh.route("r-buy", "unsafe", "/buy/", "basalt", 800, DEADLINE_MS, 2)));
        mesh.warm("/read/1", 3);
        // Calm for longer than contactMs.
        Mesh.sleep(3_500);
        upstream.work = run -> {
            byte[] half = "x".repeat(BODY_BYTES / 2).getBytes(StandardCharsets.ISO_8859_1);
            if (Mesh.trouble()) {
                run.headOf(2 * half.length);
                run.write(half);
                Mesh.sleep(PAUSE_MS);
                run.write(half);
                return true;
            }
            Mesh.sleep(PAUSE_MS);
            run.headOf(2 * half.length);
            run.write(half);
            run.write(half);
            return true;
        };
        Thread[] threads = new Thread[REQUESTS];
        Client.Answer[] answers = new Client.Answer[REQUESTS];
        String[] ids = new String[REQUESTS];
        for (int i = 0; i < REQUESTS; i++) {
            int at = i;
            ids[at] = Client.newId();
            threads[at] = Mesh.thread("client", () -> {
                try (Client client = new Client(log, mesh.outbound(0))) {
                    log.quiet("request " + ids[at]);
                    answers[at] = client.call("POST", "/buy/" + at, ids[at], DEADLINE_MS, new byte[200]);
                    log.line("request " + ids[at] + ": " + answers[at]);
                } catch (java.io.IOException e) {
                    log.line("no connection: " + e.getMessage());
                }
            });
        }
        Mesh.sleep(TERM_AFTER_MS);
        mesh.signal(mesh.sidecarProcesses[0], "TERM");
        double terminatedAt = log.now();
        log.line("SIGTERM to the machine that took the requests; the upstream would end "
                + (PAUSE_MS - TERM_AFTER_MS) + " ms from now, in the first half of graceS");
        int lost = 0;
        for (int i = 0; i < REQUESTS; i++) {
            threads[i].join();
            Client.Answer answer = answers[i];
            boolean ran = upstream.runs.containsKey(ids[i]);
            boolean own = answer != null && answer.complete() && answer.status / 100 == 5
                    && !answer.head.headers.containsKey("Sablehinge-Postmark");
            boolean cut = answer != null && !answer.complete();
            boolean early = answer != null && answer.endedAt > terminatedAt
                    && answer.endedAt - terminatedAt < PAUSE_MS - TERM_AFTER_MS - 100;
            lost += ran && early && (own || cut) ? 1 : 0;
        }
        log.line(lost + " of " + REQUESTS + " requests that can't be repeated were broken off after the SIGTERM while"
                + " their upstream was at work, with an answer of the machine's own in the place of the upstream's");
        mesh.recordLogs(".*event=(drain|ends|given-up).*");
        return lost > 0;
    }

    public static void main(String[] args) {
        Case.main(args, 3, List.of("basalt", "marl"), Case6::run);
    }
}

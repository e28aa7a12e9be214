package review2;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * LOST: upstreams pause within an answer that has begun. First the answers are long, and the machine that took the requests
 * gets SIGHUP; then they are short, and it gets SIGTERM. With TROUBLE=0 the upstreams work as long and answer in one piece;
 * the signals come all the same.
 */
final class Silence {
    private static final int REQUESTS = 5;
    /** The deadline of archive-lookup in the site file, here also that of the other routes and their time-out. */
    private static final long DEADLINE_MS = 12_000;
    private static final int LONG_HALF = 100_000;
    private static final long LONG_PAUSE_MS = 10_600;
    private static final int SHORT_HALF = 750;
    private static final long SHORT_PAUSE_MS = 6_000;
    private static final long TERM_AFTER_MS = 4_000;
    private static final long CALM_MS = 3_500;

    private Silence() {}

    private static boolean answer(Upstream.Run run, int half, long pauseMs) throws IOException {
        byte[] part = "x".repeat(half).getBytes(StandardCharsets.ISO_8859_1);
        if (!Mesh.trouble()) {
            Mesh.sleep(pauseMs);
        }
        run.headOf(2 * half);
        run.write(part);
        if (Mesh.trouble()) {
            Mesh.sleep(pauseMs);
        }
        run.write(part);
        return true;
    }

    /** Sends requests that can't be repeated, each on a kept connection; returns their answers when all have ended. */
    private static final class Batch {
        final Client.Answer[] answers = new Client.Answer[REQUESTS];
        final String[] ids = new String[REQUESTS];
        private final Thread[] threads = new Thread[REQUESTS];

        Batch(Log log, Mesh mesh, String path) throws IOException {
            Client[] clients = new Client[REQUESTS];
            for (int i = 0; i < REQUESTS; i++) {
                clients[i] = new Client(log, mesh.outbound(0));
                log.quiet("kept connection: " + clients[i].call("GET", "/read/2", Client.newId(), 2_000, new byte[0]));
            }
            for (int i = 0; i < REQUESTS; i++) {
                int at = i;
                ids[at] = Client.newId();
                threads[at] = Mesh.thread("client", () -> {
                    log.quiet("request " + ids[at] + " " + path);
                    answers[at] = clients[at].call("POST", path + at, ids[at], DEADLINE_MS, new byte[200]);
                    log.line("request " + ids[at] + ": " + answers[at]);
                });
            }
        }

        void join() throws InterruptedException {
            for (Thread thread : threads) {
                thread.join();
            }
        }
    }

    private static boolean run(Log log, Mesh mesh) throws Exception {
        Upstream basalt = new Upstream(log, "i-basalt-1", "basalt", mesh.app(0), mesh.control(0), 12);
        Upstream marl = new Upstream(log, "i-marl-1", "marl", mesh.app(1), mesh.control(1), 12);
        mesh.start(Mesh.configuration(
                1,
                mesh.depots,
                Mesh.route("r-read", "safe", "/read/", "marl", 800, DEADLINE_MS, 2),
                Mesh.route("r-long", "unsafe", "/long/", "marl", 2_000, DEADLINE_MS, 2),
                Mesh.route("r-short", "unsafe", "/short/", "basalt", 800, DEADLINE_MS, 2)));
        mesh.warm("/read/1", 3);
        Mesh.sleep(CALM_MS);
        Upstream.Work usual = marl.work;
        marl.work = run -> run.head.word(1).startsWith("/long/")
                ? answer(run, LONG_HALF, LONG_PAUSE_MS)
                : usual.run(run);
        basalt.work = run -> answer(run, SHORT_HALF, SHORT_PAUSE_MS);

        Batch longer = new Batch(log, mesh, "/long/");
        Mesh.sleep(500);
        mesh.sidecarSettings(0);
        mesh.signal(mesh.sidecarProcesses[0], "HUP");
        double hangupAt = log.now();
        log.line("SIGHUP to the machine that took the requests");
        longer.join();
        int cut = 0;
        for (Client.Answer answer : longer.answers) {
            cut += !answer.complete() && answer.endedAt > hangupAt && answer.endedAt - answer.sentAt < DEADLINE_MS - 300
                    ? 1
                    : 0;
        }
        log.line(cut + " of " + REQUESTS + " requests, sent before the SIGHUP and at work at their upstream, lost their"
                + " connection before a whole answer, well ahead of deadline and time-out");

        Mesh.sleep(CALM_MS);
        Batch shorter = new Batch(log, mesh, "/short/");
        Mesh.sleep(TERM_AFTER_MS);
        mesh.signal(mesh.sidecarProcesses[0], "TERM");
        double terminatedAt = log.now();
        log.line("SIGTERM to the machine that took the requests; the upstream would end "
                + (SHORT_PAUSE_MS - TERM_AFTER_MS) + " ms from now, in the first half of graceS");
        shorter.join();
        int brokenOff = 0;
        for (int i = 0; i < REQUESTS; i++) {
            Client.Answer answer = shorter.answers[i];
            boolean early = answer.endedAt > terminatedAt
                    && answer.endedAt - terminatedAt < SHORT_PAUSE_MS - TERM_AFTER_MS - 100;
            boolean own = answer.complete() && answer.status / 100 == 5
                    && !answer.head.headers.containsKey("Sablehinge-Postmark");
            brokenOff += basalt.runs.containsKey(shorter.ids[i]) && early && (own || !answer.complete()) ? 1 : 0;
        }
        log.line(brokenOff + " of " + REQUESTS + " requests were broken off after the SIGTERM while their upstream was at"
                + " work, with an answer of the machine's own in the place of the upstream's");
        mesh.recordLogs(".*event=(drain|ends|given-up|settings).*");
        return cut > 0 || brokenOff > 0;
    }

    public static void main(String[] args) {
        Case.main(args, 3, java.util.List.of("basalt", "marl"), Silence::run);
    }
}

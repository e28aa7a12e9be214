package review2;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * LOST: an upstream pauses for 10.6 s within a long answer, and the machine that took the request gets SIGHUP. With
 * TROUBLE=0 the upstream does not pause; SIGHUP comes all the same.
 */
final class Case5 {
    private static final int REQUESTS = 5;
    private static final int PART_BYTES = 100_000;
    private static final long PAUSE_MS = 10_600;
    /** The deadline of archive-lookup in the site file, also the route's time-out here. */
    private static final long DEADLINE_MS = 12_000;

    private Case5() {}

    private static boolean run(Log log, Mesh mesh) throws Exception {
        new Upstream(log, "i-basalt-1", "basalt", mesh.app(0), mesh.control(0), 12);
        Upstream upstream = new Upstream(log, "i-marl-1", "marl", mesh.app(1), mesh.control(1), 12);
        mesh.start(Mesh.configuration(
                1, mesh.depots, Mesh.route("r-read", "safe", "/read/", "marl", 2_000, DEADLINE_MS, 2)));
        mesh.warm("/read/1", 3);
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            Client client = new Client(log, mesh.outbound(0));
            log.line("kept connection: " + client.call("GET", "/read/2", Client.newId(), 2_000, new byte[0]));
            clients.add(client);
        }
        // Calm for longer than contactMs.
        Mesh.sleep(3_500);
        upstream.work = run -> {
            byte[] part = "x".repeat(PART_BYTES).getBytes(StandardCharsets.ISO_8859_1);
            run.headOf(2 * PART_BYTES);
            run.write(part);
            log.quiet("the upstream has sent the first half of " + run.tryId);
            Mesh.sleep(Mesh.trouble() ? PAUSE_MS : 0);
            run.write(part);
            return true;
        };
        List<Thread> threads = new ArrayList<>();
        Client.Answer[] answers = new Client.Answer[REQUESTS];
        for (int i = 0; i < REQUESTS; i++) {
            int at = i;
            threads.add(Mesh.thread("client", () -> {
                String id = Client.newId();
                log.quiet("request " + id);
                answers[at] = clients.get(at).call("GET", "/read/" + at, id, DEADLINE_MS, new byte[0]);
                log.line("request " + id + ": " + answers[at]);
            }));
        }
        Mesh.sleep(500);
        mesh.sidecarSettings(0);
        mesh.signal(mesh.sidecarProcesses[0], "HUP");
        double hangupAt = log.now();
        log.line("SIGHUP to the machine that took the requests");
        for (Thread thread : threads) {
            thread.join();
        }
        int lost = 0;
        for (Client.Answer answer : answers) {
            // Cut after the SIGHUP, before the deadline, without a whole answer.
            boolean cut = !answer.complete() && answer.endedAt > hangupAt
                    && answer.endedAt - answer.sentAt < DEADLINE_MS - 300;
            lost += cut ? 1 : 0;
        }
        log.line(lost + " of " + REQUESTS + " requests, sent before the SIGHUP and handed on to an upstream that was"
                + " at work, lost their connection before a whole answer, more than 300 ms ahead of deadline and"
                + " time-out");
        return lost > 0;
    }

    public static void main(String[] args) {
        Case.main(args, 3, List.of("basalt", "marl"), Case5::run);
    }
}

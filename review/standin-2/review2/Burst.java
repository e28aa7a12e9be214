package review2;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * CONFIG: 50 users of one machine send an upload of 600,000 bytes each at the same moment. With TROUBLE=0 they send the
 * same uploads one after the other.
 */
final class Burst {
    private static final int CLIENTS = 50;
    private static final int BODY_BYTES = 600_000;
    private static final long ROUTE_TIMEOUT_MS = 5_000;
    private static final long TIME_LEFT_MS = 12_000;
    private static final double SLACK_MS = 500;
    /** The bounds of the rule. */
    private static final int MIN_UNANSWERED = 8;

    private Burst() {}

    private static final class Upload {
        final String id = Client.newId();
        /** When its last byte was handed to the connection; NaN if it never was. */
        double sentAt = Double.NaN;
        Client.Answer answer;
    }

    private static void send(Log log, Client client, Upload upload) {
        double begunAt = log.now();
        try {
            client.write(Client.request("POST", "/up/" + upload.id, upload.id, TIME_LEFT_MS, new byte[BODY_BYTES], ""));
            upload.sentAt = log.now();
            log.quiet("upload " + upload.id + " sent, begun at " + Math.round(begunAt));
        } catch (IOException e) {
            log.quiet("upload " + upload.id + " could not be sent: " + e.getMessage());
        }
        upload.answer = client.read(begunAt, TIME_LEFT_MS + 500);
        log.quiet("upload " + upload.id + ": " + upload.answer);
    }

    private static boolean run(Log log, Mesh mesh) throws Exception {
        Upstream upstream = new Upstream(log, "i-basalt-1", "basalt", mesh.app(0), mesh.control(0), 12);
        new Upstream(log, "i-marl-1", "marl", mesh.app(1), mesh.control(1), 12);
        mesh.start(Mesh.configuration(
                1,
                mesh.depots,
                Mesh.route("r-read", "safe", "/read/", "basalt", 800, ROUTE_TIMEOUT_MS, 2),
                Mesh.route("r-up", "upload", "/up/", "basalt", 800, ROUTE_TIMEOUT_MS, 2)));
        mesh.warm("/read/1", 3);
        upstream.work = run -> {
            if (run.head.word(0).equals("POST")) {
                Mesh.sleep(190);
            }
            return run.ok("taken\n".getBytes(StandardCharsets.ISO_8859_1));
        };
        List<Upload> uploads = new ArrayList<>();
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            uploads.add(new Upload());
            clients.add(new Client(log, mesh.outbound(0)));
        }
        // The platform's question, once a second.
        AtomicInteger silent = new AtomicInteger();
        boolean[] over = {false};
        Mesh.thread("platform", () -> {
            while (!over[0]) {
                boolean ready = mesh.isReady(0);
                silent.addAndGet(ready ? 0 : 1);
                log.quiet("ready: " + ready);
                Mesh.sleep(1_000);
            }
        });
        log.line((Mesh.trouble() ? "all uploads at once" : "one upload after the other"));
        if (Mesh.trouble()) {
            CountDownLatch go = new CountDownLatch(1);
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                Client client = clients.get(i);
                Upload upload = uploads.get(i);
                threads.add(Mesh.thread("client", () -> {
                    try {
                        go.await();
                        send(log, client, upload);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                }));
            }
            go.countDown();
            for (Thread thread : threads) {
                thread.join();
            }
        } else {
            for (int i = 0; i < CLIENTS; i++) {
                send(log, clients.get(i), uploads.get(i));
            }
        }
        over[0] = true;
        int served = 0;
        int judged = 0;
        int open = 0;
        int late = 0;
        for (Upload upload : uploads) {
            served += upload.answer.success() ? 1 : 0;
            if (Double.isNaN(upload.sentAt)) {
                continue;
            }
            judged++;
            double answeredMs = upload.answer.complete()
                    ? upload.answer.endedAt - upload.sentAt
                    : Double.POSITIVE_INFINITY;
            open += answeredMs > ROUTE_TIMEOUT_MS ? 1 : 0;
            late += answeredMs > ROUTE_TIMEOUT_MS + SLACK_MS ? 1 : 0;
        }
        log.line(CLIENTS + " uploads, " + judged + " sent whole, " + served + " served, " + upstream.runs.size()
                + " run by the upstream; unanswered " + ROUTE_TIMEOUT_MS + " ms after their last byte: " + open
                + ", and " + SLACK_MS + " ms later still: " + late + "; questions for readiness without a 200: "
                + silent.get());
        mesh.recordLogs(".*(caller-failed|module-failed|ERROR).*");
        return late >= MIN_UNANSWERED && 2 * late > open && 4 * late > judged;
    }

    public static void main(String[] args) {
        Case.main(args, 3, List.of("basalt", "marl"), Burst::run);
    }
}

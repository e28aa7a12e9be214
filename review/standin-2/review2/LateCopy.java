package review2;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * TWICE: one of two upstreams sends 2 in 100 of its answers a second time, late and broken off within the head. With
 * TROUBLE=0 it does not; it refuses and fails the same requests.
 */
final class LateCopy {
    private static final int CLIENTS = 3;
    private static final int REQUESTS_EACH = 300;
    /** Of so many requests that reach the upstream in trouble, one is refused and one is failed. */
    private static final int PERIOD = 100;

    private LateCopy() {}

    /** What the upstream in trouble answered last on a connection, to be sent again when the next answer is due. */
    private static final class Trouble implements Upstream.Work {
        private final Log log;
        private final AtomicInteger number = new AtomicInteger();
        private final Map<Socket, String> late = new ConcurrentHashMap<>();
        private final Map<Socket, Boolean> failNext = new ConcurrentHashMap<>();
        final Map<String, Integer> ran = new ConcurrentHashMap<>();
        final Map<String, Integer> failed = new ConcurrentHashMap<>();
        final AtomicInteger answers = new AtomicInteger();
        final AtomicInteger copies = new AtomicInteger();

        Trouble(Log log) {
            this.log = log;
        }

        @Override
        public boolean run(Upstream.Run run) throws IOException, InterruptedException {
            int at = number.incrementAndGet() % PERIOD;
            answers.incrementAndGet();
            String piece = late.remove(run.socket);
            if (piece != null && Mesh.trouble()) {
                copies.incrementAndGet();
                log.line("a second copy of the answer before comes late, broken off, where the answer to " + run.tryId
                        + " is due");
                run.write(piece);
            }
            if (at == PERIOD / 3) {
                // Full: the request is turned away and does not run.
                log.quiet("refuses " + run.tryId);
                String head = "HTTP/1.1 503 Service Unavailable\r\nSablehinge-Not-Run: 1\r\nContent-Type: ";
                run.write(head + "text/plain\r\nSablehinge-Try-Id: " + run.tryId + "\r\nContent-Length: 0\r\n\r\n");
                late.put(run.socket, head);
                return true;
            }
            ran.merge(run.tryId, 1, Integer::sum);
            Mesh.sleep(3);
            boolean fails = failNext.remove(run.socket) != null;
            String head = (fails ? "HTTP/1.1 500 Internal Server Error" : "HTTP/1.1 200 OK") + "\r\nContent-Type: ";
            if (fails) {
                failed.put(run.tryId, 1);
                log.quiet("fails " + run.tryId);
            }
            run.write(head + "text/plain\r\nSablehinge-Try-Id: " + run.tryId + "\r\nSablehinge-Postmark: " + run.stamp
                    + "\r\nContent-Length: 5\r\n\r\n" + (fails ? "fail\n" : "done\n"));
            if (at == 2 * PERIOD / 3) {
                late.put(run.socket, head);
                failNext.put(run.socket, true);
            }
            return true;
        }
    }

    private static void buy(Log log, Mesh mesh, Trouble trouble, List<String> ids, AtomicInteger mixed) {
        try (Client client = new Client(log, mesh.outbound(1))) {
            for (int i = 0; i < REQUESTS_EACH; i++) {
                String id = Client.newId();
                ids.add(id);
                Client.Answer answer = client.call("POST", "/buy/" + i, id, 5_000, new byte[200]);
                log.quiet("request " + id + ": " + answer);
                if (answer.success() && trouble.failed.containsKey(id)) {
                    mixed.incrementAndGet();
                    log.line("request " + id + " was failed by its upstream, and its client gets a success: " + answer
                            + ", body \"" + new String(answer.body, StandardCharsets.ISO_8859_1).strip() + "\"");
                }
                if (!answer.complete() || answer.head.closes()) {
                    log.line("a connection ended: " + answer);
                    return;
                }
            }
        } catch (IOException e) {
            log.line("no connection: " + e.getMessage());
        }
    }

    private static boolean run(Log log, Mesh mesh) throws Exception {
        Upstream first = new Upstream(log, "i-basalt-1", "basalt", mesh.app(0), mesh.control(0), 12);
        new Upstream(log, "i-marl-1", "marl", mesh.app(1), mesh.control(1), 12);
        Upstream second = new Upstream(log, "i-basalt-2", "basalt", mesh.app(2), mesh.control(2), 12);
        mesh.start(Mesh.configuration(
                1,
                mesh.depots,
                Mesh.route("r-read", "safe", "/read/", "basalt", 800, 5_000, 2),
                Mesh.route("r-buy", "unsafe", "/buy/", "basalt", 800, 5_000, 2)));
        mesh.warm("/read/1", 10);
        Trouble trouble = new Trouble(log);
        Map<String, Integer> ranThere = new ConcurrentHashMap<>();
        first.work = trouble;
        second.work = run -> {
            ranThere.merge(run.tryId, 1, Integer::sum);
            Mesh.sleep(3);
            return run.ok("done\n".getBytes(StandardCharsets.ISO_8859_1));
        };
        List<String> ids = new CopyOnWriteArrayList<>();
        AtomicInteger mixed = new AtomicInteger();
        double begunAt = log.now();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(Mesh.thread("client", () -> buy(log, mesh, trouble, ids, mixed)));
        }
        for (Thread client : clients) {
            client.join();
        }
        double tookMs = log.now() - begunAt;
        int twice = 0;
        for (String id : ids) {
            int runs = trouble.ran.getOrDefault(id, 0) + ranThere.getOrDefault(id, 0);
            if (runs > 1) {
                twice++;
                log.line("request " + id + " can't be repeated and was run " + runs + " times");
            }
        }
        log.line(ids.size() + " requests that can't be repeated in " + Math.round(tookMs) + " ms; the upstream in trouble gave " + trouble.answers
                + " answers and sent " + trouble.copies + " of them a second time; " + twice + " requests were run twice"
                + " (TWICE), " + mixed + " got a success in the place of a failure (MIXED)");
        return twice > 0 || mixed.get() > 0;
    }

    public static void main(String[] args) {
        Case.main(args, 3, List.of("basalt", "marl", "basalt"), LateCopy::run);
    }
}

package review2;

import java.io.EOFException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * REFUSED: upstreams take uploads in as they come. First an upstream crashes in the middle of an upload; then the machine
 * that takes an upload from its client gets SIGTERM. With TROUBLE=0 neither happens.
 */
final class Upload {
    private static final int BODY_BYTES = 6_000_000;
    private static final int PIECE_BYTES = 64_000;
    private static final long FAST_PAUSE_MS = 20;
    private static final long SLOW_PAUSE_MS = 60;
    private static final long CALM_MS = 3_500;
    private static final int CRASH_AFTER_BYTES = 1_500_000;

    private Upload() {}

    /** Sends an upload in pieces with pauses between them, through the given machine; returns the answer. */
    private static Client.Answer upload(Log log, Mesh mesh, int machine, String id, long pauseMs) throws IOException {
        try (Client client = new Client(log, mesh.outbound(machine))) {
            double sentAt = log.now();
            byte[] all = Client.request("POST", "/up/survey-1", id, 5_000, new byte[BODY_BYTES], "");
            try {
                for (int at = 0; at < all.length && client.socket.getInputStream().available() == 0;
                        at += PIECE_BYTES) {
                    client.write(Arrays.copyOfRange(all, at, Math.min(all.length, at + PIECE_BYTES)));
                    Mesh.sleep(pauseMs);
                }
            } catch (IOException e) {
                log.quiet("upload " + id + ": " + e.getMessage());
            }
            Client.Answer answer = client.read(sentAt, 8_000);
            log.line("upload " + id + ": " + answer);
            return answer;
        }
    }

    private static boolean run(Log log, Mesh mesh) throws Exception {
        List<Upstream> services = new ArrayList<>();
        services.add(new Upstream(log, "i-basalt-1", "basalt", mesh.app(0), mesh.control(0), 12));
        new Upstream(log, "i-marl-1", "marl", mesh.app(1), mesh.control(1), 12);
        services.add(new Upstream(log, "i-basalt-2", "basalt", mesh.app(2), mesh.control(2), 12));
        mesh.start(Mesh.configuration(
                1,
                mesh.depots,
                Mesh.route("r-read", "safe", "/read/", "basalt", 800, 5_000, 2),
                Mesh.route("r-up", "upload", "/up/", "basalt", 800, 5_000, 2)));
        mesh.warm("/read/1", 5);
        List<String> begun = new CopyOnWriteArrayList<>();
        List<String> whole = new CopyOnWriteArrayList<>();
        boolean[] crashed = {false};
        for (Upstream upstream : services) {
            upstream.streaming = (socket, in, head, tryId) -> {
                begun.add(tryId);
                log.line(upstream.id + " begins work on " + tryId + ": stores the survey as it comes");
                int length = Integer.parseInt(head.headers.getOrDefault("Content-Length", "0"));
                byte[] buffer = new byte[16_384];
                int stored = 0;
                while (stored < length) {
                    int read = in.read(buffer, 0, Math.min(buffer.length, length - stored));
                    if (read < 0) {
                        throw new EOFException("the upload ends early");
                    }
                    stored += read;
                    if (Mesh.trouble() && !crashed[0] && stored > CRASH_AFTER_BYTES) {
                        crashed[0] = true;
                        log.line(upstream.id + " crashes, with " + stored + " bytes of " + tryId + " stored");
                        upstream.crash();
                        return false;
                    }
                }
                whole.add(tryId);
                log.line(upstream.id + " has all of " + tryId);
                socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nSablehinge-Try-Id: " + tryId
                                + "\r\nSablehinge-Postmark: " + upstream.id + "." + tryId
                                + "\r\nContent-Length: 0\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
                return true;
            };
        }
        int broken = 0;
        log.line("an upload of some 3 MB a second" + (Mesh.trouble() ? "; its upstream will crash" : ""));
        String id = Client.newId();
        broken += judge(log, mesh, begun, id, upload(log, mesh, 1, id, FAST_PAUSE_MS));
        log.line("an upload of some 1 MB a second" + (Mesh.trouble() ? "; its machine will get SIGTERM" : ""));
        Mesh.sleep(CALM_MS);
        if (Mesh.trouble()) {
            Mesh.thread("platform", () -> {
                Mesh.sleep(500);
                try {
                    mesh.signal(mesh.sidecarProcesses[1], "TERM");
                    log.line("SIGTERM to the machine that takes the upload");
                } catch (IOException e) {
                    log.line("no SIGTERM: " + e.getMessage());
                }
            });
        }
        id = Client.newId();
        broken += judge(log, mesh, begun, id, upload(log, mesh, 1, id, SLOW_PAUSE_MS));
        log.line(broken + " of 2 uploads were answered with a promise that they have not run, though an upstream had begun");
        return broken > 0;
    }

    /** Counts an upload that was begun and is answered with a promise; the client then tries it again elsewhere. */
    private static int judge(Log log, Mesh mesh, List<String> begun, String id, Client.Answer answer) throws IOException {
        boolean promised = answer.complete()
                && (answer.status == 503 || answer.status == 429 || answer.status == 408 || answer.status == 421);
        if (!promised || !begun.contains(id)) {
            return 0;
        }
        log.line("upload " + id + " was begun by an upstream, and is answered with " + answer.status
                + ", which promises that it has not run; its client tries again");
        Mesh.sleep(500);
        upload(log, mesh, 2, Client.newId(), FAST_PAUSE_MS);
        return 1;
    }

    public static void main(String[] args) {
        Case.main(args, 3, List.of("basalt", "marl", "basalt"), Upload::run);
    }
}

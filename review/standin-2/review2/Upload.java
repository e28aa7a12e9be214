package review2;

import java.io.EOFException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * REFUSED: an upstream takes an upload in as it comes and crashes in the middle of it. With TROUBLE=0 it does not crash.
 */
final class Upload {
    private static final int BODY_BYTES = 6_000_000;
    private static final int PIECE_BYTES = 64_000;
    private static final int CRASH_AFTER_BYTES = 1_500_000;

    private Upload() {}

    /** Sends an upload in pieces, some 3 MB a second; returns the answer. */
    private static Client.Answer upload(Log log, Mesh mesh, String id) throws IOException {
        try (Client client = new Client(log, mesh.outbound(1))) {
            double sentAt = log.now();
            byte[] all = Client.request("POST", "/up/survey-1", id, 5_000, new byte[BODY_BYTES], "");
            try {
                for (int at = 0; at < all.length && client.socket.getInputStream().available() == 0;
                        at += PIECE_BYTES) {
                    client.write(Arrays.copyOfRange(all, at, Math.min(all.length, at + PIECE_BYTES)));
                    Mesh.sleep(20);
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
        String first = Client.newId();
        Client.Answer answer = upload(log, mesh, first);
        boolean promised = answer.complete()
                && (answer.status == 503 || answer.status == 429 || answer.status == 408 || answer.status == 421);
        boolean ran = begun.contains(first);
        if (promised) {
            // A client repeats what can't be repeated only after such a promise.
            Mesh.sleep(500);
            upload(log, mesh, Client.newId());
        }
        log.line("the first try was begun by an upstream: " + ran + "; it was answered with " + answer.status
                + (promised ? ", which promises that it has not run; the client's next try was begun too: "
                        + (begun.size() > 1) : ""));
        return promised && ran;
    }

    public static void main(String[] args) {
        Case.main(args, 3, List.of("basalt", "marl", "basalt"), Upload::run);
    }
}

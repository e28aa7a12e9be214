import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * An application upstream on one machine, as PROTOCOL tells: it beats, works on {@code berths} requests at once, and
 * answers one request at a time on a connection. How it answers is up to its {@link Work}.
 */
final class Upstream {

    /** How an upstream answers a request that is its own. */
    interface Work {

        /** Answers on the socket; returns whether the connection stays open. */
        boolean answer(Upstream upstream, Connection connection, Http.Message request) throws IOException;
    }

    /** A connection from the sidecar, and what its work keeps about it. */
    static final class Connection {
        final Socket socket;
        /** A surplus answer that is sent where the next answer is due; null for none. */
        byte[] surplus;

        Connection(Socket socket) {
            this.socket = socket;
        }
    }

    final Mesh mesh;
    final String id;
    final String service;
    final int berths;
    private final int machine;
    private final Work work;
    private long callCount;

    Upstream(Mesh mesh, int machine, int berths, Work work) {
        this.mesh = mesh;
        this.machine = machine;
        this.berths = berths;
        this.work = work;
        service = mesh.services.get(machine);
        id = "i-" + Long.toHexString(System.nanoTime()) + "-" + machine;
    }

    void start() throws IOException {
        InetSocketAddress at = mesh.machine(machine, Mesh.APP);
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(at, 128);
        daemon(() -> {
            while (true) {
                try {
                    Socket socket = listener.accept();
                    daemon(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        });
        daemon(this::beat);
        mesh.record.line("upstream %s of %s at %s", id, service, Mesh.text(at));
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void beat() {
        InetSocketAddress control = mesh.machine(machine, Mesh.CONTROL);
        String address = Mesh.text(mesh.machine(machine, Mesh.APP));
        while (true) {
            boolean acknowledged = false;
            try {
                String body = "{\"depot\":\"" + service + "\",\"address\":\"" + address
                        + "\",\"zone\":\"monza-a\",\"edition\":\"v1\",\"berths\":" + berths
                        + ",\"state\":\"ready\",\"coldLeftMs\":0,\"callCount\":" + ++callCount + "}";
                Http.Message answer = Http.call(control, 1_000, "POST", "/sablehinge/Servers.Heartbeat/" + id,
                        List.of("Host: " + Mesh.text(control), "Content-Type: application/json"),
                        body.getBytes(StandardCharsets.UTF_8));
                acknowledged = answer != null && answer.status() / 100 == 2;
            } catch (IOException e) {
                // The sidecar does not listen yet, or no longer.
            }
            Mesh.sleep(acknowledged ? 1_500 : 200);
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Connection connection = new Connection(socket);
            boolean open = true;
            while (open) {
                Http.Message request = Http.read(in);
                if (request == null) {
                    return;
                }
                if (request.path().equals("/health")) {
                    Mesh.write(socket, "HTTP/1.1 200 OK\r\nSablehinge-Answered-By: %s\r\nContent-Length: 0\r\n\r\n"
                            .formatted(id).getBytes(StandardCharsets.ISO_8859_1));
                    continue;
                }
                String tryId = request.header("sablehinge-try-id");
                String to = request.header("sablehinge-deliver-to");
                if (tryId == null || to != null && !to.equals(id)) {
                    Mesh.write(socket, notRun(tryId == null ? "400 Bad Request" : "421 Misdirected Request", tryId));
                    continue;
                }
                open = work.answer(this, connection, request) && !request.closes();
            }
        } catch (IOException e) {
            // The sidecar has closed the connection.
        }
    }

    /** An answer that says that the request has not run. */
    static byte[] notRun(String status, String tryId) {
        return ("HTTP/1.1 " + status + "\r\nSablehinge-Not-Run: 1\r\n"
                + (tryId == null ? "" : "Sablehinge-Try-Id: " + tryId + "\r\n") + "Content-Length: 0\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** The head of a success with a postmark. */
    static byte[] head(String tryId, String postmark, long length) {
        return ("HTTP/1.1 200 OK\r\nSablehinge-Try-Id: " + tryId + "\r\nSablehinge-Postmark: " + postmark
                + "\r\nContent-Length: " + length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }
}

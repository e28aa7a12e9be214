package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;

/** A stand-in for an application upstream: beats, runs requests, stamps its answers and records what it ran. */
final class Upstream implements AutoCloseable {
    /** What an upstream does with a request that it runs. */
    interface Work {
        /** Answers; returns whether the connection stays open. */
        boolean run(Run run) throws IOException, InterruptedException;
    }

    /** One run. */
    final class Run {
        final Socket socket;
        final Wire.Head head;
        final byte[] body;
        final String tryId;
        final String stamp;

        Run(Socket socket, Wire.Head head, byte[] body, String tryId) {
            this.socket = socket;
            this.head = head;
            this.body = body;
            this.tryId = tryId;
            stamp = id + "." + stamps.incrementAndGet();
        }

        void write(String text) throws IOException {
            write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        void write(byte[] bytes) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(bytes);
            out.flush();
        }

        /** Writes the head of a 200 answer whose body has the given length. */
        void headOf(int length) throws IOException {
            write("HTTP/1.1 200 OK\r\nSablehinge-Try-Id: " + tryId + "\r\nSablehinge-Postmark: " + stamp
                    + "\r\nContent-Length: " + length + "\r\n\r\n");
        }

        boolean ok(byte[] answer) throws IOException {
            byte[] head = ("HTTP/1.1 200 OK\r\nSablehinge-Try-Id: " + tryId + "\r\nSablehinge-Postmark: " + stamp
                            + "\r\nContent-Length: " + answer.length + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1);
            byte[] all = new byte[head.length + answer.length];
            System.arraycopy(head, 0, all, 0, head.length);
            System.arraycopy(answer, 0, all, head.length, answer.length);
            write(all);
            return true;
        }
    }

    final String id;
    private final Log log;
    private final String depot;
    private final InetSocketAddress address;
    private final InetSocketAddress control;
    private final int berths;
    private final ServerSocket listener = new ServerSocket();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final AtomicLong stamps = new AtomicLong();
    private final Semaphore slots;
    private final AtomicLong callCount = new AtomicLong();
    /** Runs by try id, with their number. */
    final ConcurrentHashMap<String, Integer> runs = new ConcurrentHashMap<>();
    /** Try ids whose answer was written completely. */
    final Set<String> answered = ConcurrentHashMap.newKeySet();

    /** What it does with the head of a POST before it reads the body; null to read the body first. */
    interface Streaming {
        /** Handles the request whose body is still to be read from {@code in}; returns whether to go on. */
        boolean run(Socket socket, InputStream in, Wire.Head head, String tryId)
                throws IOException, InterruptedException;
    }

    volatile Streaming streaming;
    volatile Work work = run -> run.ok("done\n".getBytes(StandardCharsets.ISO_8859_1));
    volatile boolean beating = true;
    volatile String state = "ready";
    volatile boolean closed;

    Upstream(Log log, String id, String depot, InetSocketAddress address, InetSocketAddress control, int berths)
            throws IOException {
        this.log = log;
        this.id = id;
        this.depot = depot;
        this.address = address;
        this.control = control;
        this.berths = berths;
        slots = new Semaphore(berths, true);
        listener.setReuseAddress(true);
        listener.bind(address, 110);
        Mesh.thread("accept " + id, this::accept);
        Mesh.thread("beat " + id, this::beats);
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = listener.accept();
                open.add(socket);
                Mesh.thread("serve " + id, () -> serve(socket));
            } catch (IOException e) {
                // Closed.
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            boolean keep = true;
            while (keep) {
                Wire.Head head = Wire.head(in);
                if (head == null) {
                    return;
                }
                Streaming streams = streaming;
                if (streams != null && head.word(0).equals("POST")) {
                    String deliverTo = head.headers.get("Sablehinge-Deliver-To");
                    if (deliverTo == null || deliverTo.equals(id)) {
                        keep = streams.run(socket, in, head, head.headers.get("Sablehinge-Try-Id"));
                        continue;
                    }
                }
                byte[] body = Wire.body(in, head);
                keep = handle(socket, head, body) && !head.closes();
            }
        } catch (IOException e) {
            log.quiet(id + ": a connection ended: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            open.remove(socket);
        }
    }

    private boolean handle(Socket socket, Wire.Head head, byte[] body) throws IOException, InterruptedException {
        String tryId = head.headers.get("Sablehinge-Try-Id");
        String deliverTo = head.headers.get("Sablehinge-Deliver-To");
        String reject = tryId == null ? "400 Bad Request" : deliverTo != null && !deliverTo.equals(id)
                ? "421 Misdirected Request" : null;
        if (reject != null) {
            socket.getOutputStream().write(("HTTP/1.1 " + reject + "\r\nSablehinge-Not-Run: 1\r\n"
                    + (tryId == null ? "" : "Sablehinge-Try-Id: " + tryId + "\r\n") + "Content-Length: 0\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            return true;
        }
        slots.acquire();
        try {
            runs.merge(tryId, 1, Integer::sum);
            log.quiet(id + " runs " + tryId + " " + head.first + ", " + body.length + " bytes");
            boolean keep = work.run(new Run(socket, head, body, tryId));
            answered.add(tryId);
            log.quiet(id + " has answered " + tryId);
            return keep;
        } finally {
            slots.release();
        }
    }

    /** The body of a beat with the next call count. */
    byte[] beat() {
        return ("{\"depot\":\"" + depot + "\",\"address\":\"" + Mesh.text(address)
                        + "\",\"zone\":\"valley\",\"edition\":\"v1\",\"berths\":" + berths + ",\"state\":\"" + state
                        + "\",\"coldLeftMs\":0,\"callCount\":" + callCount.incrementAndGet() + "}")
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Sends a call to the control address; returns whether it was acknowledged. */
    boolean send(String call, byte[] body) {
        int status = Mesh.post(control, "/sablehinge/" + call + "/" + id, "", body, 1_000);
        return status / 100 == 2;
    }

    private void beats() {
        while (!closed) {
            if (beating && !send("Servers.Heartbeat", beat())) {
                Mesh.sleep(150);
            } else {
                Mesh.sleep(Mesh.BEAT_MS);
            }
        }
    }

    /** Ends at once, as a process that is killed: its connections are reset. */
    void crash() {
        closed = true;
        try {
            listener.close();
            for (Socket socket : open) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        } catch (IOException e) {
            // Closed already.
        }
    }

    @Override
    public void close() {
        closed = true;
        try {
            listener.close();
            for (Socket socket : open) {
                socket.close();
            }
        } catch (IOException e) {
            // Closed already.
        }
    }
}

package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;

/** A client's connection to the outbound address of its machine. */
final class Client implements AutoCloseable {
    /** What came back: status 0 if no head came; {@code cut} tells how an incomplete answer ended. */
    static final class Answer {
        int status;
        Wire.Head head;
        byte[] body = {};
        String cut;
        double sentAt;
        double endedAt;

        boolean complete() {
            return cut == null;
        }

        boolean success() {
            return complete() && status / 100 == 2;
        }

        @Override
        public String toString() {
            return (status == 0 ? "no answer" : "status " + status) + (cut == null ? ", whole" : ", cut: " + cut)
                    + String.format(", after %.0f ms", endedAt - sentAt);
        }
    }

    final Socket socket = new Socket();
    private final InputStream in;
    private final Log log;

    Client(Log log, InetSocketAddress to) throws IOException {
        this.log = log;
        socket.setTcpNoDelay(true);
        socket.connect(to, 1_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static String newId() {
        return Long.toHexString(ThreadLocalRandom.current().nextLong() | 1L << 63);
    }

    static byte[] request(String method, String path, String id, long timeLeftMs, byte[] body, String more) {
        byte[] head = (method + " " + path + " HTTP/1.1\r\nHost: " + Mesh.HOST + "\r\nSablehinge-Try-Id: " + id
                        + "\r\nSablehinge-Time-Left: " + timeLeftMs + "\r\nSablehinge-Key: " + Mesh.KEY + "\r\n"
                        + (body.length > 0 || !method.equals("GET") ? "Content-Length: " + body.length + "\r\n" : "")
                        + more + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    void write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    /** Reads the next answer, for at most {@code waitMs}. */
    Answer read(double sentAt, long waitMs) {
        Answer answer = new Answer();
        answer.sentAt = sentAt;
        try {
            socket.setSoTimeout((int) waitMs);
            answer.head = Wire.head(in);
            if (answer.head == null) {
                answer.cut = "closed";
            } else {
                answer.status = answer.head.status();
                answer.body = Wire.body(in, answer.head);
            }
        } catch (SocketTimeoutException e) {
            answer.cut = "nothing within " + waitMs + " ms";
        } catch (IOException e) {
            answer.cut = String.valueOf(e.getMessage());
        }
        answer.endedAt = log.now();
        return answer;
    }

    /** Sends one request and reads its answer. */
    Answer call(String method, String path, String id, long timeLeftMs, byte[] body) {
        double sentAt = log.now();
        try {
            write(request(method, path, id, timeLeftMs, body, ""));
        } catch (IOException e) {
            Answer answer = read(sentAt, 1_000);
            if (answer.status == 0) {
                answer.cut = "write: " + e.getMessage();
            }
            return answer;
        }
        return read(sentAt, timeLeftMs + 1_500);
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // It is gone already.
        }
    }
}

package sablehinge.tools.standin.mesh;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A connection of a caller: requests go out, answers come back in their order. */
final class ClientCall implements AutoCloseable {

    private static final int CHUNK = 7_000;
    /** Room for what has come and is not read yet, of a caller that reads slowly; bytes. */
    private static final int SLOW_BUFFER = 16 * 1024;

    private final Socket socket = new Socket();
    private final InputStream in;

    ClientCall(InetSocketAddress to, int timeoutMs) throws IOException {
        this(to, timeoutMs, false);
    }

    /** Likewise; one that reads slowly lets little of an answer in at a time. */
    ClientCall(InetSocketAddress to, int timeoutMs, boolean readsSlowly) throws IOException {
        try {
            if (readsSlowly) {
                socket.setReceiveBufferSize(SLOW_BUFFER);
            }
            socket.connect(to, timeoutMs);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMs);
            InputStream received = socket.getInputStream();
            in = new BufferedInputStream(readsSlowly ? new SlowInputStream(received) : received);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    /** Sends a request with its body in chunks or with a length. */
    void send(String method, String uri, Map<String, String> headers, byte[] body, boolean chunked) throws IOException {
        byte[] request = request(method, uri, headers, body, chunked);
        write(request, 0, request.length);
    }

    /** Sends a part of a request. */
    void write(byte[] bytes, int from, int count) throws IOException {
        socket.getOutputStream().write(bytes, from, count);
    }

    /** The bytes of a request with its body in chunks or with a length. */
    static byte[] request(String method, String uri, Map<String, String> headers, byte[] body, boolean chunked) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        text(out, method + " " + uri + " HTTP/1.1\r\n");
        for (Map.Entry<String, String> header : headers.entrySet()) {
            text(out, header.getKey() + ": " + header.getValue() + "\r\n");
        }
        body(out, body, chunked && body.length > 0, body.length > 0 || !method.equals("GET"));
        return out.toByteArray();
    }

    /** The end of a head, and the body. */
    static void body(ByteArrayOutputStream out, byte[] body, boolean chunked, boolean has) {
        if (chunked) {
            text(out, "Transfer-Encoding: chunked\r\n\r\n");
            for (int from = 0; from < body.length; from += CHUNK) {
                int size = Math.min(CHUNK, body.length - from);
                text(out, Integer.toHexString(size) + "\r\n");
                out.write(body, from, size);
                text(out, "\r\n");
            }
            text(out, "0\r\n\r\n");
        } else {
            text(out, has ? "Content-Length: " + body.length + "\r\n\r\n" : "\r\n");
            out.write(body, 0, body.length);
        }
    }

    static void text(ByteArrayOutputStream out, String text) {
        out.writeBytes(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** The next answer; null where the connection has ended. */
    Message receive() throws IOException {
        return Message.read(in);
    }

    /** One request on a connection of its own. */
    static Message once(
            InetSocketAddress to, int timeoutMs, String method, String uri, Map<String, String> headers, byte[] body)
            throws IOException {
        try (ClientCall call = new ClientCall(to, timeoutMs)) {
            call.send(method, uri, headers, body, false);
            return call.receive();
        }
    }

    /** An address from its text. */
    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // It is gone all the same.
        }
    }
}

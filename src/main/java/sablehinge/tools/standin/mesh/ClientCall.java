package sablehinge.tools.standin.mesh;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A client connection that sends requests and receives the responses in order. */
final class ClientCall implements AutoCloseable {

    private static final int CHUNK_BYTES = 7_000;
    /** The socket receive buffer of a client that reads slowly, in bytes. */
    private static final int SLOW_RECEIVE_BUFFER_BYTES = 16 * 1024;

    private final Socket socket = new Socket();
    private final InputStream in;
    private boolean responseBegun;

    ClientCall(InetSocketAddress to, int timeoutMs) throws IOException {
        this(to, timeoutMs, false);
    }

    /** Connects; {@code readsSlowly} limits how fast responses are read, for backpressure. */
    ClientCall(InetSocketAddress to, int timeoutMs, boolean readsSlowly) throws IOException {
        try {
            if (readsSlowly) {
                socket.setReceiveBufferSize(SLOW_RECEIVE_BUFFER_BYTES);
            }
            socket.connect(to, timeoutMs);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMs);
            InputStream source = socket.getInputStream();
            in = new BufferedInputStream(readsSlowly ? new SlowInputStream(source) : source);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    /** Sends a request with a chunked body or a content length. */
    void send(String method, String uri, Map<String, String> headers, byte[] body, boolean chunked) throws IOException {
        byte[] request = request(method, uri, headers, body, chunked);
        write(request, 0, request.length);
    }

    /** Sends a part of a request. */
    void write(byte[] bytes, int from, int count) throws IOException {
        socket.getOutputStream().write(bytes, from, count);
    }

    /** Encodes a request with a chunked body or a content length. */
    static byte[] request(String method, String uri, Map<String, String> headers, byte[] body, boolean chunked) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        text(out, method + " " + uri + " HTTP/1.1\r\n");
        for (Map.Entry<String, String> header : headers.entrySet()) {
            text(out, header.getKey() + ": " + header.getValue() + "\r\n");
        }
        body(out, body, chunked && body.length > 0, body.length > 0 || !method.equals("GET"));
        return out.toByteArray();
    }

    /** Writes the end of a head, and the body. */
    static void body(ByteArrayOutputStream out, byte[] body, boolean chunked, boolean hasBody) {
        if (chunked) {
            text(out, "Transfer-Encoding: chunked\r\n\r\n");
            for (int from = 0; from < body.length; from += CHUNK_BYTES) {
                int size = Math.min(CHUNK_BYTES, body.length - from);
                text(out, Integer.toHexString(size) + "\r\n");
                out.write(body, from, size);
                text(out, "\r\n");
            }
            text(out, "0\r\n\r\n");
        } else {
            text(out, hasBody ? "Content-Length: " + body.length + "\r\n\r\n" : "\r\n");
            out.write(body, 0, body.length);
        }
    }

    static void text(ByteArrayOutputStream out, String text) {
        out.writeBytes(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Receives the next response; returns null if the connection has ended. */
    Message receive() throws IOException {
        responseBegun = false;
        in.mark(1);
        responseBegun = in.read() >= 0;
        in.reset();
        return Message.read(in);
    }

    /** Whether a part of the response was received that {@link #receive} returned, or failed to. */
    boolean isResponseBegun() {
        return responseBegun;
    }

    /** Sends one request on a new connection and returns the response. */
    static Message once(
            InetSocketAddress to, int timeoutMs, String method, String uri, Map<String, String> headers, byte[] body)
            throws IOException {
        try (ClientCall call = new ClientCall(to, timeoutMs)) {
            call.send(method, uri, headers, body, false);
            return call.receive();
        }
    }

    /** Parses an address HOST:PORT. */
    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // The socket is released nevertheless.
        }
    }
}

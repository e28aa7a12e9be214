package sablehinge.dataplane.sidecar;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** One end of a plain HTTP/1.1 connection; reads bodies with Content-Length and chunked bodies. */
final class PlainConnection implements AutoCloseable {

    private static final int TIMEOUT_MS = 20_000;
    final Socket socket;
    private final InputStream in;

    /** A received message. */
    record Message(String startLine, List<String> headers, String body) {

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        /** All values of a header. */
        List<String> headerValues(String name) {
            List<String> values = new ArrayList<>();
            for (String header : headers) {
                if (header.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
                    values.add(header.substring(name.length() + 1).strip());
                }
            }
            return values;
        }

        /** The single value of a header, or null. */
        String header(String name) {
            List<String> values = headerValues(name);
            if (values.size() > 1) {
                throw new AssertionError(name + " is repeated: " + values);
            }
            return values.isEmpty() ? null : values.get(0);
        }

        String id() {
            return header("Sablehinge-Try-Id");
        }
    }

    PlainConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        in = socket.getInputStream();
    }

    static PlainConnection to(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        Socket socket = new Socket();
        socket.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                TIMEOUT_MS);
        return new PlainConnection(socket);
    }

    PlainConnection write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return this;
    }

    /** Sends a request and reads its response. */
    Message request(String request) throws IOException {
        return write(request).read();
    }

    /** Reads the next message; null at the end of the connection. Fails if the connection ends within a message. */
    Message read() throws IOException {
        String first = line();
        if (first == null) {
            return null;
        }
        List<String> headers = new ArrayList<>();
        for (String line = line(); !"".equals(line); line = line()) {
            if (line == null) {
                throw new EOFException("the head is incomplete");
            }
            headers.add(line);
        }
        Message head = new Message(first, headers, "");
        String length = head.header("Content-Length");
        return new Message(
                first,
                headers,
                "chunked".equals(head.header("Transfer-Encoding"))
                        ? chunks()
                        : text(length == null ? 0 : Integer.parseInt(length)));
    }

    private String text(int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the body is incomplete");
        }
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    private String chunks() throws IOException {
        StringBuilder body = new StringBuilder();
        while (true) {
            String size = line();
            if (size == null) {
                throw new EOFException("the body is incomplete");
            }
            int length = Integer.parseInt(size.split(";")[0].strip(), 16);
            body.append(text(length));
            if (!"".equals(line())) {
                throw new EOFException("a chunk is incomplete");
            }
            if (length == 0) {
                return body.toString();
            }
        }
    }

    private String line() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1);
            }
            if (c != '\r') {
                line.write(c);
            }
        }
        return null;
    }

    /** Resets the connection. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}

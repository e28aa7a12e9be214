import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** HTTP/1.1 as the stand-ins speak it. */
final class Http {

    private Http() {}

    /** A message; header names are in lower case. */
    record Message(String start, Map<String, String> headers, byte[] body) {

        int status() {
            String[] words = start.split(" ");
            return words.length > 1 ? Integer.parseInt(words[1]) : 0;
        }

        String method() {
            return start.split(" ")[0];
        }

        String path() {
            return start.split(" ")[1];
        }

        String header(String name) {
            return headers.get(name);
        }

        boolean closes() {
            return headers.getOrDefault("connection", "").toLowerCase(java.util.Locale.ROOT).contains("close");
        }
    }

    /** Encodes a request; {@code body} is null for none. */
    static byte[] request(String method, String path, List<String> headers, byte[] body) {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
        for (String header : headers) {
            head.append(header).append("\r\n");
        }
        if (body != null) {
            head.append("Content-Length: " + body.length + "\r\n");
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        if (body != null) {
            out.writeBytes(body);
        }
        return out.toByteArray();
    }

    static Message call(
            InetSocketAddress to, int timeoutMs, String method, String path, List<String> headers, byte[] body)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(to, timeoutMs);
            socket.setSoTimeout(timeoutMs);
            Mesh.write(socket, request(method, path, headers, body));
            return read(new BufferedInputStream(socket.getInputStream()));
        }
    }

    /** Reads a message with its whole body; null if the connection ends before it. */
    static Message read(InputStream in) throws IOException {
        String start = line(in, true);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in, false); !line.isEmpty(); line = line(in, false)) {
            int colon = line.indexOf(':');
            if (colon < 1) {
                throw new IOException("no header: " + line);
            }
            headers.put(line.substring(0, colon).toLowerCase(java.util.Locale.ROOT), line.substring(colon + 1).strip());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            for (int size = size(in); size > 0; size = size(in)) {
                copy(in, body, size);
                line(in, false);
            }
            while (!line(in, false).isEmpty()) {
                // No trailer matters.
            }
        } else if (headers.containsKey("content-length")) {
            copy(in, body, Integer.parseInt(headers.get("content-length")));
        } else if (start.startsWith("HTTP/")) {
            in.transferTo(body);
        }
        return new Message(start, headers, body.toByteArray());
    }

    private static int size(InputStream in) throws IOException {
        return Integer.parseInt(line(in, false).split(";")[0].strip(), 16);
    }

    private static void copy(InputStream in, ByteArrayOutputStream out, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        out.writeBytes(bytes);
        if (bytes.length < size) {
            throw new EOFException("the connection ended within a body, after " + bytes.length + " of " + size);
        }
    }

    private static String line(InputStream in, boolean first) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (first && line.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended within a head");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}

package sablehinge.tools.standin.mesh;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.zip.CRC32;

/**
 * An HTTP/1.1 message with its complete body.
 *
 * @param start the start line
 * @param headers the headers by lower-case name
 */
record Message(String start, Map<String, String> headers, byte[] body) {

    private static final int MAX_LINE_BYTES = 1 << 16;
    private static final int MAX_BODY_BYTES = 1 << 26;

    /** Returns a word of the start line, counted from 0. */
    String word(int index) {
        String[] words = start.split(" ", 3);
        return index < words.length ? words[index] : "";
    }

    /** Returns the status code of a response; 0 if there is none. */
    int status() {
        String text = word(1);
        return text.matches("\\d{3}") ? Integer.parseInt(text) : 0;
    }

    /** Returns the value of a header, or null. */
    String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    /** Returns whether the connection closes after this message. */
    boolean closes() {
        String value = header("Connection");
        return value != null && value.toLowerCase(Locale.ROOT).contains("close");
    }

    /** Returns the checksum of a body. */
    static long sum(byte[] body) {
        CRC32 crc = new CRC32();
        crc.update(body);
        return crc.getValue();
    }

    /** Reads the next message; returns null if the connection ends before the message starts. */
    static Message read(InputStream in) throws IOException {
        String start = line(in, true);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in, false); !line.isEmpty(); line = line(in, false)) {
            int colon = line.indexOf(':');
            if (colon < 1) {
                throw new IOException("malformed header line: " + line);
            }
            headers.merge(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip(),
                    (a, b) -> a + ", " + b);
        }
        boolean bodyless =
                start.startsWith("HTTP/1.1 1") || start.startsWith("HTTP/1.1 204") || start.startsWith("HTTP/1.1 304");
        return new Message(start, headers, bodyless ? new byte[0] : body(in, start, headers));
    }

    private static byte[] body(InputStream in, String start, Map<String, String> headers) throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                body.write(readFully(in, size));
                line(in, false);
            }
            while (!line(in, false).isEmpty()) {
                // Trailers are ignored.
            }
            return body.toByteArray();
        }
        String length = headers.get("content-length");
        if (length != null) {
            return readFully(in, Integer.parseInt(length));
        }
        return start.startsWith("HTTP/") ? in.readNBytes(MAX_BODY_BYTES) : new byte[0];
    }

    private static int chunkSize(InputStream in) throws IOException {
        return Integer.parseInt(line(in, false).split(";")[0].strip(), 16);
    }

    private static byte[] readFully(InputStream in, int size) throws IOException {
        if (size < 0 || size > MAX_BODY_BYTES) {
            throw new IOException("a body of " + size + " bytes");
        }
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("connection closed within a body");
        }
        return bytes;
    }

    private static String line(InputStream in, boolean startLine) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (startLine && line.size() == 0) {
                    return null;
                }
                throw new EOFException("connection closed within a head");
            }
            if (line.size() > MAX_LINE_BYTES) {
                throw new IOException("header line is too long");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}

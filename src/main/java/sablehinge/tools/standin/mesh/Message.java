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
 * An HTTP/1.1 message that has been read completely.
 *
 * @param start its first line
 * @param headers by their names in small letters
 */
record Message(String start, Map<String, String> headers, byte[] body) {

    private static final int MAX_LINE = 1 << 16;
    private static final int MAX_BODY = 1 << 26;

    /** The word of the first line at a place, counted from 0. */
    String word(int place) {
        String[] words = start.split(" ", 3);
        return place < words.length ? words[place] : "";
    }

    /** The status of an answer; 0 where there is none. */
    int status() {
        String text = word(1);
        return text.matches("\\d{3}") ? Integer.parseInt(text) : 0;
    }

    /** A header's value, or null. */
    String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    /** Whether the connection ends behind this message. */
    boolean closes() {
        String value = header("Connection");
        return value != null && value.toLowerCase(Locale.ROOT).contains("close");
    }

    /** A check sum of a body. */
    static long sum(byte[] body) {
        CRC32 crc = new CRC32();
        crc.update(body);
        return crc.getValue();
    }

    /** Reads the next message; null where the connection ends before it begins. */
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
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int size = size(in); size > 0; size = size(in)) {
                all.write(complete(in, size));
                line(in, false);
            }
            while (!line(in, false).isEmpty()) {
                // A trailer says nothing here.
            }
            return all.toByteArray();
        }
        String length = headers.get("content-length");
        if (length != null) {
            return complete(in, Integer.parseInt(length));
        }
        return start.startsWith("HTTP/") ? in.readNBytes(MAX_BODY) : new byte[0];
    }

    private static int size(InputStream in) throws IOException {
        return Integer.parseInt(line(in, false).split(";")[0].strip(), 16);
    }

    private static byte[] complete(InputStream in, int size) throws IOException {
        if (size < 0 || size > MAX_BODY) {
            throw new IOException("a body of " + size + " bytes");
        }
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("a body ends early");
        }
        return bytes;
    }

    private static String line(InputStream in, boolean first) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (first && line.size() == 0) {
                    return null;
                }
                throw new EOFException("a head ends early");
            }
            if (line.size() > MAX_LINE) {
                throw new IOException("a line is too long");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}

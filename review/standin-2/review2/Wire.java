package review2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads messages of HTTP/1.1. */
final class Wire {
    /** The head of a message. */
    static final class Head {
        String first = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

        String word(int i) {
            return first.split(" ", 3)[i];
        }

        int status() {
            return Integer.parseInt(word(1));
        }

        boolean chunked() {
            return headers.getOrDefault("Transfer-Encoding", "").toLowerCase(Locale.ROOT).contains("chunked");
        }

        boolean closes() {
            return headers.getOrDefault("Connection", "").toLowerCase(Locale.ROOT).contains("close");
        }
    }

    private Wire() {}

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new EOFException("ends within a line");
            }
            bytes.write(b);
        }
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    /** Reads a head; null if the connection ended before its first byte. */
    static Head head(InputStream in) throws IOException {
        Head head = new Head();
        String first = line(in);
        if (first == null) {
            return null;
        }
        head.first = first;
        for (String line = line(in); line == null || !line.isEmpty(); line = line(in)) {
            if (line == null) {
                throw new EOFException("ends within a head");
            }
            int colon = line.indexOf(':');
            head.headers.put(line.substring(0, colon).strip(), line.substring(colon + 1).strip());
        }
        return head;
    }

    /** Reads a body of a known end; throws EOFException if it is cut. */
    static byte[] body(InputStream in, Head head) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        if (head.chunked()) {
            while (true) {
                String size = line(in);
                if (size == null) {
                    throw new EOFException("ends between chunks after " + out.size() + " bytes");
                }
                int length = Integer.parseInt(size.split(";")[0].strip(), 16);
                if (length == 0) {
                    for (String t = line(in); t != null && !t.isEmpty(); t = line(in)) {
                        // Trailers are skipped.
                    }
                    return out.toByteArray();
                }
                copy(in, out, length);
                line(in);
            }
        }
        copy(in, out, Integer.parseInt(head.headers.getOrDefault("Content-Length", "0")));
        return out.toByteArray();
    }

    private static void copy(InputStream in, ByteArrayOutputStream out, int length) throws IOException {
        byte[] buffer = new byte[16_384];
        int left = length;
        while (left > 0) {
            int read = in.read(buffer, 0, Math.min(left, buffer.length));
            if (read < 0) {
                throw new EOFException("ends after " + out.size() + " bytes of the body, " + left + " missing");
            }
            out.write(buffer, 0, read);
            left -= read;
        }
    }
}

package sablehinge.tools.replay;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Takes a stream apart into lines; one that is too long is passed over without being held. */
final class LineReader {

    /** Bytes of a line at most: four times what servers let a request line and its headers have together. */
    static final int MAX_BYTES = 1 << 18;

    private static final int BUFFER = 1 << 16;

    private final InputStream in;
    private final byte[] buffer = new byte[BUFFER];
    private int from;
    private int to;
    private byte[] begun = new byte[1 << 10];
    private int begunBytes;
    private long number;
    private boolean tooLong;

    LineReader(InputStream in) {
        this.in = in;
    }

    /** The next line without its end; null after the last. Empty for one that is {@link #tooLong}. */
    String next() throws IOException {
        begunBytes = 0;
        tooLong = false;
        while (true) {
            if (from == to) {
                int read = in.read(buffer, 0, buffer.length);
                if (read < 0) {
                    if (begunBytes == 0 && !tooLong) {
                        return null;
                    }
                    number++;
                    return text(begun, 0, begunBytes);
                }
                from = 0;
                to = read;
            }
            int end = from;
            while (end < to && buffer[end] != '\n') {
                end++;
            }
            if (end < to && begunBytes == 0 && !tooLong) {
                String line = text(buffer, from, end - from);
                from = end + 1;
                number++;
                return line;
            }
            keep(end - from);
            from = end;
            if (end < to) {
                from++;
                number++;
                return text(begun, 0, begunBytes);
            }
        }
    }

    private void keep(int count) {
        if (tooLong || begunBytes + count > MAX_BYTES) {
            tooLong = true;
            begunBytes = 0;
            return;
        }
        if (begunBytes + count > begun.length) {
            begun = Arrays.copyOf(begun, Math.min(MAX_BYTES, Math.max(begunBytes + count, begun.length * 2)));
        }
        System.arraycopy(buffer, from, begun, begunBytes, count);
        begunBytes += count;
    }

    private static String text(byte[] bytes, int from, int count) {
        int length = count > 0 && bytes[from + count - 1] == '\r' ? count - 1 : count;
        return new String(bytes, from, length, StandardCharsets.UTF_8);
    }

    /** The number of the last line, counted from 1. */
    long number() {
        return number;
    }

    /** Whether the last line had more bytes than are taken. */
    boolean tooLong() {
        return tooLong;
    }
}

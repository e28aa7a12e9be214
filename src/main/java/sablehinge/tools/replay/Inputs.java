package sablehinge.tools.replay;

import io.airlift.compress.zstd.ZstdInputStream;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.zip.GZIPInputStream;

/**
 * Opens logs by name, {@code -} for standard input, and unpacks gzip (RFC 1952) and Zstandard (RFC 8878), which it
 * knows by their first bytes and not by the name.
 */
final class Inputs {

    /** Standard input's name. */
    static final String STDIN = "-";

    private static final int BUFFER = 1 << 16;

    private Inputs() {}

    /** A log's plain bytes; the error says in its message what is wrong, without the name. */
    static Peekable open(String name, InputStream standard) throws IOException {
        if (name.equals(STDIN)) {
            return plain(standard);
        }
        Path path = Path.of(name);
        if (!Files.exists(path)) {
            throw new IOException("there is no such file");
        }
        if (Files.isDirectory(path)) {
            throw new IOException("is a directory, expected a log");
        }
        return plain(Files.newInputStream(path));
    }

    private static Peekable plain(InputStream raw) throws IOException {
        Peekable in = new Peekable(raw);
        int count = in.peek(4);
        int magic = 0;
        for (int i = 0; i < count; i++) {
            magic |= (in.buffer[i] & 0xff) << 8 * i;
        }
        if (count >= 2 && (magic & 0xffff) == 0x8b1f) {
            return new Peekable(new GZIPInputStream(in, BUFFER));
        }
        if (count == 4 && ZstdFrames.begins(magic)) {
            return new Peekable(new ZstdInputStream(new ZstdFrames(in)));
        }
        return in;
    }

    /**
     * A stream whose next bytes can be looked at. It knows where it ends: a reader of gzip takes 0 bytes available for
     * the end and would drop the members that a pipe has not brought yet.
     */
    static final class Peekable extends FilterInputStream {

        private final byte[] buffer = new byte[BUFFER];
        private int from;
        private int to;

        Peekable(InputStream in) {
            super(in);
        }

        /** Fills the buffer from its start up to so many bytes, if there are so many; how many it has. */
        int peek(int wanted) throws IOException {
            System.arraycopy(buffer, from, buffer, 0, to - from);
            to -= from;
            from = 0;
            while (to < wanted) {
                int read = in.read(buffer, to, buffer.length - to);
                if (read < 0) {
                    break;
                }
                to += read;
            }
            return Math.min(wanted, to);
        }

        /** The bytes that {@link #peek} has shown. */
        String peeked(int count) {
            return new String(buffer, 0, Math.min(count, to), java.nio.charset.StandardCharsets.UTF_8);
        }

        private boolean fill() throws IOException {
            if (from == to) {
                from = 0;
                to = Math.max(0, in.read(buffer, 0, buffer.length));
            }
            return to > from;
        }

        @Override
        public int available() throws IOException {
            return fill() ? to - from : 0;
        }

        @Override
        public int read() throws IOException {
            return fill() ? buffer[from++] & 0xff : -1;
        }

        @Override
        public int read(byte[] bytes, int offset, int length) throws IOException {
            if (length == 0) {
                return 0;
            }
            if (!fill()) {
                return -1;
            }
            int count = Math.min(length, to - from);
            System.arraycopy(buffer, from, bytes, offset, count);
            from += count;
            return count;
        }

        @Override
        public boolean markSupported() {
            return false;
        }
    }
}

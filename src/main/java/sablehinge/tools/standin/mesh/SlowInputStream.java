package sablehinge.tools.standin.mesh;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;
import java.util.concurrent.TimeUnit;

/** Reads a little at a time with pauses between, as a caller on a slow line does. */
final class SlowInputStream extends FilterInputStream {

    /** The most that is read at once, in bytes, and the pause after it. */
    private static final int PIECE = 64 * 1024;

    private static final long PAUSE_MS = 80;

    SlowInputStream(InputStream from) {
        super(from);
    }

    /** For how long at least it pauses while it reads so many bytes, ms. */
    static long pausesMs(long bytes) {
        return bytes / PIECE * PAUSE_MS;
    }

    @Override
    public int read(byte[] into, int offset, int length) throws IOException {
        int count = super.read(into, offset, Math.min(length, PIECE));
        try {
            TimeUnit.MILLISECONDS.sleep(count * PAUSE_MS / PIECE);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException();
        }
        return count;
    }
}

package sablehinge.tools.standin.mesh;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;
import java.util.concurrent.TimeUnit;

/** Reads small pieces with pauses, like a client on a slow network link. */
final class SlowInputStream extends FilterInputStream {

    /** The maximum number of bytes per read; {@link #PAUSE_MS} is the pause after a read of that size. */
    private static final int MAX_READ_BYTES = 64 * 1024;

    private static final long PAUSE_MS = 80;

    SlowInputStream(InputStream source) {
        super(source);
    }

    /** Returns the minimum total pause in ms for reading a number of bytes. */
    static long pausesMs(long bytes) {
        return bytes / MAX_READ_BYTES * PAUSE_MS;
    }

    @Override
    public int read(byte[] into, int offset, int length) throws IOException {
        int count = super.read(into, offset, Math.min(length, MAX_READ_BYTES));
        try {
            TimeUnit.MILLISECONDS.sleep(count * PAUSE_MS / MAX_READ_BYTES);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException();
        }
        return count;
    }
}

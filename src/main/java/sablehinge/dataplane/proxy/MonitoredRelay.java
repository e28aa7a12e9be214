package sablehinge.dataplane.proxy;

/** A relay of bytes from one connection to another, as the stall watch sees it. */
public interface MonitoredRelay {

    /** The number of the connection that is written to. */
    int connection();

    /** Bytes passed to the writer so far. */
    long bytesForwarded();

    /** Bytes buffered in the writer that the kernel has not accepted yet. */
    long unwrittenBytes();

    /** Whether all bytes buffered in the writer are unflushed, and there are some. */
    boolean isUnflushed();

    /** Whether reading is paused. */
    boolean isPaused();

    /** Whether the writer accepts more bytes. */
    boolean isWritable();

    /**
     * Reads the bytes available in the kernel unless reading is paused, and flushes to the kernel as many bytes as it
     * accepts. Does nothing if no wake-up was lost.
     */
    void resume();
}

package sablehinge.dataplane.proxy;

/** Bytes on their way through the process, from one connection to another, as a watch sees them. */
public interface MonitoredRelay {

    /** The number of the connection that they are written to. */
    int connection();

    /** Bytes handed to the writer so far. */
    long bytesForwarded();

    /** Bytes that the writer has and its kernel has not. */
    long unwrittenBytes();

    /** Whether the writer has bytes that were not flushed yet, and none that were. */
    boolean isUnflushed();

    /** Whether the reader is paused. */
    boolean isPaused();

    /** Whether the writer can take more. */
    boolean isWritable();

    /**
     * Reads at once what the kernel holds for the reader, unless it waits, and hands the writer's kernel what it can
     * take. Where all goes well there is nothing to be done.
     */
    void resume();
}

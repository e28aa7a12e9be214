package sablehinge.dataplane.http1;

import io.netty.util.internal.PlatformDependent;

/**
 * Limits the memory for the bodies that the front ends of a process buffer completely. A body that gets no reservation
 * is relayed, which takes little memory. The rest of the direct memory is for relays, sockets and the control plane: an
 * allocation that fails for lack of it blocks the event loop for about half a second. Belongs to one event loop.
 */
public final class BodyMemory {

    /** The share of the direct memory that complete bodies may take. */
    private static final int DIRECT_MEMORY_DIVISOR = 3;

    private final long limitBytes;
    private long reservedBytes;

    /** Creates a limit of the given size. */
    public BodyMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Creates the limit of a process, which follows from the direct memory that it was given. */
    public static BodyMemory ofProcess() {
        return new BodyMemory(PlatformDependent.maxDirectMemory() / DIRECT_MEMORY_DIVISOR);
    }

    /** Reserves memory; false if it exceeds the limit. */
    boolean reserve(int bytes) {
        if (reservedBytes + bytes > limitBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Releases reserved memory. */
    void release(int bytes) {
        reservedBytes -= bytes;
    }

    /** The bytes that are reserved. */
    long reservedBytes() {
        return reservedBytes;
    }
}

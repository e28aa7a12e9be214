package sablehinge.gateway.recorder;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;

/**
 * A ring buffer of the latest events, in four words each. One thread writes without waiting, and any thread may copy
 * the content concurrently. A copy contains no event that was overwritten while it was made.
 */
public final class Ring {

    /** The words of an event: time, connection and code, exchange, value. */
    static final int WORDS = 4;
    /** The size of an event in bytes. */
    public static final int EVENT_BYTES = WORDS * Long.BYTES;

    private static final VarHandle WRITTEN;

    static {
        try {
            WRITTEN = MethodHandles.lookup().findVarHandle(Ring.class, "written", long.class);
        } catch (ReflectiveOperationException e) {
            throw new ExceptionInInitializerError(e);
        }
    }

    private final long[] words;
    private final int mask;
    /** The number of events written so far; accessed through {@link #WRITTEN}. */
    @SuppressWarnings("unused")
    private long written;

    /**
     * Creates a ring for at least one event.
     *
     * @param bytes the size; rounded down to a number of events that is a power of two, at least 32 B and at most 1 GiB
     */
    public Ring(int bytes) {
        int events = Integer.highestOneBit(Math.max(1, bytes / EVENT_BYTES));
        words = new long[events * WORDS];
        mask = events - 1;
    }

    /** The maximum number of events. */
    public int capacity() {
        return mask + 1;
    }

    /** The number of events written so far. */
    public long written() {
        return (long) WRITTEN.getAcquire(this);
    }

    /** Writes an event; called by one thread only. */
    void write(long time, int connection, int code, long exchange, long value) {
        long number = written;
        int offset = (int) (number & mask) * WORDS;
        // A concurrent copy that reads words of the new event must also see that the older one is overwritten.
        VarHandle.storeStoreFence();
        words[offset] = time;
        words[offset + 1] = (long) connection << 32 | code;
        words[offset + 2] = exchange;
        words[offset + 3] = value;
        WRITTEN.setRelease(this, number + 1);
    }

    /** Copies the events, oldest first, in four words each. */
    long[] copy() {
        long end = written();
        int count = (int) Math.min(end, capacity());
        long[] copied = new long[count * WORDS];
        for (int i = 0; i < count; i++) {
            System.arraycopy(words, (int) (end - count + i & mask) * WORDS, copied, i * WORDS, WORDS);
        }
        VarHandle.loadLoadFence();
        // The event that is being written overwrites the oldest one before it is counted.
        long oldest = written() + 1 - capacity();
        int lost = (int) Math.max(0, Math.min(count, oldest - (end - count)));
        return lost == 0 ? copied : java.util.Arrays.copyOfRange(copied, lost * WORDS, copied.length);
    }
}

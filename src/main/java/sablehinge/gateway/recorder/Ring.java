package sablehinge.gateway.recorder;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;

/**
 * The last events, in four words each: one thread writes and never waits, any may copy it meanwhile. What was
 * overwritten under a copy is not in it.
 */
public final class Ring {

    /** Words of an event: time, connection and code, exchange, value. */
    static final int WORDS = 4;
    /** Bytes of an event. */
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
    /** Events written so far; read and written by way of {@link #WRITTEN}. */
    @SuppressWarnings("unused")
    private long written;

    /**
     * A ring for at least one event.
     *
     * @param bytes rounded down to a power of two of events, at least 32 B and at most 1 GiB
     */
    public Ring(int bytes) {
        int events = Integer.highestOneBit(Math.max(1, bytes / EVENT_BYTES));
        words = new long[events * WORDS];
        mask = events - 1;
    }

    /** How many events it holds. */
    public int capacity() {
        return mask + 1;
    }

    /** Events written so far. */
    public long written() {
        return (long) WRITTEN.getAcquire(this);
    }

    /** Writes an event; by one thread only. */
    void write(long time, int connection, int code, long exchange, long value) {
        long number = written;
        int at = (int) (number & mask) * WORDS;
        // A copy that reads the words of a new event must see that an older one has been overwritten.
        VarHandle.storeStoreFence();
        words[at] = time;
        words[at + 1] = (long) connection << 32 | code;
        words[at + 2] = exchange;
        words[at + 3] = value;
        WRITTEN.setRelease(this, number + 1);
    }

    /** The events that are there, oldest first, in four words each. */
    long[] copy() {
        long end = written();
        int count = (int) Math.min(end, capacity());
        long[] copied = new long[count * WORDS];
        for (int i = 0; i < count; i++) {
            System.arraycopy(words, (int) (end - count + i & mask) * WORDS, copied, i * WORDS, WORDS);
        }
        VarHandle.loadLoadFence();
        // The one that is being written overwrites the oldest before it is counted.
        long oldest = written() + 1 - capacity();
        int lost = (int) Math.max(0, Math.min(count, oldest - (end - count)));
        return lost == 0 ? copied : java.util.Arrays.copyOfRange(copied, lost * WORDS, copied.length);
    }
}

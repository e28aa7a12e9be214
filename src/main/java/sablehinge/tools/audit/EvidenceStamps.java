package sablehinge.tools.audit;

/**
 * Timestamps for evidence: the monotonic clock, offset by one reading of the system clock at class initialization, so
 * that later steps of the system clock have no effect.
 */
public final class EvidenceStamps {

    private static final double NANOS_PER_MS = 1e6;
    private static final long START_NANOS = System.nanoTime();
    private static final double START_EPOCH_MS = System.currentTimeMillis();

    private EvidenceStamps() {}

    /** The current time, in milliseconds since 1970. */
    public static double now() {
        return at(System.nanoTime());
    }

    /** Converts a reading of {@link System#nanoTime} to milliseconds since 1970. */
    public static double at(long nanos) {
        return START_EPOCH_MS + (nanos - START_NANOS) / NANOS_PER_MS;
    }
}

package sablehinge.tools.audit;

/** Turns the monotonic clock into time since 1970, by one reading of both: steps of the system's clock don't show. */
public final class EvidenceStamps {

    private static final double MS = 1e6;
    private static final long NANOS = System.nanoTime();
    private static final double MILLIS = System.currentTimeMillis();

    private EvidenceStamps() {}

    /** Ms since 1970. */
    public static double now() {
        return at(System.nanoTime());
    }

    /** Ms since 1970 of a reading of {@link System#nanoTime}. */
    public static double at(long nanos) {
        return MILLIS + (nanos - NANOS) / MS;
    }
}

package sablehinge.held;

/** A request and its answer as both ends see it; a field is written by one end and read by the sampler. */
final class Flow {

    /** What became of it. */
    enum End {
        OPEN,
        IN_TIME,
        LATE,
        REFUSED,
        FAILED,
        BROKEN
    }

    final String id;
    final Kind kind;
    final long requested = System.nanoTime();
    final double remainingMillis;
    /** Bytes of its answer, whoever gives it. */
    final int length;
    /** Bytes of the answer's body that the kernel of an upstream has had, and that the caller has read. */
    volatile long produced;

    volatile long received;
    volatile long receivedAt;
    volatile End end = End.OPEN;
    /** When it had ended, in ms after it was requested. */
    volatile double tookMillis;
    /** How often it stood still for over 2 s; by the sampler. */
    int held;

    long notifiedFor = -1;

    Flow(String id, Kind kind, int length, double remainingMillis) {
        this.length = length;
        this.id = id;
        this.kind = kind;
        this.remainingMillis = remainingMillis;
    }

    double age(long now) {
        return (now - requested) / 1e6;
    }
}

package sablehinge.gateway.recorder;

import java.util.function.Consumer;
import java.util.function.LongConsumer;
import sablehinge.dataplane.proxy.MonitoredRelay;

/** The state of a process that the {@link Watch} checks; called on the thread that owns it. */
public interface Vitals {

    /** Visits each relayed body and each response that is not completely written. */
    void forEachRelay(Consumer<MonitoredRelay> action);

    /** Visits the number of each request whose deadline passed at least {@code byMs} ago. */
    void forEachOverdue(double byMs, LongConsumer action);

    /** The number of bodies so far that were resumed because their wake-up was lost. */
    long recoveredWakeUps();

    /** The number of busy client connections plus the number of requests that still exist. */
    int activeCount();

    /** The number of open connections. */
    int descriptors();

    /** The bytes reserved for large bodies. */
    long reservedBytes();

    /** The bytes of direct memory that buffers use. */
    long usedMemory();
}

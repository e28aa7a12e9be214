package sablehinge.gateway.recorder;

import java.util.function.Consumer;
import java.util.function.LongConsumer;
import sablehinge.dataplane.proxy.MonitoredRelay;

/** What the {@link Watch} can see of a process; on the thread that owns it. */
public interface Vitals {

    /** Each body that passes through, and each answer that is not written out. */
    void passages(Consumer<MonitoredRelay> each);

    /** Each request that is past its deadline by at least so many ms, by its number. */
    void overdue(double by, LongConsumer each);

    /** How many bodies had to be woken so far, as their wake-up was lost. */
    long woken();

    /** Connections of callers on which something is at work, and requests that are not forgotten. */
    int busy();

    /** Connections open. */
    int descriptors();

    /** Bytes reserved for long bodies. */
    long kept();

    /** Bytes of direct memory in use by buffers. */
    long memory();
}

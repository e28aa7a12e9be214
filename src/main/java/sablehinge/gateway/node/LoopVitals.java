package sablehinge.gateway.node;

import java.util.Collection;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import sablehinge.dataplane.http1.Frontend;
import sablehinge.dataplane.http1.Sockets;
import sablehinge.dataplane.proxy.MonitoredRelay;
import sablehinge.dataplane.proxy.RequestProxy;
import sablehinge.gateway.recorder.Vitals;

/** What a watch can see of the parts of one balancer; on their loop. */
public final class LoopVitals implements Vitals {

    private final RequestProxy core;
    private final Sockets sockets;
    private final Supplier<Collection<Frontend>> fronts;
    private final LongSupplier memory;

    /** Of the given parts; {@code memory} tells the bytes of direct memory that buffers use. */
    public LoopVitals(RequestProxy core, Sockets sockets, Supplier<Collection<Frontend>> fronts, LongSupplier memory) {
        this.core = core;
        this.sockets = sockets;
        this.fronts = fronts;
        this.memory = memory;
    }

    @Override
    public void passages(Consumer<MonitoredRelay> each) {
        fronts.get().forEach(front -> front.forEachRelay(each));
    }

    @Override
    public void overdue(double by, LongConsumer each) {
        core.forEachOverdue(by, each);
    }

    @Override
    public long woken() {
        return fronts.get().stream().mapToLong(Frontend::wokenBodies).sum();
    }

    @Override
    public int busy() {
        return fronts.get().stream().mapToInt(Frontend::busyConnections).sum() + core.requests();
    }

    @Override
    public int descriptors() {
        return sockets.open();
    }

    @Override
    public long kept() {
        return fronts.get().stream().mapToLong(Frontend::reservedBytes).sum();
    }

    @Override
    public long memory() {
        return memory.getAsLong();
    }
}

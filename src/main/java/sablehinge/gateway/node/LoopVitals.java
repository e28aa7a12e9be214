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

/** Exposes the state of one balancer to the {@link sablehinge.gateway.recorder.Watch}; used on its event loop only. */
public final class LoopVitals implements Vitals {

    private final RequestProxy proxy;
    private final Sockets sockets;
    private final Supplier<Collection<Frontend>> frontends;
    private final LongSupplier usedMemory;

    /** Creates a view of the given parts; {@code usedMemory} returns the bytes of direct memory that buffers use. */
    public LoopVitals(
            RequestProxy proxy, Sockets sockets, Supplier<Collection<Frontend>> frontends, LongSupplier usedMemory) {
        this.proxy = proxy;
        this.sockets = sockets;
        this.frontends = frontends;
        this.usedMemory = usedMemory;
    }

    @Override
    public void forEachRelay(Consumer<MonitoredRelay> action) {
        frontends.get().forEach(frontend -> frontend.forEachRelay(action));
    }

    @Override
    public void forEachOverdue(double byMs, LongConsumer action) {
        proxy.forEachOverdue(byMs, action);
    }

    @Override
    public long recoveredWakeUps() {
        return frontends.get().stream().mapToLong(Frontend::wokenBodies).sum();
    }

    @Override
    public int activeCount() {
        return frontends.get().stream().mapToInt(Frontend::busyConnections).sum() + proxy.requests();
    }

    @Override
    public int descriptors() {
        return sockets.open();
    }

    @Override
    public long reservedBytes() {
        return frontends.get().stream().mapToLong(Frontend::reservedBytes).sum();
    }

    @Override
    public long usedMemory() {
        return usedMemory.getAsLong();
    }
}

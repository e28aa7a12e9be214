package sablehinge.gateway.recorder;

import java.util.function.LongSupplier;
import sablehinge.dataplane.proxy.TraceEvent;
import sablehinge.dataplane.proxy.Tracer;

/**
 * Records the events that it receives in a {@link Ring}. Related events of the proxy and of a connection follow each
 * other within one call, so that neither needs a reference to the other: the recorder fills in the connection on which
 * a request arrived and the request whose attempt a connection carries.
 */
public final class FlightRecorder implements Tracer {

    private static final long NANOS_PER_US = 1_000;

    private final Ring ring;
    private final LongSupplier nanos;
    /** The connection on which the latest request was read, and the request for which the latest server was chosen. */
    private int lastReadConnection;

    private long lastChosenExchange;

    /** Records into a ring, with the time of a monotonic clock in ns. */
    public FlightRecorder(Ring ring, LongSupplier nanos) {
        this.ring = ring;
        this.nanos = nanos;
    }

    /** The ring of the events. */
    public Ring ring() {
        return ring;
    }

    @Override
    public void note(TraceEvent event, int connection, long exchange, long value) {
        int eventConnection = connection;
        long eventExchange = exchange;
        switch (event) {
            case REQUEST -> lastReadConnection = connection;
            case ARRIVED -> eventConnection = lastReadConnection;
            case CHOSEN -> lastChosenExchange = exchange;
            case PROBED -> lastChosenExchange = 0;
            case CONNECTING, REUSED -> eventExchange = lastChosenExchange;
            default -> {}
        }
        ring.write(nanos.getAsLong() / NANOS_PER_US, eventConnection, event.ordinal(), eventExchange, value);
    }
}

package sablehinge.gateway.recorder;

import java.util.function.LongSupplier;
import sablehinge.dataplane.proxy.TraceEvent;
import sablehinge.dataplane.proxy.Tracer;

/**
 * Keeps the events that it receives in a {@link Ring}. An event of core and one of a connection that belong together
 * follow each other in one call, so that neither needs to know of the other: which connection a request came on and
 * which one carries an attempt is filled in here.
 */
public final class FlightRecorder implements Tracer {

    private static final long NANOS_PER_US = 1_000;

    private final Ring ring;
    private final LongSupplier nanos;
    /** The connection that a request was read on last, and the request for which a server was chosen last. */
    private int read;

    private long chosen;

    /** Records into a ring, with the time of a clock that never goes back, in ns. */
    public FlightRecorder(Ring ring, LongSupplier nanos) {
        this.ring = ring;
        this.nanos = nanos;
    }

    /** Where it records. */
    public Ring ring() {
        return ring;
    }

    @Override
    public void note(TraceEvent event, int connection, long exchange, long value) {
        int on = connection;
        long about = exchange;
        switch (event) {
            case REQUEST -> read = connection;
            case ARRIVED -> on = read;
            case CHOSEN -> chosen = exchange;
            case PROBED -> chosen = 0;
            case CONNECTING, REUSED -> about = chosen;
            default -> {}
        }
        ring.write(nanos.getAsLong() / NANOS_PER_US, on, event.ordinal(), about, value);
    }
}

package sablehinge.dataplane.proxy;

/**
 * Receives events as they happen, on the thread that owns the proxy; used by the flight recorder. Implementations must
 * neither block nor allocate, as they are called about twenty times per request.
 */
public interface Tracer {

    /** Discards all events. */
    Tracer OFF = (event, connection, exchange, value) -> {};

    /**
     * Records an event.
     *
     * @param connection the connection's number in this process; 0 if the event concerns no connection, or the same
     *     connection as the event before
     * @param exchange the request's number in the proxy; 0 likewise
     * @param value as described by {@link TraceEvent#valueMeaning}
     */
    void note(TraceEvent event, int connection, long exchange, long value);
}

package sablehinge.dataplane.proxy;

/**
 * Receives events, on the thread that owns the proxy, as they happen: for a flight recorder. It must neither wait nor
 * allocate, as it is called some twenty times for each request.
 */
public interface Tracer {

    /** Keeps nothing. */
    Tracer OFF = (event, connection, exchange, value) -> {};

    /**
     * Notes an event.
     *
     * @param connection its number among the process's connections; 0 where it is about none, or where the one before
     *     it says which
     * @param exchange the request's number in core; 0 likewise
     * @param value by {@link TraceEvent#valueMeaning}
     */
    void note(TraceEvent event, int connection, long exchange, long value);
}

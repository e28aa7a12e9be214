package sablehinge.dataplane.proxy;

/**
 * The events of a {@link Tracer}. A dump contains the name of each event. The value of an event is described by
 * {@link #valueMeaning}, and is 0 if that is empty.
 */
public enum TraceEvent {
    /** A client connection was accepted. */
    CALLER_OPENED(""),
    /** A client connection was closed. */
    CALLER_CLOSED(""),
    /** A request was read on a client connection. */
    REQUEST(""),
    /** The proxy admitted a request. */
    ARRIVED("class"),
    /** The module selected a server for an attempt. */
    CHOSEN("upstream"),
    /** A health check was sent to a server. */
    PROBED("upstream"),
    /** A connection is being opened for an attempt. */
    CONNECTING("upstream"),
    /** The connection was established. */
    CONNECTED(""),
    /** An idle connection was reused for an attempt. */
    REUSED("upstream"),
    /** The end of a request was written to the kernel, or the write failed. */
    SENT("done"),
    /** The first byte of a response arrived. */
    FIRST_BYTE(""),
    /** The response is complete. */
    LAST_BYTE(""),
    /** An upstream connection was closed. */
    UPSTREAM_CLOSED(""),
    /** An attempt ended. */
    ATTEMPT_ENDED("result"),
    /** The final answer was passed to the front end. */
    ANSWERED("kind"),
    /** The end of an answer was written to the kernel, or the write failed. */
    WRITTEN("done"),
    /** Reading from a connection was paused because the connection that receives its bytes is not writable. */
    PAUSED(""),
    /** Reading was resumed. */
    RESUMED(""),
    /** A connection became unwritable; the value is the number of buffered bytes. */
    FULL("bytes"),
    /** The connection became writable again. */
    WRITABLE(""),
    /** The stall watch resumed a stalled body: a wake-up was lost. */
    WOKEN(""),
    /** Bytes reserved for buffered bodies. */
    KEPT("bytes"),
    /** Direct memory in use. */
    MEMORY("bytes"),
    /** Open connections. */
    DESCRIPTORS("count"),
    /** Requests in flight. */
    REQUESTS("count"),
    /** Delay of a late tick of the event loop. */
    LOOP_LATE("us"),
    /** CPU time of the event loop's thread since the previous tick, recorded when a tick is late. */
    LOOP_CPU("us"),
    /** A configuration version was adopted. */
    VERSION("number"),
    /** A server list arrived; -1 if the call failed. */
    SERVERS("count"),
    /** The stall watch raised an alarm. */
    ALARM("kind");

    private final String value;

    TraceEvent(String value) {
        this.value = value;
    }

    /** The meaning of the event's value; empty if it has none. */
    public String valueMeaning() {
        return value;
    }
}

package sablehinge.dataplane.proxy;

/**
 * The events of a {@link Tracer}. The name of each is what a dump keeps; its value means what {@link #valueMeaning}
 * says, and 0 where that is empty.
 */
public enum TraceEvent {
    /** A caller was let in. */
    CALLER_OPENED(""),
    /** A caller's connection is gone. */
    CALLER_CLOSED(""),
    /** A request was read on a caller's connection. */
    REQUEST(""),
    /** Core has taken a request in. */
    ARRIVED("class"),
    /** The module has chosen a server for an attempt. */
    CHOSEN("upstream"),
    /** The server of a health check. */
    PROBED("upstream"),
    /** A connection is opened for an attempt. */
    CONNECTING("upstream"),
    /** It is up. */
    CONNECTED(""),
    /** An idle connection is used for an attempt. */
    REUSED("upstream"),
    /** The last of a request was handed to the kernel, or could not be. */
    SENT("done"),
    /** The first byte of an answer has come. */
    FIRST_BYTE(""),
    /** The answer is complete. */
    LAST_BYTE(""),
    /** An upstream's connection is gone. */
    UPSTREAM_CLOSED(""),
    /** An attempt has ended. */
    ATTEMPT_ENDED("result"),
    /** The one answer was handed to its front. */
    ANSWERED("kind"),
    /** The last of an answer is with the kernel, or could not be. */
    WRITTEN("done"),
    /** A connection is not read for now: who takes its bytes can't take more. */
    PAUSED(""),
    /** It is read again. */
    RESUMED(""),
    /** A connection takes no more for now; bytes that wait. */
    FULL("bytes"),
    /** It takes more again. */
    WRITABLE(""),
    /** A body that stood still was woken by the sweep: a wake-up was lost. */
    WOKEN(""),
    /** Bytes reserved for long bodies. */
    KEPT("bytes"),
    /** Direct memory in use. */
    MEMORY("bytes"),
    /** Connections open. */
    DESCRIPTORS("count"),
    /** Requests at work. */
    REQUESTS("count"),
    /** The loop's tick was late by this. */
    LOOP_LATE("us"),
    /** CPU time of the loop's thread since the last tick, where a tick was late. */
    LOOP_CPU("us"),
    /** Another version is taken. */
    VERSION("number"),
    /** A list of servers has come; -1 for a failed call. */
    SERVERS("count"),
    /** The watch has raised an alarm. */
    ALARM("kind");

    private final String value;

    TraceEvent(String value) {
        this.value = value;
    }

    /** What its value is; empty where it has none. */
    public String valueMeaning() {
        return value;
    }
}

package sablehinge.dataplane.proxy;

/**
 * A message that the proxy passes between a front end and a transport without reading it. It is reference-counted
 * because it may occupy pooled memory: each owner of a reference releases it once.
 */
public interface Payload {

    /** The empty payload, which may be released any number of times. */
    Payload NONE = () -> {};

    /** Whether a transport can send it now. A streamed payload can be sent only once. */
    default boolean canBeSent() {
        return true;
    }

    /**
     * The same payload with one more reference for the calling code; {@link #NONE} if it is streamed and can't be
     * retained.
     */
    default Payload retain() {
        return NONE;
    }

    /** Releases one reference; the owner must not use the payload afterwards. */
    void release();
}

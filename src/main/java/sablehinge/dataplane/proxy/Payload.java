package sablehinge.dataplane.proxy;

/**
 * What a front hands to a transport, or a transport to a front, and core does not look into. It is counted by
 * reference, since it may lie in memory that a pool wants back: whoever holds it releases it once.
 */
public interface Payload {

    /** A payload of nothing, which may be released any number of times. */
    Payload NONE = () -> {};

    /** Whether a transport can send it now: what passes through as it comes can be sent once. */
    default boolean canBeSent() {
        return true;
    }

    /** The same, held once more by whoever asks; nothing where it passes through and can't be kept. */
    default Payload retain() {
        return NONE;
    }

    /** Gives back what it holds; it is not to be used afterwards. */
    void release();
}

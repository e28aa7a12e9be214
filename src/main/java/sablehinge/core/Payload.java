package sablehinge.core;

/**
 * What a front hands to a transport, or a transport to a front, and core does not look into. It is counted by
 * reference, since it may lie in memory that a pool wants back: whoever holds it releases it once.
 */
public interface Payload {

    /** A payload of nothing, which may be released any number of times. */
    Payload NONE = () -> { };

    /** Gives back what it holds; it is not to be used afterwards. */
    void release();
}

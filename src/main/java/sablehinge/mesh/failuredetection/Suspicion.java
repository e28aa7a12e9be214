package sablehinge.mesh.failuredetection;

/**
 * What a watcher says of one that it no longer hears.
 *
 * @param node whom it doesn't hear
 * @param evidence what it found there
 */
public record Suspicion(String node, SuspicionCause evidence) {}

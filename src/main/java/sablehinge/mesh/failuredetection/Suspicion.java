package sablehinge.mesh.failuredetection;

/**
 * What a watcher reports of a peer that it no longer hears.
 *
 * @param node whom it doesn't hear
 * @param evidence what it found there
 */
public record Suspicion(String node, SuspicionCause evidence) {}

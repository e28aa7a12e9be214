package sablehinge.mesh.failuredetection;

/**
 * What a watcher reports of a peer whose heartbeats no longer come.
 *
 * @param node whom it doesn't hear
 * @param evidence what it found there
 */
public record Suspicion(String node, SuspicionCause evidence) {}

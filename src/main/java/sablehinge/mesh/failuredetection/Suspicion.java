package sablehinge.mesh.failuredetection;

/**
 * What a watcher reports of a peer whose heartbeats no longer come.
 *
 * @param node whom it doesn't hear
 * @param cause what it found there
 */
public record Suspicion(String node, SuspicionCause cause) {}

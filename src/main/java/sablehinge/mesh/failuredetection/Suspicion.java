package sablehinge.mesh.failuredetection;

/**
 * A watcher's report of a peer that has stopped sending heartbeats.
 *
 * @param node the suspected peer
 * @param cause what the watcher's probe found
 */
public record Suspicion(String node, SuspicionCause cause) {}

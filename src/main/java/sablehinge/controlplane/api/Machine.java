package sablehinge.controlplane.api;

/**
 * A member of the core as another one knows it.
 *
 * @param member its id, which differs for each incarnation of a disk
 * @param control where operators call it
 * @param silentMs since it was last heard of; null where the one who says so doesn't listen for it
 */
public record Machine(String member, String control, Long silentMs) {}

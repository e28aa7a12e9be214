package sablehinge.controlplane.api;

/**
 * A member of the core from the view of the answering node.
 *
 * @param member the member's id, which changes when the member loses its disk
 * @param control the address of its operator API
 * @param silentMs the time since its last message; null if the answering node doesn't monitor it
 */
public record Machine(String member, String control, Long silentMs) {}

package sablehinge.controlplane.api;

import java.util.List;

/**
 * Which configurations were taken: the answer to {@code Config.History}.
 *
 * @param edition in force; 0 for none
 * @param taken the newest ones, the oldest of them first
 */
public record Editions(long edition, List<Taken> taken) {

    /** Editions whose list can't be changed. */
    public Editions {
        taken = List.copyOf(taken);
    }

    /**
     * A configuration that was taken.
     *
     * @param basedOn the edition that it took the place of; null where that was not kept
     * @param bytes its length
     * @param sum SHA-256 of its bytes in hexadecimal digits; FNV-1a of 64 bits where it was taken under a state format
     *     before the third
     * @param takenAt when the leader of that day took it up, by its time of day, ISO 8601; null where that was not kept
     */
    public record Taken(long edition, Long basedOn, int bytes, String sum, String takenAt) {}
}

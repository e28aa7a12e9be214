package sablehinge.controlplane.api;

import java.util.List;

/**
 * The history of accepted configurations: the answer to {@code Config.History}.
 *
 * @param edition the current edition; 0 for none
 * @param taken the most recently accepted configurations, oldest first
 */
public record Editions(long edition, List<Taken> taken) {

    /** Copies the list. */
    public Editions {
        taken = List.copyOf(taken);
    }

    /**
     * An accepted configuration.
     *
     * @param basedOn the edition that it replaced; null if that was not recorded
     * @param bytes the length of its body
     * @param sum SHA-256 of the body in hexadecimal digits; 64-bit FNV-1a if it was accepted under a state format
     *     before the third
     * @param takenAt when the leader of that time proposed it, by the leader's wall clock, in ISO 8601; null if that
     *     was not recorded
     */
    public record Taken(long edition, Long basedOn, int bytes, String sum, String takenAt) {}
}

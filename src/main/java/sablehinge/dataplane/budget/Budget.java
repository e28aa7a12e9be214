package sablehinge.dataplane.budget;

import java.util.List;

/**
 * The attempt budget of a call down a chain of tiers.
 *
 * @param grant names what all calls made for one attempt of the tier above draw on together
 * @param attempts how many attempts at the last tier may be made for it, 0 to {@value #MAX_ATTEMPTS}
 * @param remaining time in ms that is left for its answer, as of its writing; 0 and more, never a time of day
 * @param value of the client's request, in units of the operator's; 0 and more
 * @param path the services that the call has passed, the first one first, by ids that tell no address
 */
public record Budget(long grant, int attempts, double remaining, double value, List<Long> path) {

    /** Beyond these a budget is of no use to anybody, and so not readable. */
    public static final int MAX_ATTEMPTS = 10_000;

    public static final int MAX_HOPS = 16;
    static final double MAX_MS = 3_600_000;
    static final double MAX_VALUE = 1e9;

    /** Throws {@link IllegalArgumentException} for what is out of range. */
    public Budget {
        if (attempts < 0
                || attempts > MAX_ATTEMPTS
                || !(remaining >= 0 && remaining <= MAX_MS)
                || !(value >= 0 && value <= MAX_VALUE)
                || path.size() > MAX_HOPS) {
            throw new IllegalArgumentException("a budget out of range");
        }
        path = List.copyOf(path);
    }
}

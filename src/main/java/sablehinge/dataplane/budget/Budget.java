package sablehinge.dataplane.budget;

import java.util.List;

/**
 * The attempt budget that a call carries down a chain of tiers.
 *
 * @param grant the id of the grant that is shared by all calls made for one attempt of the tier above
 * @param attempts number of attempts at the last tier that may be made for the call, 0 to {@value #MAX_ATTEMPTS}
 * @param remaining time in milliseconds left for the answer when the budget is written; a duration of 0 or more, never
 *     a time of day
 * @param value the value of the client's request in the operator's units, 0 or more
 * @param path ids of the services that the call has passed, in order; the ids do not reveal addresses
 */
public record Budget(long grant, int attempts, double remaining, double value, List<Long> path) {

    /** Limits beyond which a budget is rejected as unreadable. */
    public static final int MAX_ATTEMPTS = 10_000;

    public static final int MAX_HOPS = 16;
    static final double MAX_MS = 3_600_000;
    static final double MAX_VALUE = 1e9;

    /** Throws {@link IllegalArgumentException} if a value is out of range. */
    public Budget {
        if (attempts < 0
                || attempts > MAX_ATTEMPTS
                || !(remaining >= 0 && remaining <= MAX_MS)
                || !(value >= 0 && value <= MAX_VALUE)
                || path.size() > MAX_HOPS) {
            throw new IllegalArgumentException("budget out of range");
        }
        path = List.copyOf(path);
    }
}

package sablehinge.mesh.retrybudget;

import java.util.List;

/**
 * The answer to a claim: the shares up to which the balancer may spend.
 *
 * @param number the sequence number of the claim
 * @param term the term of the leader; spending is counted from 0 in each term
 * @param lines one for each line of the claim
 */
public record Grant(int number, long term, List<Line> lines) {

    /** Creates a grant with an unmodifiable list. */
    public Grant {
        lines = List.copyOf(lines);
    }

    /** A service's share. */
    public record Line(String service, int share) {}
}

package sablehinge.mesh.retrybudget;

import java.util.List;

/**
 * The answer to a claim: shares up to which its balancer may spend.
 *
 * @param number of the claim
 * @param term of the leader; spending counts anew with each
 * @param lines one for each line of the claim
 */
public record Grant(int number, long term, List<Line> lines) {

    /** A grant whose list can't be changed. */
    public Grant {
        lines = List.copyOf(lines);
    }

    /** A service's share. */
    public record Line(String service, int share) {}
}

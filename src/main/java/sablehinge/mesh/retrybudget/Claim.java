package sablehinge.mesh.retrybudget;

import java.util.List;

/**
 * What a balancer reports to the leader's retry budget, and what it wants. Counts only grow, so that one which is lost,
 * doubled or late does no harm.
 *
 * @param incarnation of the balancer's process
 * @param number counts its claims up
 * @param term of the leader whose share it has; 0 for none
 * @param service beside it, whose runs make the calls that it counts
 * @param lines one for each service of which there is something to tell
 */
public record Claim(long incarnation, int number, long term, String service, List<Line> lines) {

    /** Services that one claim may tell of; further tries of more services are not sent. */
    public static final int MAX_LINES = 200;

    /** A claim whose list can't be changed. */
    public Claim {
        lines = List.copyOf(lines);
    }

    /**
     * Of one service.
     *
     * @param requests of clients for it, that came here in this incarnation
     * @param calls of the upstream beside for it, likewise
     * @param spent of the share, since the term at hand first gave one
     * @param share up to which it may be spent from now on: what is above has been given back
     * @param wanted further tokens, 0 to 65,535
     */
    public record Line(String service, int requests, int calls, int spent, int share, int wanted) {}
}

package sablehinge.mesh.retrybudget;

import java.util.List;

/**
 * A balancer's report to the retry budget on the leader and its request for tokens. Counts are cumulative, so lost,
 * duplicated and late claims do no harm.
 *
 * @param incarnation the incarnation of the balancer's process
 * @param number the sequence number of the claim
 * @param term the term of the leader that granted the balancer's shares; 0 for none
 * @param service the service of the local upstream, which makes the counted calls
 * @param lines one for each service with something to report
 */
public record Claim(long incarnation, int number, long term, String service, List<Line> lines) {

    /** Maximum number of services in a claim; retries of further services are not sent. */
    public static final int MAX_LINES = 200;

    /** Creates a claim with an unmodifiable list. */
    public Claim {
        lines = List.copyOf(lines);
    }

    /**
     * The report for one service.
     *
     * @param requests client requests received in this incarnation
     * @param calls calls from the local upstream in this incarnation
     * @param spent tokens spent since the first grant of this term
     * @param share the limit of {@code spent} from now on; the balancer has returned what was above
     * @param wanted number of further tokens requested, 0 to 65,535
     */
    public record Line(String service, int requests, int calls, int spent, int share, int wanted) {}
}

package sablehinge.dataplane.proxy;

import sablehinge.dataplane.budget.Report;
import sablehinge.policy.LoadBalancer.Result;

/**
 * How an attempt or a health check ended.
 *
 * @param payload the answer of a server that served, or of one that failed if its caller may see it; lent for the call
 *     in which it is handed over
 * @param report the load report that came with it, in the order of the settings' fields, or null
 * @param spent what came back of its budget, or null
 */
public record AttemptResult(Result result, Payload payload, double[] report, Report spent) {

    /** An end where budgets are off. */
    public AttemptResult(Result result, Payload payload, double[] report) {
        this(result, payload, report, null);
    }

    /** An end without an answer. */
    public static AttemptResult without(Result result) {
        return new AttemptResult(result, Payload.NONE, null);
    }
}

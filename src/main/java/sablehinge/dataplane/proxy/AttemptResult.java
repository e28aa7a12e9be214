package sablehinge.dataplane.proxy;

import sablehinge.dataplane.budget.Report;
import sablehinge.policy.LoadBalancer.Result;

/**
 * The result of an attempt or a health check.
 *
 * @param payload the response of a server that served the request, or of one that failed it if the client may see that
 *     response; valid only during the call that passes the result
 * @param report the load report in the response, in the order of the settings' fields, or null
 * @param spent the budget report of the upstream, or null
 */
public record AttemptResult(Result result, Payload payload, double[] report, Report spent) {

    /** Creates a result without a budget report. */
    public AttemptResult(Result result, Payload payload, double[] report) {
        this(result, payload, report, null);
    }

    /** Creates a result without a response. */
    public static AttemptResult without(Result result) {
        return new AttemptResult(result, Payload.NONE, null);
    }
}

package sablehinge.core;

import sablehinge.policy.LoadBalancer.Result;

/**
 * How an attempt or a probe ended.
 *
 * @param payload the answer of a server that served; lent for the call in which it is handed over
 * @param report the load report that came with it, in the order of the settings' fields, or null
 */
public record AttemptResult(Result result, Payload payload, double[] report) {

    /** An end without an answer. */
    public static AttemptResult without(Result result) {
        return new AttemptResult(result, Payload.NONE, null);
    }
}

package sablehinge.dataplane.proxy;

import sablehinge.policy.LoadBalancer.Result;

/**
 * What is known about the execution of a request that was sent to a server. Only after {@link #NOT_RUN} may a request
 * that must not run twice be sent to another server, and only then may the client be told that the request did not run.
 */
public enum Verdict {
    /** The request provably has not run and will not run. */
    NOT_RUN,
    /** The request may have run, may be running, or may still run. */
    MAY_HAVE_RUN,
    /** A server has served the request. */
    RAN;

    /** The verdict for an attempt with the given result. */
    public static Verdict of(Result result) {
        return result.neverRan() ? NOT_RUN : result == Result.OK ? RAN : MAY_HAVE_RUN;
    }
}

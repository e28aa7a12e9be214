package sablehinge.dataplane.proxy;

import sablehinge.policy.LoadBalancer.Result;

/**
 * What is known of a request that was sent on. Only {@link #NOT_RUN} lets it go elsewhere where it must not run twice,
 * and only then may its caller be answered that it never will.
 */
public enum Verdict {
    /** Proven: nothing of it has run, and nothing will. */
    NOT_RUN,
    /** It may have run, may be running, or may run yet. */
    MAY_HAVE_RUN,
    /** A server has answered it. */
    RAN;

    /** The verdict on an attempt that ended so. */
    public static Verdict of(Result result) {
        return result.neverRan() ? NOT_RUN : result == Result.OK ? RAN : MAY_HAVE_RUN;
    }
}

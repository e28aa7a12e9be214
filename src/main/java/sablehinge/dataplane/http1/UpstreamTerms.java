package sablehinge.dataplane.http1;

/**
 * What a transport expects of upstreams.
 *
 * @param responseStallTimeoutMs an answer that has begun must go on after so long, and its head be complete after five
 *     times that
 * @param maxIdleForUnsafeMs a connection that has rested for no longer may carry what must not be sent again
 * @param bodyStallTimeoutMs an upstream that lets in nothing more of a body for so long is given up, or sooner where
 *     its request has less time
 * @param mayVanishSilently whether upstreams may be lost without a reset: idle connections are probed by keep-alives,
 *     and one that breaks takes with it those that rest beside it
 */
public record UpstreamTerms(
        long responseStallTimeoutMs, double maxIdleForUnsafeMs, long bodyStallTimeoutMs, boolean mayVanishSilently) {}

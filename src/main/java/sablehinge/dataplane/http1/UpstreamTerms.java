package sablehinge.dataplane.http1;

/**
 * What a transport expects of upstreams.
 *
 * @param stallMs an answer that has begun must go on after so long, and its head be complete after five times that
 * @param youngMs a connection that has rested for no longer may carry what must not be sent again
 * @param stuckMs an upstream that lets in nothing more of a body for so long is given up, or sooner where its request
 *     has less time
 * @param wary whether upstreams may be lost without a reset: idle connections are probed by keep-alives, and one that
 *     breaks takes with it those that rest beside it
 */
public record UpstreamTerms(long stallMs, double youngMs, long stuckMs, boolean wary) {}

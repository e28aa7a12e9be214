package sablehinge.dataplane.http1;

/**
 * The timeouts and properties that a transport expects of upstreams.
 *
 * @param responseStallTimeoutMs the longest time without progress of a response that has begun; infinite if only its
 *     request's deadline ends a silent response (see {@link ResponseProgress})
 * @param maxIdleForUnsafeMs the longest idle time of a connection that may carry a request that must not be repeated
 * @param bodyStallTimeoutMs an attempt is aborted if the upstream reads nothing more of a body for this long, or sooner
 *     if the request has less time
 * @param mayVanishSilently whether upstreams may be lost without a reset: idle connections are probed by TCP
 *     keep-alives, and a broken connection closes the other idle ones of its upstream
 * @param mayBeginEarly whether upstreams may begin to work on a request before its last byte has arrived
 */
public record UpstreamTerms(
        double responseStallTimeoutMs,
        double maxIdleForUnsafeMs,
        long bodyStallTimeoutMs,
        boolean mayVanishSilently,
        boolean mayBeginEarly) {}

package sablehinge.dataplane.http1;

/**
 * What a front lets its callers do.
 *
 * @param headerBytes of a request's head, at most
 * @param bodyBytes of a body, at most
 * @param requestTimeoutMs in which a request that has begun, or a new connection's first, must be there
 * @param bytesPerMs a body has a ms more for each so many bytes
 * @param firstRequestTimeoutMs that a connection may stay without its first request
 * @param idleTimeoutMs that it may rest between two
 * @param maxBufferedBodyBytes a body of up to so many is kept completely, so that it can be sent again,
 * @param maxBufferedBytes as long as so many bytes fit
 * @param concurrent whether requests sent ahead of their turn are begun at once, where they may be repeated
 */
public record FrontTerms(
        int headerBytes,
        long bodyBytes,
        double requestTimeoutMs,
        double bytesPerMs,
        double firstRequestTimeoutMs,
        double idleTimeoutMs,
        int maxBufferedBodyBytes,
        int maxBufferedBytes,
        boolean concurrent) {}

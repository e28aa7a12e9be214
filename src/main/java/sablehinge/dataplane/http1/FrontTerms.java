package sablehinge.dataplane.http1;

/**
 * The limits of a frontend for its clients.
 *
 * @param headerBytes the largest head of a request
 * @param bodyBytes the largest body
 * @param requestTimeoutMs time in which a request must be complete after its first byte, and the first request of a
 *     connection after it was accepted
 * @param bytesPerMs a request gets one ms more for each so many bytes of it
 * @param firstRequestTimeoutMs how long a connection may stay open without a first request
 * @param idleTimeoutMs how long a connection may be idle between two requests
 * @param maxBufferedBodyBytes the largest body that is buffered completely, so that it can be sent again
 * @param concurrent whether pipelined requests that may be repeated are started at once
 */
public record FrontTerms(
        int headerBytes,
        long bodyBytes,
        double requestTimeoutMs,
        double bytesPerMs,
        double firstRequestTimeoutMs,
        double idleTimeoutMs,
        int maxBufferedBodyBytes,
        boolean concurrent) {}

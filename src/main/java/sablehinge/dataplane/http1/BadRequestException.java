package sablehinge.dataplane.http1;

import io.netty.handler.codec.http.HttpResponseStatus;

/** A request that is not accepted, and the response to it. No part of the request was passed on. */
public final class BadRequestException extends Exception {

    private static final long serialVersionUID = 1;
    private final transient HttpResponseStatus status;
    private final boolean last;
    private final double retryAfter;
    private final double maxWaitMs;

    private BadRequestException(
            HttpResponseStatus status, String message, boolean last, double retryAfter, double maxWaitMs) {
        super(message, null, false, false);
        this.status = status;
        this.last = last;
        this.retryAfter = retryAfter;
        this.maxWaitMs = maxWaitMs;
    }

    /**
     * Creates an error of the client. Nothing more is read from its connection, as further requests may be malformed
     * too.
     */
    public BadRequestException(HttpResponseStatus status, String message) {
        this(status, message, true, 0, 0);
    }

    /** Creates an error of the client with status 400. */
    public BadRequestException(String message) {
        this(HttpResponseStatus.BAD_REQUEST, message);
    }

    /** Creates a rejection of a well-formed request; its connection stays open. */
    public static BadRequestException rejected(HttpResponseStatus status, String message) {
        return new BadRequestException(status, message, false, 0, 0);
    }

    /** Creates a rejection of a well-formed request that the client should retry after the given ms. */
    public static BadRequestException rejected(HttpResponseStatus status, String message, double retryAfter) {
        return new BadRequestException(status, message, false, retryAfter, 0);
    }

    /**
     * Returns the same error, which may be deferred for the given ms from the time at which its request was received.
     */
    public BadRequestException withMaxWait(double millis) {
        return new BadRequestException(status, getMessage(), last, retryAfter, millis);
    }

    /** The status of the response. */
    public HttpResponseStatus status() {
        return status;
    }

    /** Whether nothing more is read from the connection. */
    public boolean isLast() {
        return last;
    }

    /**
     * How long the request may be deferred after it was received, in ms, as the configuration that it needs may arrive.
     */
    public double maxWaitMs() {
        return maxWaitMs;
    }

    /** When to retry, in ms from now; 0 for no advice. */
    public double retryAfter() {
        return retryAfter;
    }
}

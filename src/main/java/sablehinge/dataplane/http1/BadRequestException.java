package sablehinge.dataplane.http1;

import io.netty.handler.codec.http.HttpResponseStatus;

/** A request that is not taken, and how to say so: nothing of it has gone any further. */
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

    /** One that its caller has got wrong; what else comes from there may be no better. */
    public BadRequestException(HttpResponseStatus status, String message) {
        this(status, message, true, 0, 0);
    }

    /** Likewise, as a bad request. */
    public BadRequestException(String message) {
        this(HttpResponseStatus.BAD_REQUEST, message);
    }

    /** One that was read well and is rejected; its connection goes on. */
    public static BadRequestException rejected(HttpResponseStatus status, String message) {
        return new BadRequestException(status, message, false, 0, 0);
    }

    /** Likewise, and its caller ought to come back after so many ms. */
    public static BadRequestException rejected(HttpResponseStatus status, String message, double retryAfter) {
        return new BadRequestException(status, message, false, retryAfter, 0);
    }

    /** The same, which may be put off for so many ms from the time at which its request came. */
    public BadRequestException withMaxWait(double millis) {
        return new BadRequestException(status, getMessage(), last, retryAfter, millis);
    }

    /** The status that says it. */
    public HttpResponseStatus status() {
        return status;
    }

    /** Whether nothing more is read from its connection. */
    public boolean isLast() {
        return last;
    }

    /** For how many ms its request may be put off since it came, as what it asks for may be on its way. */
    public double maxWaitMs() {
        return maxWaitMs;
    }

    /** When to come back, in ms from now; 0 for no advice. */
    public double retryAfter() {
        return retryAfter;
    }
}

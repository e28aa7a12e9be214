package sablehinge.dataplane.proxy;

import sablehinge.policy.LoadBalancer.Result;

/**
 * The progress of an attempt on its connection to a server, and the result for each way in which it can end. This table
 * alone decides whether an attempt may have run ({@link Verdict}); transports only report states and events.
 *
 * <p>A server can't run a request of whose body it has received nothing. Some begin to work on a request as soon as the
 * first part of its body arrives; the transports to them report {@link #bodyStarted}, and from then on only the
 * server's own response proves that the request has not run. The same holds for all once they have started to respond.
 */
public enum AttemptState {
    /** No byte of the request was written to a connection. */
    UNSENT,
    /** The request is being written, but not its last byte, and the server has begun nothing. */
    PARTLY_SENT,
    /** The kernel accepted a part of the body, but not the last byte of the request, and the server may have begun. */
    BODY_STARTED,
    /** The kernel accepted the last byte of the request. */
    SENT,
    /** The first byte of the response arrived before the last byte of the request was written. */
    ANSWERED_EARLY,
    /** The first byte of the response arrived after the last byte of the request was written. */
    ANSWERING;

    /** An event that ends an attempt. */
    public enum Event {
        /** The proxy has no socket, memory or time left for the attempt. */
        NO_ROOM,
        /** No connection could be established, or the upstream must not receive further requests. */
        NO_CONNECTION,
        /** Part of the request can't be written, or the upstream does not read it. */
        WRITE_FAILED,
        /** The connection was closed or reset. */
        CONNECTION_ENDED,
        /** The received bytes are no valid response, or belong to a different request. */
        MALFORMED_ANSWER,
        /** The deadline of the attempt has passed. */
        DEADLINE,
        /** The attempt is no longer needed. */
        CANCELLED,
        /** A complete response states that the request has not run. */
        REFUSED_ANSWER,
        /** A complete response that is not a success. */
        FAILED_ANSWER,
        /** A successful response, either complete or streamed to the client. */
        SERVED_ANSWER
    }

    /** The state after the first byte of the response. */
    public AttemptState responseStarted() {
        return switch (this) {
            case UNSENT, PARTLY_SENT, BODY_STARTED, ANSWERED_EARLY -> ANSWERED_EARLY;
            case SENT, ANSWERING -> ANSWERING;
        };
    }

    /** The state after part of the request was written to the connection. */
    public AttemptState partSent() {
        return this == UNSENT ? PARTLY_SENT : this;
    }

    /** The state after the kernel accepted a part of the body. */
    public AttemptState bodyStarted() {
        return this == UNSENT || this == PARTLY_SENT ? BODY_STARTED : this;
    }

    /** The state after the last byte of the request was written. */
    public AttemptState fullySent() {
        return switch (this) {
            case UNSENT, PARTLY_SENT, BODY_STARTED, SENT -> SENT;
            case ANSWERED_EARLY, ANSWERING -> ANSWERING;
        };
    }

    /** Whether only the server's response can prove that the request has not run. */
    public boolean mayHaveRun() {
        return this != UNSENT && this != PARTLY_SENT;
    }

    /** The result of an attempt that is ended in this state by an event. */
    public Result resultOf(Event event) {
        return switch (event) {
            case NO_ROOM -> mayHaveRun() ? Result.ERROR : Result.NOT_SENT;
            case NO_CONNECTION -> mayHaveRun() ? Result.RESET : Result.CONNECT_FAILED;
            case WRITE_FAILED, CONNECTION_ENDED -> mayHaveRun() ? Result.RESET : Result.CONNECT_FAILED;
            case MALFORMED_ANSWER -> mayHaveRun() ? Result.ERROR : Result.CONNECT_FAILED;
            case DEADLINE -> mayHaveRun() ? Result.TIMEOUT : Result.CONNECT_FAILED;
            case CANCELLED -> Result.CANCELLED;
            case REFUSED_ANSWER -> Result.FULL;
            case FAILED_ANSWER -> Result.ERROR;
            // A success that arrives before the request is sent completely can't belong to this request.
            case SERVED_ANSWER -> this == SENT || this == ANSWERING ? Result.OK : Result.ERROR;
        };
    }
}

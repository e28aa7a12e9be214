package sablehinge.dataplane.proxy;

import sablehinge.policy.LoadBalancer.Result;

/**
 * How far an attempt has come on its connection to a server, and what each way in which it can end says of it. This
 * table alone decides whether an attempt may have run ({@link Verdict}); transports report states and events.
 *
 * <p>A server can't run what it has not been sent completely. One that has begun to answer has seen more of the request
 * than we can know, so from then on only its own word proves that nothing has run.
 */
public enum AttemptState {
    /** No byte of the request has gone to a connection. */
    UNSENT,
    /** A part of the request has, and not its last byte. */
    PARTLY_SENT,
    /** The system has taken its last byte. */
    SENT,
    /** The first byte of an answer came before the last one of the request had gone. */
    ANSWERED_EARLY,
    /** The first byte of an answer came after that. */
    ANSWERING;

    /** What ends an attempt. */
    public enum Event {
        /** There is no socket, no memory or no time for it on this side. */
        NO_ROOM,
        /** No connection comes up, or its upstream is to be sent nothing more. */
        NO_CONNECTION,
        /** A part of the request can't be written, or nobody takes it. */
        WRITE_FAILED,
        /** The connection has ended, in order or by a reset. */
        CONNECTION_ENDED,
        /** What came is no answer, or is none to this request. */
        MALFORMED_ANSWER,
        /** Its time is over. */
        DEADLINE,
        /** Nobody waits for it any more. */
        CANCELLED,
        /** A complete answer says that the request has not run. */
        REFUSED_ANSWER,
        /** A complete answer that is no success. */
        FAILED_ANSWER,
        /** A success, complete or to be passed on. */
        SERVED_ANSWER
    }

    /** The state once the first byte of an answer has come. */
    public AttemptState answerBegins() {
        return switch (this) {
            case UNSENT, PARTLY_SENT, ANSWERED_EARLY -> ANSWERED_EARLY;
            case SENT, ANSWERING -> ANSWERING;
        };
    }

    /** The state once a part of the request has been handed to its connection. */
    public AttemptState partSent() {
        return this == UNSENT ? PARTLY_SENT : this;
    }

    /** The state once the last byte of the request has gone. */
    public AttemptState fullySent() {
        return switch (this) {
            case UNSENT, PARTLY_SENT, SENT -> SENT;
            case ANSWERED_EARLY, ANSWERING -> ANSWERING;
        };
    }

    /** Whether nothing but its server's word can prove that it has not run. */
    public boolean mayHaveRun() {
        return this != UNSENT && this != PARTLY_SENT;
    }

    /** How an attempt in this state ends by an event. */
    public Result ends(Event event) {
        return switch (event) {
            case NO_ROOM -> mayHaveRun() ? Result.ERROR : Result.NOT_SENT;
            case NO_CONNECTION -> mayHaveRun() ? Result.RESET : Result.CONNECT_FAILED;
            case WRITE_FAILED, CONNECTION_ENDED -> mayHaveRun() ? Result.RESET : Result.CONNECT_FAILED;
            case MALFORMED_ANSWER -> mayHaveRun() ? Result.ERROR : Result.CONNECT_FAILED;
            case DEADLINE -> mayHaveRun() ? Result.TIMEOUT : Result.CONNECT_FAILED;
            case CANCELLED -> Result.CANCELLED;
            case REFUSED_ANSWER -> Result.FULL;
            case FAILED_ANSWER -> Result.ERROR;
            // What is served before the request is complete was made for something else.
            case SERVED_ANSWER -> this == SENT || this == ANSWERING ? Result.OK : Result.ERROR;
        };
    }
}

package sablehinge.dataplane.http1;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import sablehinge.dataplane.budget.HeaderText;
import sablehinge.dataplane.proxy.Answer;
import sablehinge.dataplane.proxy.Version;

/**
 * The protocol between clients and a frontend on top of HTTP: which requests clients may send, and how answers are
 * represented.
 */
public interface FrontDialect {

    /** The limits for clients at present. */
    FrontTerms terms();

    /** Whether a request is a health check of the frontend, which is answered at once. */
    default boolean isHealth(HttpRequest request) {
        return false;
    }

    /** Whether a request may run more than once, so that it may be started before those ahead of it are answered. */
    default boolean isRepeatable(HttpRequest request) {
        return false;
    }

    /**
     * Reads the head of a request, and may change it before it is forwarded.
     *
     * @param hasBody whether it has a body, which may still be received
     * @param completedAt when it was complete, or now if it is still being received; its deadline counts from then
     * @param now in ms of the proxy's clock
     */
    CheckedRequest read(HttpRequest request, boolean hasBody, double completedAt, double now)
            throws BadRequestException;

    /**
     * The error to answer an invalid request with, or null to read the request again a little later, as the
     * configuration that it needs may arrive.
     *
     * @param mayWait whether it may be deferred; false if too many requests are
     * @param completedAt when it was complete, in ms of the proxy's clock
     * @param now in ms of the proxy's clock
     */
    default BadRequestException refusal(BadRequestException why, boolean mayWait, double completedAt, double now) {
        return why;
    }

    /** The HTTP status of an answer. */
    HttpResponseStatus status(Answer answer);

    /** The body of an answer, not retained. */
    ByteBuf content(Answer answer);

    /**
     * Sets the headers of a response, except those that frame it.
     *
     * @param answer null if the request was not passed to the proxy
     * @param version null if the request was not read
     * @param request the request that is answered; null if none could be read
     */
    void setHeaders(HttpResponse response, Answer answer, Version version, HttpRequest request);

    /** Enables the headers with budgets, if the protocol has them. */
    default void enableBudgets(HeaderText text) {}

    /** Accepts requests by the version that is about to be replaced until the given time. */
    default void acceptPreviousVersion(double until) {}
}

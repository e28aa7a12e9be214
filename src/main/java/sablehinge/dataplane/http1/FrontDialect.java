package sablehinge.dataplane.http1;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import sablehinge.dataplane.budget.HeaderText;
import sablehinge.dataplane.proxy.Answer;
import sablehinge.dataplane.proxy.Version;

/** What callers and a front say to each other beyond HTTP: who may ask for what, and how answers are worded. */
public interface FrontDialect {

    /** What callers may do now. */
    FrontTerms terms();

    /** Whether this asks if the front is there, and is answered at once. */
    default boolean isHealth(HttpRequest request) {
        return false;
    }

    /** Whether this may run more than once, so that it may be begun before what came ahead of it is answered. */
    default boolean isRepeatable(HttpRequest request) {
        return false;
    }

    /**
     * Reads the head of a request, and may change it for those that it goes on to.
     *
     * @param hasBody whether it has one, which may be still coming
     * @param cameAt when it was complete, or now if it is still coming; its time counts from then
     * @param now in ms of the core's clock
     */
    CheckedRequest read(HttpRequest request, boolean hasBody, double cameAt, double now) throws BadRequestException;

    /**
     * What to answer to a request that can't be taken, or null to read it again a little later: what it asks for may be
     * on its way here.
     *
     * @param mayWait whether it may be put off; false where too many are
     * @param cameAt when it was complete, in ms of the core's clock
     * @param now in ms of the core's clock
     */
    default BadRequestException refusal(BadRequestException why, boolean mayWait, double cameAt, double now) {
        return why;
    }

    /** The status of an answer. */
    HttpResponseStatus status(Answer answer);

    /** The body of an answer, lent. */
    ByteBuf content(Answer answer);

    /**
     * Sets the headers of an answer, those apart that frame it.
     *
     * @param answer null where the request was not taken
     * @param version null where the request was not read
     * @param request that it answers; null where none could be read
     */
    void setHeaders(HttpResponse response, Answer answer, Version version, HttpRequest request);

    /** Switches on the headers of budgets, where there are any. */
    default void enableBudgets(HeaderText text) {}

    /** Lets requests be read by the version that is about to be replaced until the given time. */
    default void acceptPreviousVersion(double until) {}
}

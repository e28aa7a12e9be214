package sablehinge.http1;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import sablehinge.budget.HeaderText;
import sablehinge.core.Answer;
import sablehinge.core.Version;

/**
 * What callers and a front say to each other beyond HTTP: who may ask for what, and how answers are worded.
 */
public interface FrontDialect {

    /** What callers may do now. */
    FrontTerms terms();

    /** Whether this asks if the front is there, and is answered at once. */
    default boolean isHealth(HttpRequest request) {
        return false;
    }

    /**
     * Whether this may run more than once, so that it may be begun before what came ahead of it is
     * answered.
     */
    default boolean isRepeatable(HttpRequest request) {
        return false;
    }

    /**
     * Reads the head of a request, and may change it for those that it goes on to.
     *
     * @param hasBody whether it has one, which may be still coming
     * @param now in ms of the core's clock
     */
    Checked read(HttpRequest request, boolean hasBody, double now) throws BadRequestException;

    /**
     * Whether to read this again a little later rather than turn it away: what it asks for may be on its way
     * here. Asked before the answer is given.
     *
     * @param waited how long that has been put off, in ms
     * @param now in ms of the core's clock
     */
    default boolean waits(BadRequestException why, double waited, double now) {
        return false;
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
    void dress(HttpResponse response, Answer answer, Version version, HttpRequest request);

    /** Switches on the headers of budgets, where there are any. */
    default void budgets(HeaderText text) { }

    /** Lets requests be read by the version that is about to be replaced until the given time. */
    default void takesLate(double until) { }
}

package sablehinge.dataplane.http1;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import sablehinge.dataplane.budget.Budget;
import sablehinge.dataplane.budget.HeaderText;
import sablehinge.dataplane.budget.Report;
import sablehinge.dataplane.proxy.Roster.Member;
import sablehinge.policy.LoadBalancer.Result;
import sablehinge.policy.LoadBalancer.Settings;

/** The protocol between a transport and upstreams on top of HTTP. */
public interface UpstreamDialect {

    /** The timeouts and properties that are expected of upstreams. */
    UpstreamTerms terms();

    /**
     * Sets the headers of a request to an upstream, except those that frame it.
     *
     * @param received the request as the client sent it
     * @param remainingMs time until the attempt is aborted, in ms
     * @param budget of the request; null for none
     */
    void setHeaders(HttpRequest sent, HttpRequest received, Member member, double remainingMs, Budget budget);

    /** Whether the load balancer may retry a request after it may have run. */
    boolean resendable(HttpRequest request);

    /** The id by which responses name this request; null if the protocol has no such ids. */
    default String requestId(HttpRequest request) {
        return null;
    }

    /**
     * Whether a response names the request that it belongs to, if the protocol requires that, and contains each header
     * once that tells something about this request.
     */
    default boolean identifiesRequest(HttpResponse answer) {
        return true;
    }

    /** Whether a response is the one to this request, and not to an earlier one. */
    default boolean isResponseTo(HttpRequest request, HttpResponse answer) {
        return true;
    }

    /** Whether a response may be relayed before it is complete. */
    boolean canRelay(HttpResponse answer);

    /** The result of an attempt by its response, which is complete or {@linkplain #canRelay can be relayed}. */
    Result judge(HttpResponse answer);

    /** The load report in a response, or null. */
    default double[] loadReport(HttpMessage answer, Settings settings) {
        return null;
    }

    /** The report on the use of the request's budget, or null. */
    default Report budgetReport(HttpMessage answer) {
        return null;
    }

    /** Enables the headers with budgets, if the protocol has them. */
    default void enableBudgets(HeaderText text) {}

    /** Whether an unsuccessful response is forwarded to the client if no better one is received. */
    default boolean forwardsFailure(HttpMessage answer) {
        return false;
    }
}

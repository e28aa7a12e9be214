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

/** What a transport and upstreams say to each other beyond HTTP. */
public interface UpstreamDialect {

    /** What is expected of upstreams. */
    UpstreamTerms terms();

    /**
     * Sets the headers of what goes to an upstream, those apart that frame it.
     *
     * @param given as it came from the caller
     * @param left until the attempt is given up, in ms
     * @param budget of the request; null for none
     */
    void setHeaders(HttpRequest sent, HttpRequest given, Member to, double left, Budget budget);

    /** Whether the module may ever send this again once it may have run. */
    boolean resendable(HttpRequest request);

    /** Whether an answer says to which request it belongs, where answers must. */
    default boolean identifiesRequest(HttpResponse answer) {
        return true;
    }

    /** Whether an answer is one to this request, and not to one before it. */
    default boolean isResponseTo(HttpRequest request, HttpResponse answer) {
        return true;
    }

    /** Whether an answer may be passed on before it is complete. */
    boolean canRelay(HttpResponse answer);

    /** The result of an attempt by its answer, which is complete, or {@link #canRelay}. */
    Result judge(HttpResponse answer);

    /** The load report that came with an answer, or null. */
    default double[] loadReport(HttpMessage answer, Settings settings) {
        return null;
    }

    /** What came back of the request's budget, or null. */
    default Report budgetReport(HttpMessage answer) {
        return null;
    }

    /** Switches on the headers of budgets, where there are any. */
    default void enableBudgets(HeaderText text) {}

    /** Whether an answer that is no success is passed on to the caller where nothing better comes. */
    default boolean forwardsFailure(HttpMessage answer) {
        return false;
    }
}

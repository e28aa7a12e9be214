package sablehinge.dataplane.http1;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import sablehinge.dataplane.budget.Budget;
import sablehinge.dataplane.budget.HeaderText;
import sablehinge.dataplane.budget.Report;
import sablehinge.dataplane.proxy.Roster.Member;
import sablehinge.policy.LoadBalancer.Reports;
import sablehinge.policy.LoadBalancer.Result;
import sablehinge.policy.LoadBalancer.Settings;

/** The protocol of the platform's upstreams. */
final class PlatformUpstream implements UpstreamDialect {

    private static final UpstreamTerms TERMS =
            new UpstreamTerms(300, Freshness.DEFAULT_MAX_IDLE_FOR_UNSAFE_MS, 10_000, false, false);
    /**
     * The headers of a request that are forwarded. Others concern only the client's connection, or must not be trusted.
     */
    private static final List<String> FORWARDED_HEADERS =
            List.of("X-Txn", "Idempotency-Key", "X-Lane", "X-Org", "Cookie", "X-Resent", "X-Estimate", "X-Labels");
    /** Formats and parses budgets; null while they are disabled. */
    private HeaderText budgets;

    @Override
    public UpstreamTerms terms() {
        return TERMS;
    }

    @Override
    public void setHeaders(HttpRequest sent, HttpRequest received, Member member, double remainingMs, Budget budget) {
        sent.headers().set("Host", member.address().getHostString());
        for (String name : FORWARDED_HEADERS) {
            String value = received.headers().get(name);
            if (value != null) {
                sent.headers().set(name, value);
            }
        }
        if (budget != null && budgets != null) {
            sent.headers().set(UpstreamClient.BUDGET_HEADER, budgets.write(budget));
        }
        // Rounded down: the upstream must not assume that this balancer waits longer than it does.
        sent.headers().set("X-Remaining", UpstreamClient.seconds(remainingMs));
    }

    @Override
    public boolean resendable(HttpRequest request) {
        return !request.method().equals(HttpMethod.POST) || request.headers().contains("Idempotency-Key");
    }

    @Override
    public boolean canRelay(HttpResponse answer) {
        return answer.status().code() == 200;
    }

    @Override
    public Result judge(HttpResponse answer) {
        int status = answer.status().code();
        boolean rejected =
                (status == 503 || status == 504) && "1".equals(answer.headers().get("X-Turned-Away"));
        return rejected ? Result.FULL : status == 200 ? Result.OK : Result.ERROR;
    }

    @Override
    public double[] loadReport(HttpMessage answer, Settings settings) {
        return settings.reports() != Reports.PIGGYBACK
                ? null
                : LoadReport.parse(answer.headers().get("X-Pressure"), settings.reportFields());
    }

    @Override
    public Report budgetReport(HttpMessage answer) {
        return budgets == null
                ? null
                : budgets.readReport(answer.headers().get(UpstreamClient.SPENT_HEADER))
                        .value();
    }

    @Override
    public void enableBudgets(HeaderText text) {
        budgets = text;
    }
}

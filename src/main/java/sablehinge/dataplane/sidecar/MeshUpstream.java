package sablehinge.dataplane.sidecar;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import sablehinge.common.eventloop.Clock;
import sablehinge.dataplane.budget.Budget;
import sablehinge.dataplane.http1.HopHeaders;
import sablehinge.dataplane.http1.UpstreamDialect;
import sablehinge.dataplane.http1.UpstreamTerms;
import sablehinge.dataplane.proxy.Roster.Member;
import sablehinge.dataplane.proxy.ShutdownDeadlines;
import sablehinge.policy.LoadBalancer.Result;

/** What a balancer says to another one beside an upstream, and what that says to its upstream. */
final class MeshUpstream implements UpstreamDialect {

    /** That nothing comes is no reason to end an answer sooner than its deadline, nor is a pause in it. */
    private static final long STALL_MS = 5_000;

    private static final double YOUNG_MS = 60_000;
    private static final long STUCK_MS = 10_000;
    private static final UpstreamTerms TO_BALANCERS = new UpstreamTerms(STALL_MS, YOUNG_MS, STUCK_MS, true);
    /** An upstream that breaks off an answer serves on over its other connections. */
    private static final UpstreamTerms TO_UPSTREAM = new UpstreamTerms(STALL_MS, YOUNG_MS, STUCK_MS, false);

    private static final int MISDIRECTED = 421;

    private final Clock clock;
    private final boolean toBalancers;
    private final Runnable onRejected;
    /** Until when a request may wait for its upstream, whatever its front says, ms. */
    private double startUntil = Double.POSITIVE_INFINITY;

    /** The dialect to other balancers. */
    MeshUpstream(Clock clock) {
        this(clock, true, () -> {});
    }

    /** The dialect to the upstream of the own machine; {@code onRejected} is run for each refusal there. */
    MeshUpstream(Clock clock, Runnable onRejected) {
        this(clock, false, onRejected);
    }

    private MeshUpstream(Clock clock, boolean toBalancers, Runnable onRejected) {
        this.clock = clock;
        this.toBalancers = toBalancers;
        this.onRejected = onRejected;
    }

    /** The process is about to end: no request waits for its upstream until it is too late to answer it. */
    void drain(ShutdownDeadlines deadlines) {
        startUntil = deadlines.startUntil();
    }

    @Override
    public UpstreamTerms terms() {
        return toBalancers ? TO_BALANCERS : TO_UPSTREAM;
    }

    /** What is not meant to go on was taken out when the request was read. */
    @Override
    public void setHeaders(HttpRequest sent, HttpRequest given, Member to, double left, Budget budget) {
        HttpHeaders headers = sent.headers();
        HopHeaders.copy(given.headers(), headers);
        headers.set(MeshHeaders.LEFT, (long) Math.max(0, left));
        if (toBalancers) {
            headers.set(MeshHeaders.DELIVER, to.name());
            // Kept as the time until which it may wait, as it may be sent more than once.
            double until = Math.min(startUntil, Double.parseDouble(headers.get(MeshHeaders.QUEUE_TIMEOUT)));
            headers.set(MeshHeaders.QUEUE_TIMEOUT, (long) Math.max(0, until - clock.now()));
        }
    }

    @Override
    public boolean resendable(HttpRequest request) {
        return false;
    }

    @Override
    public boolean isResponseTo(HttpRequest request, HttpResponse answer) {
        String sentTryId = request.headers().get(MeshHeaders.TRY);
        String given = answer.headers().get(MeshHeaders.TRY);
        return sentTryId == null || given == null || sentTryId.equals(given);
    }

    /** Every answer of an upstream, and every one of ours to a request that was read, names its request. */
    @Override
    public boolean identifiesRequest(HttpResponse answer) {
        return answer.headers().contains(MeshHeaders.TRY);
    }

    @Override
    public boolean canRelay(HttpResponse answer) {
        return verdict(answer) == Result.OK;
    }

    @Override
    public Result judge(HttpResponse answer) {
        Result result = verdict(answer);
        if (result == Result.FULL) {
            onRejected.run();
        }
        return result;
    }

    private Result verdict(HttpResponse answer) {
        HttpHeaders headers = answer.headers();
        if (toBalancers
                ? MeshHeaders.PROVEN.equals(headers.get(MeshHeaders.VERDICT))
                : headers.contains(MeshHeaders.NOT_RUN) || answer.status().code() == MISDIRECTED) {
            return Result.FULL;
        }
        boolean served = answer.status().codeClass() == HttpStatusClass.SUCCESS
                && headers.contains(MeshHeaders.STAMP)
                && headers.contains(MeshHeaders.TRY)
                && !headers.contains("Content-Encoding");
        return served ? Result.OK : Result.ERROR;
    }

    /** A success that lacks its stamp must not reach a client, and neither must what was encoded on the way. */
    @Override
    public boolean forwardsFailure(HttpMessage answer) {
        return answer instanceof HttpResponse response
                && response.status().codeClass() != HttpStatusClass.SUCCESS
                && response.status().codeClass() != HttpStatusClass.REDIRECTION
                && !response.headers().contains("Content-Encoding")
                && (!toBalancers || MeshHeaders.RAN.equals(response.headers().get(MeshHeaders.VERDICT)));
    }
}

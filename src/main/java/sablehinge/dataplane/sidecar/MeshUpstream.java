package sablehinge.dataplane.sidecar;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.List;
import sablehinge.common.eventloop.Clock;
import sablehinge.dataplane.budget.Budget;
import sablehinge.dataplane.http1.HopHeaders;
import sablehinge.dataplane.http1.UpstreamDialect;
import sablehinge.dataplane.http1.UpstreamTerms;
import sablehinge.dataplane.proxy.Roster.Member;
import sablehinge.dataplane.proxy.ShutdownDeadlines;
import sablehinge.policy.LoadBalancer.Result;

/** The HTTP dialect between sidecars, and between a sidecar and its local upstream. */
final class MeshUpstream implements UpstreamDialect {

    /** Silence of an upstream gives no ground for ending a response before its request's deadline (RULES, LOST). */
    private static final double RESPONSE_STALL_MS = Double.POSITIVE_INFINITY;

    private static final double UNSAFE_REUSE_IDLE_MS = 60_000;
    private static final long BODY_STALL_MS = 10_000;
    private static final UpstreamTerms TO_SIDECARS =
            new UpstreamTerms(RESPONSE_STALL_MS, UNSAFE_REUSE_IDLE_MS, BODY_STALL_MS, true, true);
    /** An upstream that aborts a response continues to serve on its other connections. */
    private static final UpstreamTerms TO_UPSTREAM =
            new UpstreamTerms(RESPONSE_STALL_MS, UNSAFE_REUSE_IDLE_MS, BODY_STALL_MS, false, true);

    private static final int MISDIRECTED = 421;
    /** Headers of a response that contradict each other if they are repeated. */
    private static final List<String> SINGLE_HEADERS =
            List.of(MeshHeaders.NOT_RUN, MeshHeaders.POSTMARK, MeshHeaders.VERDICT);

    private final Clock clock;
    private final boolean toSidecars;
    private final Runnable onRejected;
    /** Limits how long requests may wait for their upstream during shutdown, in ms of the clock. */
    private double startUntil = Double.POSITIVE_INFINITY;

    /** Creates the dialect to other sidecars. */
    MeshUpstream(Clock clock) {
        this(clock, true, () -> {});
    }

    /**
     * Creates the dialect to the local upstream; {@code onRejected} runs for each request that the upstream rejects.
     */
    MeshUpstream(Clock clock, Runnable onRejected) {
        this(clock, false, onRejected);
    }

    private MeshUpstream(Clock clock, boolean toSidecars, Runnable onRejected) {
        this.clock = clock;
        this.toSidecars = toSidecars;
        this.onRejected = onRejected;
    }

    /** Begins the shutdown: no request may wait for its upstream until it is too late to answer. */
    void drain(ShutdownDeadlines deadlines) {
        startUntil = deadlines.startUntil();
    }

    @Override
    public UpstreamTerms terms() {
        return toSidecars ? TO_SIDECARS : TO_UPSTREAM;
    }

    /** Headers that must not be forwarded were removed when the request was read. */
    @Override
    public void setHeaders(HttpRequest sent, HttpRequest request, Member to, double remainingMs, Budget budget) {
        HttpHeaders headers = sent.headers();
        HopHeaders.copy(request.headers(), headers);
        headers.set(MeshHeaders.TIME_LEFT, (long) Math.max(0, remainingMs));
        if (toSidecars) {
            headers.set(MeshHeaders.DELIVER_TO, to.name());
            // Until here the header contains the absolute time, as the request may be sent more than once.
            double until = Math.min(startUntil, Double.parseDouble(headers.get(MeshHeaders.QUEUE_TIMEOUT)));
            headers.set(MeshHeaders.QUEUE_TIMEOUT, (long) Math.max(0, until - clock.now()));
        }
    }

    @Override
    public boolean resendable(HttpRequest request) {
        return false;
    }

    @Override
    public String requestId(HttpRequest request) {
        return request.headers().get(MeshHeaders.TRY_ID);
    }

    @Override
    public boolean isResponseTo(HttpRequest request, HttpResponse answer) {
        String sentTryId = requestId(request);
        return sentTryId != null && sentTryId.equals(answer.headers().get(MeshHeaders.TRY_ID));
    }

    /**
     * Every response of an upstream, and every answer of a sidecar to a request that it has read, names its request.
     */
    @Override
    public boolean identifiesRequest(HttpResponse answer) {
        return answer.headers().getAll(MeshHeaders.TRY_ID).size() == 1
                && SINGLE_HEADERS.stream()
                        .allMatch(name -> answer.headers().getAll(name).size() <= 1);
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
        if (toSidecars
                ? MeshHeaders.VERDICT_NOT_RUN.equals(headers.get(MeshHeaders.VERDICT))
                : headers.contains(MeshHeaders.NOT_RUN) || answer.status().code() == MISDIRECTED) {
            return Result.FULL;
        }
        boolean served = answer.status().codeClass() == HttpStatusClass.SUCCESS
                && headers.contains(MeshHeaders.POSTMARK)
                && headers.contains(MeshHeaders.TRY_ID)
                && !headers.contains("Content-Encoding");
        return served ? Result.OK : Result.ERROR;
    }

    /** A success without its postmark must not reach a client, nor a response whose encoding was changed on the way. */
    @Override
    public boolean forwardsFailure(HttpMessage answer) {
        return answer instanceof HttpResponse response
                && response.status().codeClass() != HttpStatusClass.SUCCESS
                && response.status().codeClass() != HttpStatusClass.REDIRECTION
                && !response.headers().contains("Content-Encoding")
                && (!toSidecars
                        || MeshHeaders.VERDICT_RAN.equals(response.headers().get(MeshHeaders.VERDICT)));
    }
}

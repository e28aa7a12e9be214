package sablehinge.dataplane.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import sablehinge.dataplane.http1.BadRequestException;
import sablehinge.dataplane.http1.CheckedRequest;
import sablehinge.dataplane.http1.FrontDialect;
import sablehinge.dataplane.http1.FrontTerms;
import sablehinge.dataplane.http1.Payloads;
import sablehinge.dataplane.proxy.Answer;
import sablehinge.dataplane.proxy.Arrival;
import sablehinge.dataplane.proxy.RequestProxy;
import sablehinge.dataplane.proxy.Version;

/**
 * What balancers say to the balancer beside an upstream. It looks at no configuration: the one that drew the upstream
 * names its incarnation, and how long the request may wait here. Each answer of our own has the verdict.
 */
final class InboundFront implements FrontDialect {

    private static final int HEADER_BYTES = 64 * 1024;
    private static final int KEPT = 1024 * 1024;
    private static final double SLOW_MS = 60_000;
    private static final double IDLE_MS = 40_000;
    private static final long BODY_BYTES = 1L << 30;
    private static final int SLOWEST = 10;
    private static final FrontTerms TERMS =
            new FrontTerms(HEADER_BYTES, BODY_BYTES, SLOW_MS, SLOWEST, IDLE_MS, IDLE_MS, KEPT, 64 * KEPT, false);

    private final RequestProxy core;

    InboundFront(RequestProxy core) {
        this.core = core;
    }

    @Override
    public FrontTerms terms() {
        return TERMS;
    }

    @Override
    public CheckedRequest read(HttpRequest request, boolean hasBody, double cameAt, double now)
            throws BadRequestException {
        HttpHeaders headers = request.headers();
        String meant = MeshHeaders.single(headers, MeshHeaders.DELIVER);
        if (meant == null) {
            throw new BadRequestException(MeshHeaders.DELIVER + " is missing");
        }
        double left = MeshHeaders.millis(headers, MeshHeaders.LEFT, 0);
        double queueTimeoutMs = MeshHeaders.millis(headers, MeshHeaders.QUEUE_TIMEOUT, 0);
        int rank = (int) MeshHeaders.millis(headers, MeshHeaders.RANK, 0);
        headers.remove(MeshHeaders.QUEUE_TIMEOUT).remove(MeshHeaders.RANK);
        return new CheckedRequest(
                "",
                new Arrival(
                        0,
                        rank,
                        MeshHeaders.incarnation(meant),
                        cameAt + left,
                        Math.min(queueTimeoutMs, left),
                        false,
                        false),
                core.version());
    }

    @Override
    public HttpResponseStatus status(Answer answer) {
        return MeshResponses.status(answer);
    }

    @Override
    public ByteBuf content(Answer answer) {
        return MeshResponses.content(answer);
    }

    @Override
    public void setHeaders(HttpResponse response, Answer answer, Version version, HttpRequest request) {
        MeshResponses.dress(response, answer, request);
        response.headers().set(MeshHeaders.VERDICT, verdict(answer));
    }

    /** Whether the request has run, as far as it is known. */
    private static String verdict(Answer answer) {
        if (answer == null || answer.kind() == Answer.Kind.REFUSED) {
            return MeshHeaders.PROVEN;
        }
        return Payloads.head(answer.payload()) != null ? MeshHeaders.RAN : MeshHeaders.DOUBT;
    }
}

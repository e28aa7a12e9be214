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
 * The front end for requests from other sidecars to the local upstream. It needs no configuration: the sending sidecar
 * names the upstream's incarnation and how long the request may wait here. Each answer contains the verdict.
 */
final class InboundFront implements FrontDialect {

    private static final int MAX_HEADER_BYTES = 64 * 1024;
    private static final int MAX_BUFFERED_BYTES = 1024 * 1024;
    private static final double REQUEST_TIMEOUT_MS = 60_000;
    private static final double IDLE_MS = 40_000;
    private static final long MAX_BODY_BYTES = 1L << 30;
    private static final int MIN_BYTES_PER_MS = 10;
    private static final FrontTerms TERMS = new FrontTerms(
            MAX_HEADER_BYTES,
            MAX_BODY_BYTES,
            REQUEST_TIMEOUT_MS,
            MIN_BYTES_PER_MS,
            IDLE_MS,
            IDLE_MS,
            MAX_BUFFERED_BYTES,
            false);

    private final RequestProxy proxy;

    InboundFront(RequestProxy proxy) {
        this.proxy = proxy;
    }

    @Override
    public FrontTerms terms() {
        return TERMS;
    }

    @Override
    public CheckedRequest read(HttpRequest request, boolean hasBody, double arrivedAt, double now)
            throws BadRequestException {
        HttpHeaders headers = request.headers();
        String incarnation = MeshHeaders.single(headers, MeshHeaders.DELIVER_TO);
        if (incarnation == null) {
            throw new BadRequestException(MeshHeaders.DELIVER_TO + " is missing");
        }
        double remainingMs = MeshHeaders.millis(headers, MeshHeaders.TIME_LEFT, 0);
        double queueTimeoutMs = MeshHeaders.millis(headers, MeshHeaders.QUEUE_TIMEOUT, 0);
        int rank = (int) MeshHeaders.millis(headers, MeshHeaders.RANK, 0);
        headers.remove(MeshHeaders.QUEUE_TIMEOUT).remove(MeshHeaders.RANK);
        return new CheckedRequest(
                "",
                new Arrival(
                        0,
                        rank,
                        MeshHeaders.incarnation(incarnation),
                        arrivedAt + remainingMs,
                        Math.min(queueTimeoutMs, remainingMs),
                        false,
                        false),
                proxy.version());
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
        MeshResponses.writeHeaders(response, answer, request);
        response.headers().set(MeshHeaders.VERDICT, verdict(answer));
    }

    /** What is known about the execution of the request. */
    private static String verdict(Answer answer) {
        if (answer == null || answer.kind() == Answer.Kind.REFUSED) {
            return MeshHeaders.VERDICT_NOT_RUN;
        }
        return Payloads.head(answer.payload()) != null ? MeshHeaders.VERDICT_RAN : MeshHeaders.VERDICT_MAY_HAVE_RUN;
    }
}

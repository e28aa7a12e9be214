package sablehinge.dataplane.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import sablehinge.dataplane.http1.HopHeaders;
import sablehinge.dataplane.http1.Payloads;
import sablehinge.dataplane.proxy.Answer;
import sablehinge.dataplane.proxy.Payload;

/** Writes answers as HTTP responses: an upstream's response as received, the proxy's own by the kind of the answer. */
final class MeshResponses {

    private MeshResponses() {}

    static HttpResponseStatus status(Answer answer) {
        if (Payloads.head(answer.payload()) instanceof HttpResponse given) {
            return claimsNotRun(given.status()) ? HttpResponseStatus.BAD_GATEWAY : given.status();
        }
        return switch (answer.kind()) {
            case SERVED -> HttpResponseStatus.OK;
            case REFUSED -> HttpResponseStatus.SERVICE_UNAVAILABLE;
            case FAILED, LOOP -> HttpResponseStatus.BAD_GATEWAY;
            case UNANSWERED -> HttpResponseStatus.GATEWAY_TIMEOUT;
            case BROKEN -> HttpResponseStatus.INTERNAL_SERVER_ERROR;
        };
    }

    /**
     * Status codes that state that the request has not run. An upstream that has run the request must not send them to
     * a client.
     */
    private static boolean claimsNotRun(HttpResponseStatus status) {
        return switch (status.code()) {
            case 408, 421, 429, 503 -> true;
            default -> false;
        };
    }

    static ByteBuf content(Answer answer) {
        return Payloads.head(answer.payload()) instanceof HttpResponse given && claimsNotRun(given.status())
                ? Unpooled.EMPTY_BUFFER
                : Payloads.content(answer.payload());
    }

    /** Copies the headers of an upstream's response. The proxy's own answers get the attempt id, like every answer. */
    static void writeHeaders(HttpResponse response, Answer answer, HttpRequest request) {
        Payload payload = answer == null ? Payload.NONE : answer.payload();
        HttpMessage given = Payloads.head(payload);
        if (given != null) {
            // The framing headers are set already; the copy must not add to them.
            HopHeaders.copy(given.headers(), response.headers());
            response.headers().remove(MeshHeaders.VERDICT);
            if (given instanceof HttpResponse answered && claimsNotRun(answered.status())) {
                // The postmark confirms the upstream's own status and body, which are replaced here.
                response.headers().remove(MeshHeaders.POSTMARK).remove(MeshHeaders.NOT_RUN);
            }
        } else if (request != null && request.headers().contains(MeshHeaders.TRY_ID)) {
            response.headers().set(MeshHeaders.TRY_ID, request.headers().get(MeshHeaders.TRY_ID));
        }
    }
}

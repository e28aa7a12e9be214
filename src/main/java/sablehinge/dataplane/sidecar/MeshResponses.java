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

/** How answers of the mesh are worded: an upstream's as it came, our own by what is known of the request. */
final class MeshResponses {

    private MeshResponses() {}

    static HttpResponseStatus status(Answer answer) {
        if (Payloads.head(answer.payload()) instanceof HttpResponse given) {
            return promises(given.status()) ? HttpResponseStatus.BAD_GATEWAY : given.status();
        }
        return switch (answer.kind()) {
            case SERVED -> HttpResponseStatus.OK;
            case REFUSED -> HttpResponseStatus.SERVICE_UNAVAILABLE;
            case FAILED, LOOP -> HttpResponseStatus.BAD_GATEWAY;
            case UNANSWERED -> HttpResponseStatus.GATEWAY_TIMEOUT;
            case BROKEN -> HttpResponseStatus.INTERNAL_SERVER_ERROR;
        };
    }

    /** These say that the request has not run, which an upstream that has run it must not be let say. */
    private static boolean promises(HttpResponseStatus status) {
        return switch (status.code()) {
            case 408, 421, 429, 503 -> true;
            default -> false;
        };
    }

    static ByteBuf content(Answer answer) {
        return Payloads.head(answer.payload()) instanceof HttpResponse given && promises(given.status())
                ? Unpooled.EMPTY_BUFFER
                : Payloads.content(answer.payload());
    }

    /** Copies the headers of an upstream's answer; our own names the try, as every answer does. */
    static void dress(HttpResponse response, Answer answer, HttpRequest request) {
        Payload payload = answer == null ? Payload.NONE : answer.payload();
        HttpMessage given = Payloads.head(payload);
        if (given != null) {
            // What frames the answer was set before; a copy must not add to it.
            HopHeaders.copy(given.headers(), response.headers());
            response.headers().remove(MeshHeaders.VERDICT);
            if (given instanceof HttpResponse answered && promises(answered.status())) {
                // The stamp is the upstream's word for its own status and body, which it does not get here.
                response.headers().remove(MeshHeaders.STAMP).remove(MeshHeaders.NOT_RUN);
            }
        } else if (request != null && request.headers().contains(MeshHeaders.TRY)) {
            response.headers().set(MeshHeaders.TRY, request.headers().get(MeshHeaders.TRY));
        }
    }
}

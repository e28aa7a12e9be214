package sablehinge.dataplane.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import sablehinge.dataplane.proxy.TraceEvent;

/**
 * The request that is coming in on a caller's connection: its head, and its body as long as that is kept. A body of
 * more than {@link UpstreamClient#MAX_BODY} is kept only while {@link FrontTerms#maxBufferedBytes} bytes suffice for
 * all connections; its owner has to give the reservation back by {@link #releaseReservation}.
 */
final class RequestAssembler {

    private final FrontendContext context;
    /** The number of the connection, for the trace. */
    private final int connection;

    private HttpRequest head;
    private ByteBuf body;
    /** Bytes that are reserved for a long body. */
    private int reserved;

    RequestAssembler(FrontendContext context, int connection) {
        this.context = context;
        this.connection = connection;
    }

    /** A head has come. */
    void begin(HttpRequest request) {
        head = request;
        body = Unpooled.EMPTY_BUFFER;
    }

    /** Whether a head has come whose body is not complete. */
    boolean isReceiving() {
        return head != null;
    }

    HttpRequest head() {
        return head;
    }

    /** Keeps a part of a body; false if the body is too long to be kept. */
    boolean append(ByteBuf part) {
        FrontTerms terms = context.dialect.terms();
        int size = body.readableBytes() + part.readableBytes();
        if (size > UpstreamClient.MAX_BODY
                && reserved == 0
                && size <= terms.maxBufferedBodyBytes()
                && HttpUtil.getContentLength(head, 0L) <= terms.maxBufferedBodyBytes()
                && context.reservedBytes + terms.maxBufferedBodyBytes() <= terms.maxBufferedBytes()) {
            reserved = terms.maxBufferedBodyBytes();
            context.reservedBytes += reserved;
            context.sockets.tracer().note(TraceEvent.KEPT, connection, 0, context.reservedBytes);
        }
        if (size > (reserved > 0 ? reserved : UpstreamClient.MAX_BODY)) {
            return false;
        }
        if (part.isReadable()) {
            if (body == Unpooled.EMPTY_BUFFER) {
                body = context.memory.buffer(
                        part.readableBytes(), Math.max(terms.maxBufferedBodyBytes(), UpstreamClient.MAX_BODY));
            }
            body.writeBytes(part);
        }
        return true;
    }

    /** Hands what was kept to a relay, which gets the rest of the body too; returns its bytes. */
    int handBodyTo(Relay relay) {
        int bytes = body.readableBytes();
        relay.add(body);
        body.release();
        body = Unpooled.EMPTY_BUFFER;
        return bytes;
    }

    /** The complete request; its receiver releases it. */
    FullHttpRequest complete() {
        FullHttpRequest request = new DefaultFullHttpRequest(
                head.protocolVersion(), head.method(), head.uri(), body, head.headers(), EmptyHttpHeaders.INSTANCE);
        clear();
        return request;
    }

    /** What came was handed on. */
    void clear() {
        head = null;
        body = null;
    }

    /** What came is of no use. */
    void drop() {
        if (body != null) {
            body.release();
        }
        clear();
    }

    /** The request whose body was kept is answered, or gone. */
    void releaseReservation() {
        context.reservedBytes -= reserved;
        reserved = 0;
    }
}

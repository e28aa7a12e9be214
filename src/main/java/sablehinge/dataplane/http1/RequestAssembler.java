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
 * The request that is being received on a client connection: its head, and its body as long as that is buffered. A body
 * of more than {@link UpstreamClient#MAX_BUFFERED_BODY_BYTES} is buffered only if the {@link BodyMemory} has room for
 * it; the owner has to release the reservation with {@link #releaseReservation}.
 */
final class RequestAssembler {

    private final FrontendContext context;
    /** The number of the connection in the trace. */
    private final int connection;

    private HttpRequest head;
    private ByteBuf body;
    /** Bytes that are reserved for a long body. */
    private int reserved;

    RequestAssembler(FrontendContext context, int connection) {
        this.context = context;
        this.connection = connection;
    }

    /** Begins a request with its head. */
    void begin(HttpRequest request) {
        head = request;
        body = Unpooled.EMPTY_BUFFER;
    }

    /** Whether a head was received whose body is not complete. */
    boolean isReceiving() {
        return head != null;
    }

    HttpRequest head() {
        return head;
    }

    /** Buffers a part of the body; false if the body is too long to be buffered. */
    boolean append(ByteBuf part) {
        int size = body.readableBytes() + part.readableBytes();
        if (size > UpstreamClient.MAX_BUFFERED_BODY_BYTES && reserved == 0) {
            reserve(size);
        }
        if (size > (reserved > 0 ? reserved : UpstreamClient.MAX_BUFFERED_BODY_BYTES)) {
            return false;
        }
        if (part.isReadable()) {
            if (body == Unpooled.EMPTY_BUFFER) {
                body = context.memory.buffer(
                        part.readableBytes(),
                        Math.max(
                                context.dialect.terms().maxBufferedBodyBytes(),
                                UpstreamClient.MAX_BUFFERED_BODY_BYTES));
            }
            body.writeBytes(part);
        }
        return true;
    }

    /** Reserves memory for the complete body, and no more than that if its length is known. */
    private void reserve(int received) {
        int max = context.dialect.terms().maxBufferedBodyBytes();
        long wanted = HttpUtil.getContentLength(head, (long) max);
        if (received > wanted || wanted > max || !context.bodyMemory.reserve((int) wanted)) {
            return;
        }
        reserved = (int) wanted;
        // Without this the buffer would be copied, and doubled, several times on its way to its size.
        body.capacity(reserved);
        context.sockets.tracer().note(TraceEvent.KEPT, connection, 0, context.bodyMemory.reservedBytes());
    }

    /** Moves the buffered part of the body to a relay, which gets the rest of it too; returns its bytes. */
    int handBodyTo(Relay relay) {
        int bytes = body.readableBytes();
        relay.add(body);
        body.release();
        body = Unpooled.EMPTY_BUFFER;
        return bytes;
    }

    /** Returns the complete request; the caller releases it. */
    FullHttpRequest complete() {
        FullHttpRequest request = new DefaultFullHttpRequest(
                head.protocolVersion(), head.method(), head.uri(), body, head.headers(), EmptyHttpHeaders.INSTANCE);
        clear();
        return request;
    }

    /** Forgets the request, which was passed on. */
    void clear() {
        head = null;
        body = null;
    }

    /** Drops the received part of the request. */
    void drop() {
        if (body != null) {
            body.release();
        }
        clear();
    }

    /** Releases the reservation after the request with the buffered body was answered or cancelled. */
    void releaseReservation() {
        context.bodyMemory.release(reserved);
        reserved = 0;
    }
}

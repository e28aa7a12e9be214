package sablehinge.tools.standin;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import sablehinge.tools.audit.EvidenceStamps;

/**
 * A connection from a balancer to a stand-in server, with one request at a time. It reads requests and writes
 * responses, valid and malformed ones; the {@link Owner} processes the requests. Confined to the server's event loop.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {

    private static final int MAX_BODY = 1 << 16;
    private static final long IDLE_MS = 30_000;

    /** The server of a connection. */
    interface Owner {

        /** Returns whether the server currently sends no responses. */
        boolean isUnresponsive();

        /** Called when a connection was accepted. */
        void onOpened(ServerConnection connection);

        /** Called when a request was read completely. */
        void onRequest(ServerConnection connection, HttpRequest request);

        /** Called when the sender closed the connection within a request that has a transaction id. */
        void onCut(ServerConnection connection, HttpRequest head);

        /** Called when the connection was closed. */
        void onClosed(ServerConnection connection);
    }

    private final Channel channel;
    private final EventLoop loop;
    private final Owner owner;
    final String balancer;
    private HttpRequest head;
    private int bodyBytes;
    /** The time at which the first byte of the last request arrived, in ms. */
    double firstByteAt;

    String txn = "";
    String serviceClass = "";
    /** The key of the session cookie; empty without a session. */
    String sessionKey = "";
    /** The request in progress; null for none. */
    ServerWork work;

    private ScheduledFuture<?> idleClose;

    ServerConnection(Channel channel, EventLoop loop, String balancer, Owner owner) {
        this.channel = channel;
        this.loop = loop;
        this.balancer = balancer;
        this.owner = owner;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        owner.onOpened(this);
        scheduleIdleClose();
    }

    private void scheduleIdleClose() {
        idleClose = loop.schedule(() -> channel.close(), IDLE_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (owner.isUnresponsive()) {
                return;
            }
            if (message instanceof HttpRequest request && !begin(request)) {
                return;
            }
            if (message instanceof HttpContent content && head != null) {
                receive(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /** Reads the head of a request; returns false if it is malformed. */
    private boolean begin(HttpRequest request) {
        idleClose.cancel(false);
        head = request;
        firstByteAt = EvidenceStamps.now();
        bodyBytes = 0;
        txn = request.headers().get("X-Txn", "");
        serviceClass = request.headers().get("X-Lane", "");
        String cookie = request.headers().get("Cookie", "");
        sessionKey = cookie.startsWith("key=") ? cookie.substring(4) : "";
        if (!request.decoderResult().isSuccess()) {
            answer(400, "", true);
            return false;
        }
        return true;
    }

    private void receive(HttpContent content) {
        bodyBytes += content.content().readableBytes();
        if (bodyBytes > MAX_BODY) {
            answer(413, "", true);
        } else if (content instanceof LastHttpContent) {
            HttpRequest complete = head;
            head = null;
            owner.onRequest(this, complete);
        }
    }

    void answer(int status, String text, boolean close) {
        work = null;
        if (owner.isUnresponsive() || !channel.isActive()) {
            return;
        }
        FullHttpResponse response = response(status, text);
        scheduleIdleClose();
        ChannelFuture written = channel.writeAndFlush(response);
        if (close) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    private static FullHttpResponse response(int status, String text) {
        ByteBuf body = Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), body);
        response.headers().set("Content-Length", body.readableBytes());
        return response;
    }

    /** Rejects the request because the server is full. */
    void reject() {
        FullHttpResponse response = response(503, "");
        response.headers().set("X-Turned-Away", "1");
        scheduleIdleClose();
        channel.writeAndFlush(response);
    }

    /** Writes half of the announced response body, then closes the connection. */
    void writeHalf(String text) {
        work = null;
        FullHttpResponse response = response(200, text);
        response.headers().set("Content-Length", text.length() * 2);
        channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    /** Writes a response that is not valid HTTP. */
    void writeMalformed() {
        work = null;
        channel.pipeline()
                .firstContext()
                .writeAndFlush(Unpooled.copiedBuffer(
                        "HTTP/1.1 2o0 \u0001\r\nContent-Length: -4\r\n\r\n", StandardCharsets.US_ASCII))
                .addListener(ChannelFutureListener.CLOSE);
    }

    /** Closes the connection with a TCP reset. */
    void close() {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        idleClose.cancel(false);
        owner.onClosed(this);
        if (work == null && head != null && !txn.isEmpty()) {
            owner.onCut(this, head);
        }
        work = null;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}

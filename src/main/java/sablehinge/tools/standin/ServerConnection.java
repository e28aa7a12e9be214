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
 * A balancer's connection to a stand-in server: one request at a time. It reads requests and writes answers, right and
 * spoilt ones; what becomes of a request is its {@link Owner}'s matter. It belongs to the server's loop.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {

    private static final int MAX_BODY = 1 << 16;
    private static final long IDLE_MS = 30_000;

    /** The server behind a connection. */
    interface Owner {

        /** Whether it says nothing at the moment. */
        boolean isUnresponsive();

        /** A connection has come. */
        void onOpened(ServerConnection connection);

        /** A request has come completely. */
        void onRequest(ServerConnection connection, HttpRequest request);

        /** A request with a name has been cut off by its sender. */
        void onCut(ServerConnection connection, HttpRequest head);

        /** The connection is gone. */
        void onClosed(ServerConnection connection);
    }

    private final Channel channel;
    private final EventLoop loop;
    private final Owner owner;
    final String balancer;
    private HttpRequest head;
    private int bytes;
    /** When the request that came last began, ms. */
    double begun;

    String txn = "";
    String serviceClass = "";
    /** What its session is about; empty where it has none. */
    String about = "";
    /** What of it is at work; null for nothing. */
    ServerWork work;

    private ScheduledFuture<?> idle;

    ServerConnection(Channel channel, EventLoop loop, String balancer, Owner owner) {
        this.channel = channel;
        this.loop = loop;
        this.balancer = balancer;
        this.owner = owner;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        owner.onOpened(this);
        rest();
    }

    private void rest() {
        idle = loop.schedule(() -> channel.close(), IDLE_MS, TimeUnit.MILLISECONDS);
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
            if (message instanceof HttpContent part && head != null) {
                receive(part);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /** Takes the head of a request; false if it is none. */
    private boolean begin(HttpRequest request) {
        idle.cancel(false);
        head = request;
        begun = EvidenceStamps.now();
        bytes = 0;
        txn = request.headers().get("X-Txn", "");
        serviceClass = request.headers().get("X-Lane", "");
        String cookie = request.headers().get("Cookie", "");
        about = cookie.startsWith("key=") ? cookie.substring(4) : "";
        if (!request.decoderResult().isSuccess()) {
            answer(400, "", true);
            return false;
        }
        return true;
    }

    private void receive(HttpContent part) {
        bytes += part.content().readableBytes();
        if (bytes > MAX_BODY) {
            answer(413, "", true);
        } else if (part instanceof LastHttpContent) {
            HttpRequest complete = head;
            head = null;
            owner.onRequest(this, complete);
        }
    }

    /** Answers the request. */
    void answer(int status, String text, boolean close) {
        work = null;
        if (owner.isUnresponsive() || !channel.isActive()) {
            return;
        }
        FullHttpResponse response = response(status, text);
        rest();
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

    /** Rejects the request as there is no room. */
    void reject() {
        FullHttpResponse response = response(503, "");
        response.headers().set("X-Turned-Away", "1");
        rest();
        channel.writeAndFlush(response);
    }

    /** Promises more than it writes, and ends. */
    void writeHalf(String text) {
        work = null;
        FullHttpResponse response = response(200, text);
        response.headers().set("Content-Length", text.length() * 2);
        channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    /** Writes what is no HTTP. */
    void writeMalformed() {
        work = null;
        channel.pipeline()
                .firstContext()
                .writeAndFlush(Unpooled.copiedBuffer(
                        "HTTP/1.1 2o0 \u0001\r\nContent-Length: -4\r\n\r\n", StandardCharsets.US_ASCII))
                .addListener(ChannelFutureListener.CLOSE);
    }

    /** Closes with a reset. */
    void close() {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        idle.cancel(false);
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

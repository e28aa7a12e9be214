package sablehinge.mesh.api;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Takes calls over HTTP/1.1 at an address and hands each to its operation. */
public final class ApiServer {

    private static final Logger LOG = LoggerFactory.getLogger(ApiServer.class);
    private static final int MAX_CONNECTIONS = 256;
    private static final long IDLE_S = 60;

    private final EventLoop loop;
    private final List<Operation<?, ?>> operations;
    private final int maxBodyBytes;
    private final Set<Channel> open = new HashSet<>();

    /**
     * A door.
     *
     * @param maxBodyBytes of a call's body; a longer one gets 413
     */
    public ApiServer(EventLoop loop, List<Operation<?, ?>> operations, int maxBodyBytes) {
        this.loop = loop;
        this.operations = List.copyOf(operations);
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Takes calls at an address. */
    public ChannelFuture listen(InetSocketAddress address) {
        return server().channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .bind(address);
    }

    /** Takes calls where the process listens already, those that wait in the backlog first. */
    public ChannelFuture adopt(ServerSocketChannel listening) {
        return server().channelFactory(() -> new NioServerSocketChannel(listening))
                .register();
    }

    private ServerBootstrap server() {
        return new ServerBootstrap()
                .group(loop)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        if (open.size() >= MAX_CONNECTIONS) {
                            channel.close();
                            return;
                        }
                        open.add(channel);
                        channel.closeFuture().addListener(closed -> open.remove(channel));
                        channel.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(maxBodyBytes), new Calls());
                    }
                });
    }

    /** The calls of one connection, one after the other. */
    private final class Calls extends SimpleChannelInboundHandler<FullHttpRequest> {

        private final ArrayDeque<FullHttpRequest> ahead = new ArrayDeque<>();
        private boolean busy;
        private long calledAt = System.nanoTime();

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            rest(ctx);
        }

        private void rest(ChannelHandlerContext ctx) {
            loop.schedule(
                    () -> {
                        if (ctx.channel().isOpen()) {
                            if (!busy && System.nanoTime() - calledAt > TimeUnit.SECONDS.toNanos(IDLE_S)) {
                                ctx.close();
                            } else {
                                rest(ctx);
                            }
                        }
                    },
                    IDLE_S,
                    TimeUnit.SECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            calledAt = System.nanoTime();
            if (busy) {
                ahead.add(request.retain());
                ctx.channel().config().setAutoRead(false);
            } else {
                take(ctx, request);
            }
        }

        private void take(ChannelHandlerContext ctx, FullHttpRequest request) {
            busy = true;
            boolean keep = HttpUtil.isKeepAlive(request);
            ApiResponse refused = null;
            try {
                if (!request.decoderResult().isSuccess()) {
                    throw new CallException(400, "MALFORMED", "not HTTP/1.1");
                }
                Operation<?, ?> operation = operation(request);
                byte[] body = new byte[request.content().readableBytes()];
                request.content().readBytes(body);
                dispatch(
                        ctx,
                        operation,
                        new ApiRequest(path(request).substring(operation.path().length()), request.headers(), body),
                        keep);
            } catch (CallException e) {
                refused = e.reply();
            } catch (RuntimeException e) {
                LOG.atError().addKeyValue("event", "call-failed").setCause(e).log("a call failed");
                refused = ApiResponse.error(500, "BROKEN", String.valueOf(e.getMessage()));
            }
            if (refused != null) {
                answer(ctx, refused, keep);
            }
        }

        private <Q, A> void dispatch(
                ChannelHandlerContext ctx, Operation<Q, A> operation, ApiRequest request, boolean keep) {
            operation.execute(operation.read(request), answer -> answer(ctx, operation.write(answer), keep));
        }

        private void answer(ChannelHandlerContext ctx, ApiResponse reply, boolean keep) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(reply.status()),
                    Unpooled.wrappedBuffer(reply.body()));
            response.headers().set("Content-Length", reply.body().length).set("Content-Type", "application/json");
            if (reply.location() != null) {
                response.headers().set("Location", reply.location());
            }
            if (!keep) {
                response.headers().set("Connection", "close");
            }
            ChannelFuture written = ctx.writeAndFlush(response);
            if (!keep) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
            busy = false;
            FullHttpRequest next = ahead.poll();
            if (next != null) {
                take(ctx, next);
                next.release();
            } else {
                ctx.channel().config().setAutoRead(true);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            ahead.forEach(FullHttpRequest::release);
            ahead.clear();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private static String path(FullHttpRequest request) {
        int end = request.uri().indexOf('?');
        return end < 0 ? request.uri() : request.uri().substring(0, end);
    }

    private Operation<?, ?> operation(FullHttpRequest request) {
        String path = path(request);
        boolean known = false;
        for (Operation<?, ?> one : operations) {
            if (one.path().endsWith("/")
                    ? path.startsWith(one.path()) && path.length() > one.path().length()
                    : path.equals(one.path())) {
                known = true;
                if (one.method().equals(request.method().name())) {
                    return one;
                }
            }
        }
        throw known
                ? new CallException(405, "METHOD", "this call has another method")
                : new CallException(404, "UNKNOWN", "no such call");
    }
}

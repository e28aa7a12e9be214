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

/** Accepts calls over HTTP/1.1 and dispatches each to its operation. */
public final class ApiServer {

    private static final Logger LOG = LoggerFactory.getLogger(ApiServer.class);
    private static final int MAX_CONNECTIONS = 256;
    private static final long IDLE_TIMEOUT_S = 60;

    private final EventLoop loop;
    private final List<Operation<?, ?>> operations;
    private final int maxBodyBytes;
    private final Set<Channel> open = new HashSet<>();

    /**
     * Creates a server.
     *
     * @param maxBodyBytes maximum size of a call's body; larger ones are answered with 413
     */
    public ApiServer(EventLoop loop, List<Operation<?, ?>> operations, int maxBodyBytes) {
        this.loop = loop;
        this.operations = List.copyOf(operations);
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Accepts calls at an address. */
    public ChannelFuture listen(InetSocketAddress address) {
        return server().channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .bind(address);
    }

    /** Accepts calls on a socket that is already listening, starting with those in its backlog. */
    public ChannelFuture adopt(ServerSocketChannel serverSocket) {
        return server().channelFactory(() -> new NioServerSocketChannel(serverSocket))
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
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(maxBodyBytes),
                                        new CallHandler());
                    }
                });
    }

    /** Handles the calls of one connection in sequence. */
    private final class CallHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        private final ArrayDeque<FullHttpRequest> queuedRequests = new ArrayDeque<>();
        private boolean busy;
        private long lastCallAt = System.nanoTime();

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            scheduleIdleCheck(ctx);
        }

        private void scheduleIdleCheck(ChannelHandlerContext ctx) {
            loop.schedule(
                    () -> {
                        if (ctx.channel().isOpen()) {
                            if (!busy && System.nanoTime() - lastCallAt > TimeUnit.SECONDS.toNanos(IDLE_TIMEOUT_S)) {
                                ctx.close();
                            } else {
                                scheduleIdleCheck(ctx);
                            }
                        }
                    },
                    IDLE_TIMEOUT_S,
                    TimeUnit.SECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            lastCallAt = System.nanoTime();
            if (busy) {
                queuedRequests.add(request.retain());
                ctx.channel().config().setAutoRead(false);
            } else {
                handle(ctx, request);
            }
        }

        private void handle(ChannelHandlerContext ctx, FullHttpRequest request) {
            busy = true;
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            ApiResponse rejection = null;
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
                        keepAlive);
            } catch (CallException e) {
                rejection = e.reply();
            } catch (RuntimeException e) {
                LOG.atError().addKeyValue("event", "call-failed").setCause(e).log("API call failed");
                rejection = ApiResponse.error(500, "BROKEN", String.valueOf(e.getMessage()));
            }
            if (rejection != null) {
                answer(ctx, rejection, keepAlive);
            }
        }

        private <Q, A> void dispatch(
                ChannelHandlerContext ctx, Operation<Q, A> operation, ApiRequest request, boolean keepAlive) {
            operation.execute(operation.read(request), answer -> answer(ctx, operation.write(answer), keepAlive));
        }

        private void answer(ChannelHandlerContext ctx, ApiResponse reply, boolean keepAlive) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(reply.status()),
                    Unpooled.wrappedBuffer(reply.body()));
            response.headers().set("Content-Length", reply.body().length).set("Content-Type", "application/json");
            if (reply.location() != null) {
                response.headers().set("Location", reply.location());
            }
            if (!keepAlive) {
                response.headers().set("Connection", "close");
            }
            ChannelFuture written = ctx.writeAndFlush(response);
            if (!keepAlive) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
            busy = false;
            FullHttpRequest next = queuedRequests.poll();
            if (next != null) {
                handle(ctx, next);
                next.release();
            } else {
                ctx.channel().config().setAutoRead(true);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            queuedRequests.forEach(FullHttpRequest::release);
            queuedRequests.clear();
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
        boolean pathFound = false;
        for (Operation<?, ?> operation : operations) {
            if (operation.path().endsWith("/")
                    ? path.startsWith(operation.path())
                            && path.length() > operation.path().length()
                    : path.equals(operation.path())) {
                pathFound = true;
                if (operation.method().equals(request.method().name())) {
                    return operation;
                }
            }
        }
        throw pathFound
                ? new CallException(405, "METHOD", "this call has another method")
                : new CallException(404, "UNKNOWN", "no such call");
    }
}

package sablehinge.testing;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.ReferenceCountUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import sablehinge.common.eventloop.ClosingEventLoops;

/** Stands before a balancer and spoils one answer of many, as no module could, since core would not let it. */
public final class Relay implements AutoCloseable {

    /** What is done to an answer. */
    public enum Deed {
        TWICE,
        LOST,
        OF_ANOTHER
    }

    private final EventLoop loop = ClosingEventLoops.single("relay");
    private final InetSocketAddress behind;
    private final Deed deed;
    private final int every;
    private final AtomicLong answers;
    private final Set<String> spoilt = Collections.synchronizedSet(new LinkedHashSet<>());
    private final Channel listening;

    /** Spoils one of {@code every} answers that {@code answers} counts, which relays may share. */
    public Relay(InetSocketAddress behind, Deed deed, int every, AtomicLong answers) throws InterruptedException {
        this.answers = answers;
        this.behind = behind;
        this.deed = deed;
        this.every = every;
        listening = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(1 << 17), new Front());
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel();
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /** The ids of the requests whose answers were spoilt. */
    public Set<String> spoilt() {
        return Set.copyOf(spoilt);
    }

    private final class Front extends SimpleChannelInboundHandler<FullHttpRequest> {

        private Channel back;
        private String txn;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            txn = request.headers().get("X-Txn", "");
            if (back != null && back.isActive()) {
                back.writeAndFlush(request.retain());
                return;
            }
            request.retain();
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline()
                                    .addLast(
                                            new HttpClientCodec(),
                                            new HttpObjectAggregator(1 << 17),
                                            new SimpleChannelInboundHandler<FullHttpResponse>() {
                                                @Override
                                                protected void channelRead0(
                                                        ChannelHandlerContext inner, FullHttpResponse response) {
                                                    answer(ctx, response);
                                                }

                                                @Override
                                                public void channelInactive(ChannelHandlerContext inner) {
                                                    ctx.close();
                                                }
                                            });
                        }
                    })
                    .connect(behind)
                    .addListener((ChannelFuture up) -> {
                        back = up.channel();
                        if (up.isSuccess()) {
                            back.writeAndFlush(request);
                        } else {
                            ReferenceCountUtil.release(request);
                            ctx.close();
                        }
                    });
        }

        private void answer(ChannelHandlerContext ctx, FullHttpResponse response) {
            boolean struck = response.status().code() == 200
                    && !txn.startsWith("warm-up")
                    && answers.incrementAndGet() % every == 0;
            if (struck) {
                spoilt.add(txn);
            }
            if (struck && deed == Deed.LOST) {
                return;
            }
            FullHttpResponse given = response.retain();
            if (struck && deed == Deed.OF_ANOTHER) {
                given.content().setCharSequence(4, "another-one", java.nio.charset.StandardCharsets.US_ASCII);
            }
            ctx.write(given);
            if (struck && deed == Deed.TWICE) {
                // In one write with the first: a client that reads that alone may have sent its next request by
                // the time at which the second comes, and must take it for the answer to that.
                ctx.write(response.retainedDuplicate());
            }
            ctx.flush();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (back != null) {
                back.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    @Override
    public void close() {
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}

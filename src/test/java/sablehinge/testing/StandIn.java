package sablehinge.testing;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import sablehinge.common.eventloop.ClosingEventLoops;

/** A server of any number of connections, which notes what reaches it and answers as it is set to. */
public final class StandIn implements AutoCloseable {

    /** What reached it: the caller's id, the path, the time its caller would wait, in s. */
    public record Seen(String txn, String path, double remaining) {}

    /** What to do with a request; a status of 0 holds it until {@link #release}. */
    public record Plan(int status, int delayMillis) {}

    private static final EventLoopGroup LOOPS = new ClosingEventLoops(2, "stand-in");

    /** The requests in the order in which they came. */
    public final ConcurrentLinkedQueue<Seen> seen = new ConcurrentLinkedQueue<>();

    public volatile Function<Seen, Plan> plan = request -> new Plan(200, 0);
    private final List<Runnable> held = new ArrayList<>();
    private final ChannelGroup open = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Channel listening;

    public StandIn() throws InterruptedException {
        listening = new ServerBootstrap()
                .group(LOOPS)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        open.add(channel);
                        channel.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(1 << 17), new Answers());
                    }
                })
                .bind(InetAddress.getLoopbackAddress(), 0)
                .sync()
                .channel();
    }

    public String address() {
        return "127.0.0.1:" + ((InetSocketAddress) listening.localAddress()).getPort();
    }

    /** How many of its requests carried an id. */
    public long count(String txn) {
        return seen.stream().filter(request -> request.txn().equals(txn)).count();
    }

    /** Waits until so many requests have come. */
    public void await(int count) throws InterruptedException {
        synchronized (held) {
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Peer.TIMEOUT_MS);
            while (seen.size() < count) {
                if (System.nanoTime() > end) {
                    throw new AssertionError(seen.size() + " of " + count + " requests came");
                }
                held.wait(100);
            }
        }
    }

    /** Answers what is held. */
    public void release() {
        List<Runnable> now;
        synchronized (held) {
            now = new ArrayList<>(held);
            held.clear();
        }
        now.forEach(Runnable::run);
    }

    @Override
    public void close() {
        listening.close().awaitUninterruptibly();
        open.close().awaitUninterruptibly();
    }

    private final class Answers extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            String remaining = request.headers().get("X-Remaining");
            Seen one = new Seen(
                    request.headers().get("X-Txn", ""),
                    request.uri(),
                    remaining == null ? 0 : Double.parseDouble(remaining));
            Plan what = plan.apply(one);
            synchronized (held) {
                seen.add(one);
                if (what.status() == 0) {
                    held.add(() -> answer(ctx, 200, one));
                }
                held.notifyAll();
            }
            if (what.status() != 0 && what.delayMillis() > 0) {
                ctx.executor()
                        .schedule(() -> answer(ctx, what.status(), one), what.delayMillis(), TimeUnit.MILLISECONDS);
            } else if (what.status() != 0) {
                answer(ctx, what.status(), one);
            }
        }

        private void answer(ChannelHandlerContext ctx, int status, Seen one) {
            byte[] body = ("for " + one.txn()).getBytes(StandardCharsets.UTF_8);
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
            response.headers().set("Content-Length", body.length);
            ctx.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}

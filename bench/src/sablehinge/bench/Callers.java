package sablehinge.bench;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Callers at a steady rate, whatever the answers do: each request is sent when it is due, over a kept connection or a
 * new one, and its latency counts from when it was due.
 */
final class Callers {

    /** A request and what became of it; a status of 0 is none. Times in ns of the system's monotonic clock. */
    static final class One {
        final int number;
        final boolean unsafe;
        final long due;
        final long sentWallMillis;
        long answered;
        int status;
        int version;

        One(int number, boolean unsafe, long due) {
            this.number = number;
            this.unsafe = unsafe;
            this.due = due;
            sentWallMillis = System.currentTimeMillis();
        }

        String txn() {
            return "q" + number;
        }

        double latencyMillis() {
            return (answered - due) / 1e6;
        }
    }

    private final EventLoop loop = (EventLoop)
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("callers", true), NioIoHandler.newFactory())
                    .next();
    private final InetSocketAddress target;
    private final Bootstrap connections;
    private final double rate;
    private final List<One> all = new ArrayList<>();
    private final ArrayDeque<Channel> idle = new ArrayDeque<>();
    private final long begun = System.nanoTime();
    private boolean stopped;

    Callers(InetSocketAddress target, double perSecond) {
        this.target = target;
        connections = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpClientCodec(), new HttpObjectAggregator(1 << 17), new Answers());
                    }
                });
        rate = perSecond;
        loop.scheduleAtFixedRate(this::sendDue, 1, 1, TimeUnit.MILLISECONDS);
    }

    private void sendDue() {
        while (!stopped && begun + (long) (all.size() * 1e9 / rate) <= System.nanoTime()) {
            One one = new One(all.size(), all.size() % 2 == 1, begun + (long) (all.size() * 1e9 / rate));
            all.add(one);
            Channel kept = idle.pollLast();
            while (kept != null && !kept.isActive()) {
                kept = idle.pollLast();
            }
            if (kept != null) {
                send(kept, one);
                continue;
            }
            connections.connect(target).addListener((ChannelFuture up) -> {
                if (up.isSuccess()) {
                    send(up.channel(), one);
                }
            });
        }
    }

    private static void send(Channel channel, One one) {
        channel.pipeline().get(Answers.class).waits = one;
        DefaultFullHttpRequest request = one.unsafe
                ? new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.POST, "/credit-spend", Unpooled.copiedBuffer(new byte[100]))
                : new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/look-up/" + one.number);
        request.headers()
                .set("Host", "app.svc")
                .set("X-Txn", one.txn())
                .set("X-Remaining", "9")
                .set("X-Lane", one.unsafe ? "credit-spend" : "look-up");
        if (one.unsafe) {
            request.headers().set("Content-Length", 100);
        }
        channel.writeAndFlush(request);
    }

    /** Sends nothing more, waits until all are answered or the time is up, and tells of all. */
    List<One> stop(long timeoutMillis) throws InterruptedException {
        loop.submit(() -> {
                    stopped = true;
                })
                .sync();
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (System.nanoTime() < end
                && loop.submit(() -> all.stream().anyMatch(one -> one.status == 0))
                        .sync()
                        .getNow()) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        return loop.submit(() -> List.copyOf(all)).sync().getNow();
    }

    /** How many were sent. */
    int sent() throws InterruptedException {
        return loop.submit(all::size).sync().getNow();
    }

    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {

        private One waits;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            One one = waits;
            waits = null;
            if (one == null) {
                throw new IllegalStateException("an answer that nobody asked for");
            }
            one.answered = System.nanoTime();
            one.status = response.status().code();
            one.version = response.headers().getInt("Sablehinge-Version", 0);
            if (HttpUtil.isKeepAlive(response)) {
                idle.addLast(ctx.channel());
            } else {
                ctx.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}

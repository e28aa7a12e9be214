package sablehinge.bench;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/** So many connections that each send the next request once the last is answered: for throughput. */
final class ClosedLoop implements AutoCloseable {

    private static final AtomicInteger IDS = new AtomicInteger();

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(
            2, new DefaultThreadFactory("closed-loop", true), NioIoHandler.newFactory());
    private final List<Channel> channels = new ArrayList<>();
    private final LongAdder served = new LongAdder();
    private final LongAdder other = new LongAdder();

    ClosedLoop(InetSocketAddress target, int connections) throws InterruptedException {
        Bootstrap bootstrap = new Bootstrap()
                .group(loops)
                .channel(NioSocketChannel.class)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpClientCodec(), new HttpObjectAggregator(1 << 17), new Next());
                    }
                });
        for (int i = 0; i < connections; i++) {
            channels.add(bootstrap.connect(target).sync().channel());
        }
        channels.forEach(ClosedLoop::send);
    }

    private static void send(Channel channel) {
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/look-up/7");
        request.headers()
                .set("Host", "app.svc")
                .set("X-Txn", "l" + IDS.incrementAndGet())
                .set("X-Remaining", "9")
                .set("X-Lane", "look-up");
        channel.writeAndFlush(request);
    }

    private final class Next extends SimpleChannelInboundHandler<FullHttpResponse> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            (response.status().code() == 200 ? served : other).increment();
            send(ctx.channel());
        }
    }

    /** Answers of 200 a second over the next so many ms. */
    double rate(long millis) throws InterruptedException {
        long before = served.sum();
        long begun = System.nanoTime();
        TimeUnit.MILLISECONDS.sleep(millis);
        return (served.sum() - before) / ((System.nanoTime() - begun) / 1e9);
    }

    /** Answers of another status so far. */
    long others() {
        return other.sum();
    }

    @Override
    public void close() {
        channels.forEach(Channel::close);
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}

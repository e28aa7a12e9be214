package sablehinge.tools.replay.run;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import sablehinge.common.eventloop.ClosingEventLoops;
import sablehinge.tools.audit.judge.AuditRules.Effect;
import sablehinge.tools.audit.judge.Evidence.ClientAttempt;
import sablehinge.tools.audit.judge.Evidence.DuplicateAnswer;
import sablehinge.tools.replay.schedule.ReplayClient;

/**
 * Lets the code that sends be compiled before it counts: a generator that has just started would send its first
 * requests a tenth of a second late. The requests go to a server within this process.
 */
final class Warmup {

    private static final int REQUESTS = 12_000;
    private static final long EVERY_NANOS = 100_000;
    private static final long TIMEOUT_MS = 3_000;

    private static final AtomicBoolean DONE = new AtomicBoolean();

    private Warmup() {}

    /** Once for each process: what is compiled stays so. */
    static void run(int lanes) throws InterruptedException {
        if (DONE.getAndSet(true)) {
            return;
        }
        ClosingEventLoops group = new ClosingEventLoops(lanes + 1, "warm-up");
        try {
            Channel server = new ServerBootstrap()
                    .group((EventLoop) group.next())
                    .channel(NioServerSocketChannel.class)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline()
                                    .addLast(new HttpServerCodec(), new HttpObjectAggregator(1 << 17), new Served());
                        }
                    })
                    .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                    .sync()
                    .channel();
            long start = System.nanoTime();
            ReplayWorker[] all = new ReplayWorker[lanes];
            for (int i = 0; i < lanes; i++) {
                all[i] = new ReplayWorker(
                        (EventLoop) group.next(),
                        "warm-up",
                        List.of(new ReplayTarget((InetSocketAddress) server.localAddress(), "warm-up")),
                        100,
                        ReplayClient.Terms.usual(),
                        i,
                        start,
                        new ReplayWorker.LoadRecord() {
                            @Override
                            public void tried(ClientAttempt tried) {}

                            @Override
                            public void unasked(DuplicateAnswer unasked) {}
                        });
            }
            ClassPlan[] plans = {ClassPlan.unknown(Effect.SAFE), ClassPlan.unknown(Effect.KEYED)};
            for (int i = 0; i < REQUESTS; i++) {
                all[i % lanes].add(
                        new Planned(
                                start + i * EVERY_NANOS,
                                "warm-up",
                                plans[i & 1],
                                "/warm-up/" + i,
                                "k" + i,
                                "",
                                1_000,
                                200),
                        TIMEOUT_MS);
            }
            long latest = start + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
            for (ReplayWorker lane : all) {
                while (!lane.loop().submit(lane::isDone).sync().getNow() && System.nanoTime() < latest) {
                    TimeUnit.MILLISECONDS.sleep(5);
                }
            }
        } finally {
            group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        }
    }

    /** Answers as a stand-in does. */
    private static final class Served extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.OK,
                    Unpooled.copiedBuffer(
                            "txn=" + request.headers().get("X-Txn") + "\n",
                            java.nio.charset.StandardCharsets.US_ASCII));
            response.headers().set("Content-Length", response.content().readableBytes());
            ctx.writeAndFlush(response);
        }
    }
}

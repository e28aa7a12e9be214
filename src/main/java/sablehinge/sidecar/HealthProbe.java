package sablehinge.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Asks the upstream beside once who it is (PROTOCOL, "Upstreams"): a balancer that comes back would else
 * know of
 * none until the next beat. Probes cost, so there is one in a life of the process.
 */
final class HealthProbe {

    private static final int MOST_BYTES = 4_096;
    private static final int CONNECT_MS = 500;
    private static final long PATIENCE_MS = 1_500;

    private HealthProbe() {
    }

    /** Asks, and hears the id of an upstream that is well and does not leave; nothing comes otherwise. */
    static void ask(EventLoop loop, InetSocketAddress at, String path, Consumer<String> hears) {
        new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(),
                                new HttpObjectAggregator(MOST_BYTES), new Answers(at, path, hears));
                    }
                }).connect(at).addListener(connected -> { });
    }

    private static final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {

        private final InetSocketAddress at;
        private final String path;
        private final Consumer<String> hears;

        Answers(InetSocketAddress at, String path, Consumer<String> hears) {
            this.at = at;
            this.path = path;
            this.hears = hears;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            DefaultFullHttpRequest question = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                    path, Unpooled.EMPTY_BUFFER);
            question.headers().set("Host", at.getHostString()).set("Connection", "close");
            ctx.writeAndFlush(question);
            ctx.executor().schedule(() -> ctx.close(), PATIENCE_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            String id = answer.headers().get("Sablehinge-Answered-By");
            ctx.close();
            if (answer.status().code() == 200 && id != null && !id.isEmpty()) {
                hears.accept(id);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}

package sablehinge.dataplane.http1;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.handler.codec.http.HttpRequestEncoder;
import jdk.net.ExtendedSocketOptions;
import sablehinge.common.eventloop.Clock;

/**
 * The state that the attempts and connections of one {@link UpstreamClient} share. All of it belongs to the event loop.
 */
final class UpstreamContext {

    private static final double NANOS_PER_MS = 1e6;

    final EventLoop loop;
    final Clock clock;
    final Sockets sockets;
    final UpstreamDialect dialect;
    final Bootstrap bootstrap;
    /** Limits how long idle connections are used; replaced when the idle timeout in the settings changes. */
    Freshness freshness;
    /** When the last attempt may be written, as the process is about to end; in ms of the clock. */
    double startUntil = Double.POSITIVE_INFINITY;
    /** When the last attempt began to be written, ms; NaN before the first one. Health checks don't count. */
    double lastAttemptAt = Double.NaN;

    UpstreamContext(EventLoop loop, Clock clock, Sockets sockets, ByteBufAllocator memory, UpstreamDialect dialect) {
        this.loop = loop;
        this.clock = clock;
        this.sockets = sockets;
        this.dialect = dialect;
        bootstrap = new Bootstrap()
                .group(loop)
                .channelFactory(sockets.kind().connecting())
                .option(ChannelOption.ALLOCATOR, memory)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        UpstreamConnection connection = new UpstreamConnection(UpstreamContext.this, channel);
                        channel.pipeline().addLast(connection.decoder, new HttpRequestEncoder(), connection);
                    }
                });
        if (dialect.terms().mayVanishSilently()) {
            bootstrap
                    .option(ChannelOption.SO_KEEPALIVE, true)
                    .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), 1)
                    .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), 1)
                    .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), 2);
        }
    }

    /** Nanoseconds until a time of the clock, in ms; 0 if it has passed. */
    long nanosUntil(double at) {
        return (long) Math.ceil(Math.max(0, at - clock.now()) * NANOS_PER_MS);
    }
}

package sablehinge.common.rpc;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.socket.DatagramPacket;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/**
 * A cut of the network, played at the ends that connect and that send datagrams: while it lasts nothing goes out or
 * comes in there, no connection comes up, and no end is notified. The end that has accepted a connection receives
 * nothing.
 */
public final class Cut {

    /** How long a connection that can't come up is tried, in ms; as long as {@link Connection} tries one. */
    private static final long CONNECT_MS = 700;

    private final BooleanSupplier lasts;
    private final Predicate<InetSocketAddress> beyond;

    /**
     * A cut.
     *
     * @param lasts whether it lasts now; called on event loops
     * @param beyond whether an address lies beyond it
     */
    public Cut(BooleanSupplier lasts, Predicate<InetSocketAddress> beyond) {
        this.lasts = lasts;
        this.beyond = beyond;
    }

    /** Lies in the way of a connection that is about to be made. */
    public void over(Channel channel, InetSocketAddress to) {
        if (beyond.test(to)) {
            channel.pipeline().addFirst(new OfConnection());
        }
    }

    /** Lies in the way of datagrams. */
    public void over(Channel datagrams) {
        datagrams.pipeline().addFirst(new OfDatagrams());
    }

    private final class OfConnection extends ChannelDuplexHandler {

        @Override
        public void connect(
                ChannelHandlerContext ctx, SocketAddress remote, SocketAddress local, ChannelPromise promise)
                throws Exception {
            if (lasts.getAsBoolean()) {
                ctx.executor()
                        .schedule(
                                () -> promise.tryFailure(new ConnectTimeoutException("cut")),
                                CONNECT_MS,
                                TimeUnit.MILLISECONDS);
            } else {
                super.connect(ctx, remote, local, promise);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
            if (lasts.getAsBoolean()) {
                ReferenceCountUtil.release(bytes);
            } else {
                super.channelRead(ctx, bytes);
            }
        }

        @Override
        public void write(ChannelHandlerContext ctx, Object bytes, ChannelPromise promise) throws Exception {
            if (lasts.getAsBoolean()) {
                ReferenceCountUtil.release(bytes);
                promise.setSuccess();
            } else {
                super.write(ctx, bytes, promise);
            }
        }
    }

    private final class OfDatagrams extends ChannelDuplexHandler {

        private boolean drops(InetSocketAddress other) {
            return lasts.getAsBoolean() && beyond.test(other);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object packet) throws Exception {
            if (packet instanceof DatagramPacket datagram && drops(datagram.sender())) {
                datagram.release();
            } else {
                super.channelRead(ctx, packet);
            }
        }

        @Override
        public void write(ChannelHandlerContext ctx, Object packet, ChannelPromise promise) throws Exception {
            if (packet instanceof DatagramPacket datagram && drops(datagram.recipient())) {
                datagram.release();
                promise.setSuccess();
            } else {
                super.write(ctx, packet, promise);
            }
        }
    }
}

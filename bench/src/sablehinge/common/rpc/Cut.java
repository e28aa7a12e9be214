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
 * A simulated network partition at the ends that connect and that send datagrams. While it lasts nothing is sent or
 * received there, no connection can be opened, and no end is notified. The end that has accepted a connection receives
 * nothing.
 */
public final class Cut {

    /** Connect timeout across the cut, in ms; the same as that of {@link Connection}. */
    private static final long CONNECT_TIMEOUT_MS = 700;

    private final BooleanSupplier lasts;
    private final Predicate<InetSocketAddress> beyond;

    /**
     * Creates a cut.
     *
     * @param lasts whether it lasts now; called on event loops
     * @param beyond whether an address is on the other side
     */
    public Cut(BooleanSupplier lasts, Predicate<InetSocketAddress> beyond) {
        this.lasts = lasts;
        this.beyond = beyond;
    }

    /** Applies the cut to a connection that is about to be opened. */
    public void apply(Channel channel, InetSocketAddress to) {
        if (beyond.test(to)) {
            channel.pipeline().addFirst(new ConnectionHandler());
        }
    }

    /** Applies the cut to datagrams. */
    public void apply(Channel datagrams) {
        datagrams.pipeline().addFirst(new DatagramHandler());
    }

    private final class ConnectionHandler extends ChannelDuplexHandler {

        @Override
        public void connect(
                ChannelHandlerContext ctx, SocketAddress remote, SocketAddress local, ChannelPromise promise)
                throws Exception {
            if (lasts.getAsBoolean()) {
                ctx.executor()
                        .schedule(
                                () -> promise.tryFailure(new ConnectTimeoutException("cut")),
                                CONNECT_TIMEOUT_MS,
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

    private final class DatagramHandler extends ChannelDuplexHandler {

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

package sablehinge.common.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Sockets of event loops that were shut down. */
@Timeout(30)
class ClosingEventLoopsTest {

    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private final CountDownLatch closed = new CountDownLatch(1);
    private final EventLoop loop = ClosingEventLoops.single("closing");
    private final Channel listener = new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .childHandler(new ChannelInboundHandlerAdapter())
            .bind(ANY)
            .syncUninterruptibly()
            .channel();
    private final Channel connection = new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .handler(new ChannelInboundHandlerAdapter() {
                @Override
                public void channelInactive(ChannelHandlerContext ctx) {
                    closed.countDown();
                }
            })
            .connect(listener.localAddress())
            .syncUninterruptibly()
            .channel();

    private void assertAllClosed() throws Exception {
        assertFalse(listener.isOpen(), "the listener is open");
        assertFalse(connection.isOpen(), "the connection is open");
        assertTrue(closed.await(0, TimeUnit.SECONDS), "the connection's handler was notified");
        InetSocketAddress address = (InetSocketAddress) listener.localAddress();
        try (ServerSocket again = new ServerSocket()) {
            again.setReuseAddress(true);
            again.bind(address);
            assertEquals(address.getPort(), again.getLocalPort());
        }
    }

    /** A task runs after the loop has checked whether it is shutting down, and before it confirms the shutdown. */
    @Test
    void closesChannelsWhenShutDownFromItsOwnTask() throws Exception {
        loop.execute(() -> loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS));
        assertTrue(loop.terminationFuture().await(20, TimeUnit.SECONDS));
        assertAllClosed();
    }

    @Test
    void closesChannelsWhenShutDownByAnotherThread() throws Exception {
        assertTrue(loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).await(20, TimeUnit.SECONDS));
        assertAllClosed();
    }

    /** Tasks that are pending when the shutdown is requested still run, and must not leave a channel open. */
    @Test
    void closesConnectionOpenedDuringShutdown() throws Exception {
        Channel[] late = new Channel[1];
        loop.execute(() -> {
            loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
            late[0] = new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .handler(new ChannelInboundHandlerAdapter())
                    .connect(listener.localAddress())
                    .channel();
        });
        assertTrue(loop.terminationFuture().await(20, TimeUnit.SECONDS));
        assertFalse(late[0].isOpen(), "the late connection is open");
        assertAllClosed();
    }
}

package sablehinge.tools.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;

/**
 * The ports of a stand-in server, one for each balancer. All but {@link #listenFor} and {@link #address} is called on
 * the server's loop.
 */
final class ServerListeners {

    private static final int BACKLOG = 1_024;
    /** With this backlog and so many connections the kernel's queue is full, and it answers no further one. */
    private static final int FULL_BACKLOG = 1;

    private static final int FILLERS = 3;
    private static final long REOPEN_DELAY_MS = 50;

    private final String server;
    private final EventLoop loop;
    private final BooleanSupplier up;
    private final BiFunction<Channel, String, ChannelHandler> handlers;
    private final Map<String, Listening> listening = new LinkedHashMap<>();
    /** Where it listens for whom; read by the directory's loop. */
    private final Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();

    /** A port for one balancer. */
    private static final class Listening {
        int port;
        Channel channel;
        final List<Channel> fillers = new ArrayList<>();
    }

    /**
     * Listeners without a port.
     *
     * @param up whether the server is alive
     * @param handlers makes the handler of a connection from a balancer
     */
    ServerListeners(
            String server, EventLoop loop, BooleanSupplier up, BiFunction<Channel, String, ChannelHandler> handlers) {
        this.server = server;
        this.loop = loop;
        this.up = up;
        this.handlers = handlers;
    }

    /** Where it listens for a balancer; on any thread. */
    InetSocketAddress address(String balancer) {
        return addresses.get(balancer);
    }

    /** Opens a port for a balancer; waits until it is there. Not on the loop. */
    void listenFor(String balancer) throws InterruptedException {
        ChannelFuture bound = bind(balancer, 0, BACKLOG).await();
        if (!bound.isSuccess()) {
            throw new IllegalStateException(
                    server + " can't listen: " + bound.cause().getMessage());
        }
        loop.submit(() -> {
                    Listening one = new Listening();
                    one.channel = bound.channel();
                    one.port = ((InetSocketAddress) bound.channel().localAddress()).getPort();
                    listening.put(balancer, one);
                    addresses.put(balancer, (InetSocketAddress) bound.channel().localAddress());
                })
                .sync();
    }

    private ChannelFuture bind(String balancer, int port, int backlog) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, backlog)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpServerCodec(), handlers.apply(channel, balancer));
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    /** New connections are refused from now on, or never come up. */
    void refuse(boolean hang) {
        close();
        if (!hang) {
            return;
        }
        listening.forEach(
                (balancer, one) -> bind(balancer, one.port, FULL_BACKLOG).addListener((ChannelFuture bound) -> {
                    if (bound.isSuccess()) {
                        one.channel = bound.channel();
                        one.channel.config().setAutoRead(false);
                        // With these the kernel's queue is full, and it answers no further one.
                        for (int i = 0; i < FILLERS; i++) {
                            one.fillers.add(new Bootstrap()
                                    .group(loop)
                                    .channel(NioSocketChannel.class)
                                    .handler(new ChannelInboundHandlerAdapter())
                                    .connect(bound.channel().localAddress())
                                    .channel());
                        }
                    }
                }));
    }

    /** Listens as ever, unless the server is dead. */
    void reopen() {
        listening.forEach((balancer, one) -> {
            one.fillers.forEach(Channel::close);
            one.fillers.clear();
            if (one.channel != null
                    && one.channel.isOpen()
                    && one.channel.config().isAutoRead()) {
                return;
            }
            ChannelFuture closed = one.channel == null ? null : one.channel.close();
            Runnable open = () -> bind(balancer, one.port, BACKLOG).addListener((ChannelFuture bound) -> {
                if (bound.isSuccess() && up.getAsBoolean()) {
                    one.channel = bound.channel();
                } else if (bound.isSuccess()) {
                    bound.channel().close();
                } else {
                    // Its port is still being given back.
                    loop.schedule(this::reopen, REOPEN_DELAY_MS, TimeUnit.MILLISECONDS);
                }
            });
            if (closed == null) {
                open.run();
            } else {
                closed.addListener(done -> open.run());
            }
        });
    }

    /** New connections are refused. */
    void close() {
        listening.values().forEach(one -> {
            if (one.channel != null) {
                one.channel.close();
            }
            one.fillers.forEach(Channel::close);
            one.fillers.clear();
        });
    }
}

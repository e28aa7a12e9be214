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
 * The listeners of a stand-in server, one port for each balancer. All methods except {@link #listenFor} and
 * {@link #address} are called on the server's loop.
 */
final class ServerListeners {

    private static final int BACKLOG = 1_024;
    /** With this backlog and {@link #FILLERS} connections the accept queue is full, and further connects time out. */
    private static final int FULL_BACKLOG = 1;

    private static final int FILLERS = 3;
    private static final long REOPEN_DELAY_MS = 50;

    private final String server;
    private final EventLoop loop;
    private final BooleanSupplier up;
    private final BiFunction<Channel, String, ChannelHandler> handlers;
    private final Map<String, Listener> listeners = new LinkedHashMap<>();
    /** The address of the listener of each balancer; read by the directory's loop. */
    private final Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();

    /** The listener of one balancer. */
    private static final class Listener {
        int port;
        Channel channel;
        final List<Channel> fillers = new ArrayList<>();
    }

    /**
     * Creates the listeners without any port.
     *
     * @param up returns whether the server runs
     * @param handlers creates the handler of a connection from a balancer
     */
    ServerListeners(
            String server, EventLoop loop, BooleanSupplier up, BiFunction<Channel, String, ChannelHandler> handlers) {
        this.server = server;
        this.loop = loop;
        this.up = up;
        this.handlers = handlers;
    }

    /** Returns the address at which the server listens for a balancer; called on any thread. */
    InetSocketAddress address(String balancer) {
        return addresses.get(balancer);
    }

    /** Opens a port for a balancer and waits until it is bound; must not be called on the loop. */
    void listenFor(String balancer) throws InterruptedException {
        ChannelFuture bound = bind(balancer, 0, BACKLOG).await();
        if (!bound.isSuccess()) {
            throw new IllegalStateException(
                    server + " can't listen: " + bound.cause().getMessage());
        }
        loop.submit(() -> {
                    Listener listener = new Listener();
                    listener.channel = bound.channel();
                    listener.port = ((InetSocketAddress) bound.channel().localAddress()).getPort();
                    listeners.put(balancer, listener);
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

    /** Makes new connections fail from now on: they are refused, or they time out if {@code hang} is set. */
    void refuse(boolean hang) {
        close();
        if (!hang) {
            return;
        }
        listeners.forEach((balancer, listener) -> bind(balancer, listener.port, FULL_BACKLOG)
                .addListener((ChannelFuture bound) -> {
                    if (bound.isSuccess()) {
                        listener.channel = bound.channel();
                        listener.channel.config().setAutoRead(false);
                        // These connections fill the accept queue, so that further connects time out.
                        for (int i = 0; i < FILLERS; i++) {
                            listener.fillers.add(new Bootstrap()
                                    .group(loop)
                                    .channel(NioSocketChannel.class)
                                    .handler(new ChannelInboundHandlerAdapter())
                                    .connect(bound.channel().localAddress())
                                    .channel());
                        }
                    }
                }));
    }

    /** Accepts connections again, unless the server has stopped. */
    void reopen() {
        listeners.forEach((balancer, listener) -> {
            listener.fillers.forEach(Channel::close);
            listener.fillers.clear();
            if (listener.channel != null
                    && listener.channel.isOpen()
                    && listener.channel.config().isAutoRead()) {
                return;
            }
            ChannelFuture closed = listener.channel == null ? null : listener.channel.close();
            Runnable open = () -> bind(balancer, listener.port, BACKLOG).addListener((ChannelFuture bound) -> {
                if (bound.isSuccess() && up.getAsBoolean()) {
                    listener.channel = bound.channel();
                } else if (bound.isSuccess()) {
                    bound.channel().close();
                } else {
                    // The port has not been released yet.
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

    /** Closes all listeners, so that new connections are refused. */
    void close() {
        listeners.values().forEach(listener -> {
            if (listener.channel != null) {
                listener.channel.close();
            }
            listener.fillers.forEach(Channel::close);
            listener.fillers.clear();
        });
    }
}

package sablehinge.gateway.admin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Serves operator commands: one line per connection, answered with one line. Clients that do not complete a line can't
 * block others: connections are limited in number (the oldest one is closed), bytes and time.
 */
public final class CallServer {

    /** Few enough for the file descriptors that a process reserves for itself. */
    static final int MAX_CONNECTIONS = 16;
    /** The maximum length of a line, including its end. */
    static final int MAX_LINE_BYTES = 512;

    private static final long TIMEOUT_S = 15;
    /** The time within which a client must close the connection after the response. */
    private static final long LINGER_MS = 500;

    private final EventLoop loop;
    private final ByteBufAllocator allocator;
    private final Function<String, String> handler;
    private final Set<Channel> openChannels = new LinkedHashSet<>();
    private Channel channel;

    /** Creates a server; {@code handler} returns the response line for a request line, on the event loop. */
    public CallServer(EventLoop loop, ByteBufAllocator allocator, Function<String, String> handler) {
        this.loop = loop;
        this.allocator = allocator;
        this.handler = handler;
    }

    /** Listens at an address; returns once the listener is bound. */
    public void bind(InetSocketAddress address) throws IOException, InterruptedException {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOCATOR, allocator)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel child) {
                        admit(child);
                    }
                })
                .bind(address)
                .await();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen for operators on " + address + ": "
                    + bound.cause().getMessage());
        }
        channel = bound.channel();
    }

    /** The address of the listener. */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    private void admit(Channel child) {
        if (openChannels.size() >= MAX_CONNECTIONS) {
            openChannels.iterator().next().close();
        }
        openChannels.add(child);
        child.closeFuture().addListener(closed -> openChannels.remove(child));
        child.pipeline().addLast(new LineHandler());
        loop.schedule(() -> child.close(), TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** Reads the line of a connection. */
    private final class LineHandler extends ChannelInboundHandlerAdapter {

        private final ByteBuf line = Unpooled.buffer(0, MAX_LINE_BYTES);
        private boolean finished;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            try {
                while (!finished && bytes.isReadable()) {
                    byte next = bytes.readByte();
                    if (next == '\n') {
                        handleLine(ctx);
                    } else if (line.readableBytes() + 1 >= MAX_LINE_BYTES) {
                        respond(ctx, "fail the line is too long");
                    } else {
                        line.writeByte(next);
                    }
                }
            } finally {
                bytes.release();
            }
        }

        /** The end of the input also ends the line. */
        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event == ChannelInputShutdownEvent.INSTANCE) {
                if (finished || !line.isReadable()) {
                    ctx.close();
                } else {
                    handleLine(ctx);
                }
            }
        }

        private void handleLine(ChannelHandlerContext ctx) {
            String text = line.toString(StandardCharsets.UTF_8).strip();
            String response;
            try {
                response = handler.apply(text);
            } catch (RuntimeException e) {
                response = "fail " + e.getMessage();
            }
            respond(ctx, response.replaceAll("\\p{Cntrl}", "?"));
        }

        private void respond(ChannelHandlerContext ctx, String text) {
            finished = true;
            ctx.writeAndFlush(Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8))
                    .addListener((ChannelFutureListener) written -> {
                        if (ctx.channel().isActive()) {
                            ((SocketChannel) ctx.channel()).shutdownOutput();
                            loop.schedule(() -> ctx.channel().close(), LINGER_MS, TimeUnit.MILLISECONDS);
                        }
                    });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}

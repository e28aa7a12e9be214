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
 * Takes operators' calls, one line a connection, and answers each with a line. Whoever connects and doesn't finish a
 * line holds up nobody: connections are bounded in number (the oldest gives way), bytes and time.
 */
public final class CallServer {

    /** Few enough for the descriptors that a process keeps for itself. */
    static final int MAX_CONNECTIONS = 16;
    /** Bytes of a line, its end included. */
    static final int MAX_BYTES = 512;

    private static final long TIMEOUT_S = 15;
    /** How long a caller that has its answer may take to close. */
    private static final long LINGER_MS = 500;

    private final EventLoop loop;
    private final ByteBufAllocator memory;
    private final Function<String, String> answers;
    private final Set<Channel> open = new LinkedHashSet<>();
    private Channel channel;

    /** A server on a loop; {@code answers} makes a line of a line, on the loop. */
    public CallServer(EventLoop loop, ByteBufAllocator memory, Function<String, String> answers) {
        this.loop = loop;
        this.memory = memory;
        this.answers = answers;
    }

    /** Listens at an address; waits until it does. */
    public void bind(InetSocketAddress address) throws IOException, InterruptedException {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOCATOR, memory)
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

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    private void admit(Channel child) {
        if (open.size() >= MAX_CONNECTIONS) {
            open.iterator().next().close();
        }
        open.add(child);
        child.closeFuture().addListener(closed -> open.remove(child));
        child.pipeline().addLast(new Line());
        loop.schedule(() -> child.close(), TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** Gathers the line of a connection. */
    private final class Line extends ChannelInboundHandlerAdapter {

        private final ByteBuf line = Unpooled.buffer(0, MAX_BYTES);
        private boolean over;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            try {
                while (!over && bytes.isReadable()) {
                    byte next = bytes.readByte();
                    if (next == '\n') {
                        answer(ctx);
                    } else if (line.readableBytes() + 1 >= MAX_BYTES) {
                        say(ctx, "fail the line is too long");
                    } else {
                        line.writeByte(next);
                    }
                }
            } finally {
                bytes.release();
            }
        }

        /** A caller that ends its sending has ended its line. */
        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event == ChannelInputShutdownEvent.INSTANCE) {
                if (over || !line.isReadable()) {
                    ctx.close();
                } else {
                    answer(ctx);
                }
            }
        }

        private void answer(ChannelHandlerContext ctx) {
            String text = line.toString(StandardCharsets.UTF_8).strip();
            String answer;
            try {
                answer = answers.apply(text);
            } catch (RuntimeException e) {
                answer = "fail " + e.getMessage();
            }
            say(ctx, answer.replaceAll("\\p{Cntrl}", "?"));
        }

        private void say(ChannelHandlerContext ctx, String text) {
            over = true;
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

package sablehinge.common.rpc;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Connections that carry records between processes of the system. Both ends ping each other while they have nothing to
 * say: a partition raises no error, and only an answer shows that the other end is there.
 */
public final class Connection {

    /** The largest record, in bytes: a configuration with thousands of routes, or a snapshot that holds it. */
    public static final int MAX_BYTES = 16 * 1024 * 1024;

    private static final int LENGTH_BYTES = 4;
    /** What may wait to be written to one that doesn't read, in bytes; what comes beyond is dropped. */
    private static final int MAX_WAITING = 2 * MAX_BYTES;

    private static final int CONNECT_MS = 700;
    private static final Frame.Kind[] KINDS = Frame.Kind.values();

    private final EventLoop loop;
    private final long pingMs;
    private final long timeoutMs;
    private final LongSupplier nanoTime;
    private final Observer observer;

    /** Observes each record, with its bytes on the wire; called on the loop. */
    public interface Observer {

        /** Of one that observes nothing. */
        Observer NONE = new Observer() {};

        /** A record was handed to the operating system or waits for it. */
        default void sent(Frame.Kind kind, int bytes) {}

        /** A record was read. */
        default void received(Frame.Kind kind, int bytes) {}

        /** A connection is about to be made; handlers may still be put before its others. */
        default void beforeConnect(Channel channel, InetSocketAddress to) {}
    }

    /** The events of one end of a connection. */
    public interface Handler {

        /** The connection is up. */
        default void opened(Link link) {}

        /** A record has come. */
        void onFrame(Link link, Frame frame);

        /** The connection is over, or never came up; called once. */
        default void closed(Link link) {}
    }

    /**
     * Connections on a loop.
     *
     * @param pingMs how often an end that receives nothing pings
     * @param timeoutMs after how long without any bytes it closes the connection
     */
    public Connection(EventLoop loop, long pingMs, long timeoutMs) {
        this(loop, pingMs, timeoutMs, Observer.NONE);
    }

    /** The same, with an observer of all records. */
    public Connection(EventLoop loop, long pingMs, long timeoutMs, Observer observer) {
        this(loop, pingMs, timeoutMs, observer, System::nanoTime);
    }

    /** The same by another clock, for tests. */
    Connection(EventLoop loop, long pingMs, long timeoutMs, Observer observer, LongSupplier nanoTime) {
        this.loop = loop;
        this.pingMs = pingMs;
        this.timeoutMs = timeoutMs;
        this.nanoTime = nanoTime;
        this.observer = observer;
    }

    /** Takes connections at an address. */
    public ChannelFuture listen(InetSocketAddress address, Handler handler) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        equip(channel, new Link(channel, handler));
                    }
                })
                .bind(address);
    }

    /** Connects to an address; the handler gets the events. */
    public Link connect(InetSocketAddress address, Handler handler) {
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        // Equipped below, as the link is made there.
                    }
                });
        ChannelFuture connect = bootstrap.register();
        Channel channel = connect.channel();
        Link link = new Link(channel, handler);
        equip(channel, link);
        observer.beforeConnect(channel, address);
        channel.connect(address).addListener(up -> {
            if (!up.isSuccess()) {
                link.end();
            }
        });
        return link;
    }

    /** Makes a channel one end of a connection. */
    static void equip(Channel channel, Link link) {
        channel.pipeline()
                .addLast(
                        link.new ActivityHandler(),
                        new LengthFieldBasedFrameDecoder(MAX_BYTES + 1, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                        link);
    }

    /** One end of a connection. */
    public final class Link extends SimpleChannelInboundHandler<ByteBuf> {

        private final Channel channel;
        private final Handler handler;
        private long lastReceivedAt = nanoTime.getAsLong();
        private boolean ended;
        private Future<?> pings;
        /** What its user keeps with it. */
        private Object attachment;

        Link(Channel channel, Handler handler) {
            this.channel = channel;
            this.handler = handler;
        }

        /** Sends a record; it is dropped where the other end has long not read, or there is none. */
        public void send(Frame frame) {
            if (!channel.isActive()) {
                return;
            }
            if (channel.unsafe().outboundBuffer() != null
                    && channel.unsafe().outboundBuffer().totalPendingWriteBytes() > MAX_WAITING) {
                channel.close();
                return;
            }
            ByteBuf out = channel.alloc().buffer(LENGTH_BYTES + 1 + frame.body().length);
            out.writeInt(1 + frame.body().length)
                    .writeByte(frame.kind().ordinal())
                    .writeBytes(frame.body());
            observer.sent(frame.kind(), out.readableBytes());
            channel.writeAndFlush(out);
        }

        /** Whether records can be sent now. */
        public boolean isUp() {
            return channel.isActive();
        }

        /** Closes the connection. */
        public void close() {
            channel.close();
        }

        /** Keeps something with it. */
        public void attach(Object kept) {
            attachment = kept;
        }

        /** What was kept with it, or null. */
        public Object attachment() {
            return attachment;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            lastReceivedAt = nanoTime.getAsLong();
            pings = loop.scheduleAtFixedRate(this::ping, pingMs, pingMs, TimeUnit.MILLISECONDS);
            handler.opened(this);
        }

        private void ping() {
            long sinceLastMessageMs = TimeUnit.NANOSECONDS.toMillis(nanoTime.getAsLong() - lastReceivedAt);
            if (sinceLastMessageMs > timeoutMs) {
                channel.close();
            } else if (sinceLastMessageMs >= pingMs) {
                send(new Frame(Frame.Kind.PING, new byte[0]));
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf in) {
            int kind = in.readableBytes() == 0 ? -1 : in.readUnsignedByte();
            if (kind < 0 || kind >= KINDS.length) {
                // Some other program, or one of another version: nothing that it says is believed.
                channel.close();
                return;
            }
            observer.received(KINDS[kind], LENGTH_BYTES + 1 + in.readableBytes());
            byte[] body = new byte[in.readableBytes()];
            in.readBytes(body);
            if (KINDS[kind] == Frame.Kind.PING) {
                send(new Frame(Frame.Kind.PONG, new byte[0]));
            } else if (KINDS[kind] != Frame.Kind.PONG) {
                handler.onFrame(this, new Frame(KINDS[kind], body));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            end();
        }

        /** Any bytes tell that the other end is there: on a slow link a large record takes long. */
        final class ActivityHandler extends ChannelInboundHandlerAdapter {

            @Override
            public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                lastReceivedAt = nanoTime.getAsLong();
                ctx.fireChannelRead(bytes);
            }
        }

        private void end() {
            if (!ended) {
                ended = true;
                if (pings != null) {
                    pings.cancel(false);
                }
                handler.closed(this);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            channel.close();
        }
    }
}

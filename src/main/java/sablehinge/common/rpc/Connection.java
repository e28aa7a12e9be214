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
 * Connections that carry records between processes of the mesh. Both ends send pings while they receive nothing: a
 * network partition raises no error, and only a reply shows that the peer is reachable.
 */
public final class Connection {

    /** The largest record, in bytes: a configuration with thousands of routes, or a snapshot that holds it. */
    public static final int MAX_BYTES = 16 * 1024 * 1024;

    private static final int LENGTH_BYTES = 4;
    /** Limit on the bytes that wait for a peer that doesn't read; beyond it the connection is closed. */
    private static final int MAX_QUEUED_BYTES = 2 * MAX_BYTES;

    private static final int CONNECT_TIMEOUT_MS = 700;
    private static final Frame.Kind[] KINDS = Frame.Kind.values();

    private final EventLoop loop;
    private final long pingMs;
    private final long timeoutMs;
    private final LongSupplier nanoTime;
    private final Observer observer;

    /** Observes each record with its size on the wire; called on the event loop. */
    public interface Observer {

        /** An observer that does nothing. */
        Observer NONE = new Observer() {};

        /** A record was written to the operating system or is queued for it. */
        default void sent(Frame.Kind kind, int bytes) {}

        /** A record was read. */
        default void received(Frame.Kind kind, int bytes) {}

        /** A connection is about to be opened; handlers may still be added ahead of its own. */
        default void beforeConnect(Channel channel, InetSocketAddress to) {}
    }

    /** The events of one end of a connection. */
    public interface Handler {

        /** The connection is up. */
        default void opened(Link link) {}

        /** A record was received. */
        void onFrame(Link link, Frame frame);

        /** The connection was closed, or could not be opened; called once. */
        default void closed(Link link) {}
    }

    /**
     * Creates connections on an event loop.
     *
     * @param pingMs the interval at which an end that receives nothing sends pings
     * @param timeoutMs the time without any received bytes after which an end closes the connection
     */
    public Connection(EventLoop loop, long pingMs, long timeoutMs) {
        this(loop, pingMs, timeoutMs, Observer.NONE);
    }

    /** Creates connections on an event loop with an observer of all records. */
    public Connection(EventLoop loop, long pingMs, long timeoutMs, Observer observer) {
        this(loop, pingMs, timeoutMs, observer, System::nanoTime);
    }

    /** Creates connections with another clock, for tests. */
    Connection(EventLoop loop, long pingMs, long timeoutMs, Observer observer, LongSupplier nanoTime) {
        this.loop = loop;
        this.pingMs = pingMs;
        this.timeoutMs = timeoutMs;
        this.nanoTime = nanoTime;
        this.observer = observer;
    }

    /** Accepts connections at an address. */
    public ChannelFuture listen(InetSocketAddress address, Handler handler) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        addHandlers(channel, new Link(channel, handler));
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
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        // The handlers are added below, where the link is created.
                    }
                });
        ChannelFuture connect = bootstrap.register();
        Channel channel = connect.channel();
        Link link = new Link(channel, handler);
        addHandlers(channel, link);
        observer.beforeConnect(channel, address);
        channel.connect(address).addListener(connected -> {
            if (!connected.isSuccess()) {
                link.end();
            }
        });
        return link;
    }

    /** Adds the handlers of a connection to a channel. */
    static void addHandlers(Channel channel, Link link) {
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
        /** An object that the user of the link attached to it. */
        private Object attachment;

        Link(Channel channel, Handler handler) {
            this.channel = channel;
            this.handler = handler;
        }

        /**
         * Sends a record. It is dropped if the connection is not open, or if the peer has read nothing for long, in
         * which case the connection is closed.
         */
        public void send(Frame frame) {
            if (!channel.isActive()) {
                return;
            }
            if (channel.unsafe().outboundBuffer() != null
                    && channel.unsafe().outboundBuffer().totalPendingWriteBytes() > MAX_QUEUED_BYTES) {
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

        /** Attaches an object to the link. */
        public void attach(Object object) {
            attachment = object;
        }

        /** The attached object, or null. */
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
                // The peer is another program or has another version; none of its input can be trusted.
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

        /**
         * Records the time at which any bytes were received, not only complete records: on a slow link a large record
         * takes long.
         */
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

package sablehinge.torture;

import io.netty.buffer.ByteBuf;
import io.netty.channel.AbstractChannel;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelMetadata;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.DefaultChannelConfig;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * A connection in virtual time, as {@code NioSocketChannel} behaves over TCP: it writes what the kernel has room for
 * and goes on once there is more, reads while reading is wanted, sees the end of the stream only when it reads, and
 * resets the other end if it is closed on bytes that it has not read.
 */
final class PipeChannel extends AbstractChannel implements DuplexChannel {

    private static final ChannelMetadata METADATA = new ChannelMetadata(false, 16);

    /** What lies towards the other end, and what comes from there. */
    final Pipe out;

    final Pipe in;
    private final Net net;
    private final Dice dice;
    private final Config config;
    private final SocketAddress remote;
    private Net.End end;
    private boolean open = true;
    private boolean active;
    private boolean reading;
    private boolean readSoon;
    private boolean outputShut;
    private boolean inputShut;
    private int linger = -1;
    /** Whether a write waits for room. */
    private boolean blocked;

    PipeChannel(Channel parent, Net net, Dice dice, SocketAddress remote, int outLimit, int inLimit) {
        super(parent);
        this.net = net;
        this.dice = dice;
        this.remote = remote;
        out = new Pipe(outLimit, net::now);
        in = new Pipe(inLimit, net::now);
        config = new Config(this);
    }

    /** Who plays the other end. */
    void playedBy(Net.End other) {
        end = other;
    }

    /** One that was let in is connected from the start. */
    void connected() {
        active = true;
    }

    // ---- The other end's moves ---------------------------------------------------------------------

    /** The other end has put bytes in, ended its stream or broken it. */
    void came() {
        readSoon();
    }

    /** The other end has taken bytes out, or broken the stream. */
    void taken() {
        if (blocked && open && (out.space() > 0 || out.isBroken())) {
            blocked = false;
            eventLoop().execute(() -> ((Raw) unsafe()).goOn());
        }
    }

    /** Whether it wants to read. */
    boolean isReading() {
        return reading;
    }

    /** Bytes that it was given to write and has not. */
    long unwritten() {
        ChannelOutboundBuffer buffer = unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    // ---- Reading -----------------------------------------------------------------------------------

    private void readSoon() {
        if (open && reading && !readSoon && (in.held() > 0 || in.isEnded() || in.isBroken())) {
            readSoon = true;
            eventLoop().execute(() -> {
                readSoon = false;
                if (reading) {
                    readNow();
                }
            });
        }
    }

    /** As {@code AbstractNioByteChannel} reads once its selector tells it to. */
    void readNow() {
        int passes = 0;
        boolean closes = false;
        Throwable cause = null;
        boolean any = false;
        do {
            if (in.held() > 0) {
                ByteBuf part;
                int most = dice.portion();
                try {
                    part = config.getAllocator().buffer(most);
                } catch (OutOfMemoryError e) {
                    cause = e;
                    break;
                }
                part.writeBytes(in.read(most));
                any = true;
                end.taken();
                pipeline().fireChannelRead(part);
            } else if (in.isBroken()) {
                cause = new IOException("Connection reset by peer");
                break;
            } else if (in.isEnded()) {
                closes = true;
                break;
            } else {
                break;
            }
        } while (++passes < 16 && config.isAutoRead() && open);
        if (any || closes || cause != null) {
            pipeline().fireChannelReadComplete();
        }
        if (cause != null) {
            pipeline().fireExceptionCaught(cause);
            closes = true;
        }
        if (!closes) {
            readSoon();
        } else if (open) {
            closeInput();
        }
    }

    /** The stream has ended or broken; as on a selector's channel, the same event follows either. */
    private void closeInput() {
        if (!config.halfClosure) {
            unsafe().close(voidPromise());
        } else if (!inputShut) {
            inputShut = true;
            pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
        }
    }

    @Override
    protected void doBeginRead() {
        reading = true;
        readSoon();
    }

    // ---- Writing -----------------------------------------------------------------------------------

    @Override
    protected void doWrite(ChannelOutboundBuffer buffer) throws Exception {
        boolean moved = false;
        // A selector's channel gathers what was flushed into one call of the system.
        net.writes++;
        try {
            for (Object message = buffer.current(); message != null; message = buffer.current()) {
                ByteBuf bytes = (ByteBuf) message;
                byte[] copy = new byte[Math.min(bytes.readableBytes(), Math.max(1, out.space()))];
                bytes.getBytes(bytes.readerIndex(), copy);
                int count = out.write(copy, 0, copy.length);
                moved |= count > 0;
                if (bytes.readableBytes() == 0) {
                    buffer.remove();
                } else if (count == 0) {
                    blocked = true;
                    return;
                } else {
                    buffer.removeBytes(count);
                }
            }
        } finally {
            if (moved) {
                end.came();
            }
        }
    }

    // ---- Beginning and end -------------------------------------------------------------------------

    @Override
    protected AbstractUnsafe newUnsafe() {
        return new Raw();
    }

    private final class Raw extends AbstractUnsafe {

        @Override
        public void connect(SocketAddress to, SocketAddress local, ChannelPromise promise) {
            if (!promise.setUncancellable() || !ensureOpen(promise)) {
                return;
            }
            net.connect(PipeChannel.this, (java.net.InetSocketAddress) to, failed -> {
                if (!open || promise.isDone()) {
                    return;
                }
                if (failed != null) {
                    promise.tryFailure(failed);
                    close(voidPromise());
                    return;
                }
                active = true;
                boolean completed = promise.trySuccess();
                pipeline().fireChannelActive();
                if (!completed) {
                    close(voidPromise());
                }
            });
            eventLoop()
                    .schedule(
                            () -> {
                                if (promise.tryFailure(new ConnectTimeoutException("no answer"))) {
                                    close(voidPromise());
                                }
                            },
                            config.getConnectTimeoutMillis(),
                            TimeUnit.MILLISECONDS);
        }

        /** Writes on what was flushed, and nothing that was not. */
        void goOn() {
            super.flush0();
        }

        /** Like a selector's channel, one that waits for room doesn't try meanwhile. */
        @Override
        protected void flush0() {
            if (!blocked) {
                super.flush0();
            }
        }
    }

    @Override
    protected void doClose() {
        if (!open) {
            return;
        }
        open = false;
        active = false;
        reading = false;
        boolean resets = linger == 0 || in.held() > 0;
        if (resets) {
            out.breakOff(dice.chance(2));
        } else {
            out.end();
        }
        in.breakOff(true);
        if (end != null) {
            end.left();
        }
    }

    @Override
    protected void doDisconnect() {
        doClose();
    }

    @Override
    public ChannelFuture shutdownOutput() {
        return shutdownOutput(newPromise());
    }

    @Override
    public ChannelFuture shutdownOutput(ChannelPromise promise) {
        outputShut = true;
        ChannelOutboundBuffer buffer = unsafe().outboundBuffer();
        if (buffer != null && !buffer.isEmpty()) {
            net.violated("the output was shut on " + buffer.size() + " parts that were not written");
        }
        out.end();
        end.came();
        return promise.setSuccess();
    }

    @Override
    public boolean isOutputShutdown() {
        return outputShut;
    }

    @Override
    public boolean isInputShutdown() {
        return inputShut;
    }

    @Override
    public boolean isShutdown() {
        return !open;
    }

    @Override
    public ChannelFuture shutdownInput() {
        throw new UnsupportedOperationException();
    }

    @Override
    public ChannelFuture shutdownInput(ChannelPromise promise) {
        throw new UnsupportedOperationException();
    }

    @Override
    public ChannelFuture shutdown() {
        throw new UnsupportedOperationException();
    }

    @Override
    public ChannelFuture shutdown(ChannelPromise promise) {
        throw new UnsupportedOperationException();
    }

    @Override
    protected boolean isCompatible(EventLoop loop) {
        return true;
    }

    @Override
    protected SocketAddress localAddress0() {
        return null;
    }

    @Override
    protected SocketAddress remoteAddress0() {
        return remote;
    }

    @Override
    protected void doBind(SocketAddress local) {}

    @Override
    public ChannelConfig config() {
        return config;
    }

    @Override
    public boolean isOpen() {
        return open;
    }

    @Override
    public boolean isActive() {
        return active;
    }

    @Override
    public ChannelMetadata metadata() {
        return METADATA;
    }

    /** Knows the options that the program sets on its sockets. */
    private static final class Config extends DefaultChannelConfig {

        private final PipeChannel channel;
        private boolean halfClosure;

        Config(PipeChannel channel) {
            super(channel);
            this.channel = channel;
        }

        @Override
        public <T> boolean setOption(ChannelOption<T> option, T value) {
            if (option == ChannelOption.SO_LINGER) {
                channel.linger = (Integer) value;
                return true;
            }
            if (option == ChannelOption.ALLOW_HALF_CLOSURE) {
                halfClosure = (Boolean) value;
                return true;
            }
            return option == ChannelOption.TCP_NODELAY
                    || option == ChannelOption.SO_SNDBUF
                    || super.setOption(option, value);
        }

        @Override
        protected void autoReadCleared() {
            channel.reading = false;
        }
    }
}

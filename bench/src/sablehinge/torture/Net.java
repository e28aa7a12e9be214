package sablehinge.torture;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.ServerChannel;
import io.netty.channel.local.LocalIoHandler;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sablehinge.common.eventloop.Timers;
import sablehinge.dataplane.http1.SocketKind;

/** A network in virtual time on one event loop, which the rig turns by hand. */
final class Net implements SocketKind {

    /** Who plays the other end of a connection. */
    interface End {

        /** The balancer has written, or ended its stream. */
        void came();

        /** The balancer has read. */
        void taken();

        /** The balancer has closed its side. */
        void left();
    }

    /** Who listens at an address. */
    interface Listener {

        /** Takes a connection in, after a while given in ms; below 0 it is refused, NaN is no answer at all. */
        double answersAfter();

        /** Plays the other end from now on. */
        void connected(PipeChannel channel);
    }

    /** Turns of the loop at one moment, after which something feeds itself. */
    private static final int MAX_TURNS = 20_000;

    private static final double NANOS_PER_MS = 1e6;

    final MockTicker ticker = Ticker.newMockTicker();
    final ManualIoEventLoop loop =
            new ManualIoEventLoop(null, Thread.currentThread(), LocalIoHandler.newFactory(), ticker);
    final List<String> violations = new ArrayList<>();
    final List<PipeChannel> made = new ArrayList<>();
    /** The connections to upstreams have their chances by the order in which they are made. */
    private final long seed;

    private int connections;
    final ByteBufAllocator memory;
    /** Writes that would each be a system call. */
    long writes;

    private final Map<InetSocketAddress, Listener> listeners = new HashMap<>();
    private PipeServer server;

    Net(long seed, ByteBufAllocator memory) {
        this.seed = seed;
        this.memory = memory;
    }

    void violated(String what) {
        violations.add(String.format("%.1f ms: %s", now(), what));
    }

    double now() {
        return ticker.nanoTime() / 1e6;
    }

    /** Timers in its time. */
    Timers timers() {
        return (time, call) -> {
            long delayNanos = (long) Math.ceil(Math.max(0, time - now()) * NANOS_PER_MS);
            Future<?> due = loop.schedule(call, delayNanos, TimeUnit.NANOSECONDS);
            return () -> due.cancel(false);
        };
    }

    /** Runs what is due until nothing is. */
    void settle() {
        int turns = 0;
        while (loop.runNow(0) > 0) {
            if (++turns > MAX_TURNS) {
                violated("the loop does not come to rest");
                return;
            }
        }
    }

    /** Ends the loop, which Netty's resolvers keep, with all that it knows, until its end has come. */
    void end() {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        for (int turns = 0; !loop.isTerminated() && turns < MAX_TURNS; turns++) {
            // Netty sleeps through its quiet time in real time; an interrupt wakes it at once.
            Thread.currentThread().interrupt();
            loop.runNow(0);
            advance(1);
        }
        Thread.interrupted();
    }

    void advance(double millis) {
        ticker.advance((long) (millis * 1e6), TimeUnit.NANOSECONDS);
    }

    void later(double millis, Runnable call) {
        loop.schedule(call, (long) (millis * 1e6), TimeUnit.NANOSECONDS);
    }

    void listen(InetSocketAddress address, Listener listener) {
        listeners.put(address, listener);
    }

    /** A caller's connection, which the other end may use before it is let in. */
    PipeChannel caller(int toCaller, int fromCaller, Dice dice) {
        PipeChannel channel = new PipeChannel(server, this, dice, new InetSocketAddress(9), toCaller, fromCaller);
        channel.connected();
        made.add(channel);
        server.arrives(channel);
        return channel;
    }

    void connect(PipeChannel channel, InetSocketAddress to, Consumer<Throwable> done) {
        Listener listener = listeners.get(to);
        double after = listener == null ? -1 : listener.answersAfter();
        if (!Double.isNaN(after)) {
            later(Math.abs(after), () -> {
                if (after >= 0 && channel.isOpen()) {
                    listener.connected(channel);
                }
                done.accept(after < 0 ? new ConnectException("Connection refused") : null);
            });
        }
    }

    @Override
    public ChannelFactory<ServerChannel> listening() {
        return () -> {
            server = new PipeServer();
            return server;
        };
    }

    @Override
    public ChannelFactory<Channel> connecting() {
        return () -> {
            Dice dice = new Dice(seed, "to upstream", connections++);
            PipeChannel channel = new PipeChannel(
                    null, this, dice, new InetSocketAddress(8), dice.size(256, 131_072), dice.size(256, 131_072));
            made.add(channel);
            return channel;
        };
    }

    @Override
    public void readNow(Channel channel) {
        if (channel instanceof PipeServer one) {
            one.readNow();
        } else {
            ((PipeChannel) channel).readNow();
        }
    }

    @Override
    public void writeNow(Channel channel) {
        channel.flush();
    }
}

package sablehinge.dataplane.http1;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.DoublePredicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.logging.Log;
import sablehinge.dataplane.budget.HeaderText;
import sablehinge.dataplane.proxy.MonitoredRelay;
import sablehinge.dataplane.proxy.RequestProxy;
import sablehinge.dataplane.proxy.ShutdownDeadlines;

/**
 * Accepts client connections, receives their requests and writes the responses. A client that sends invalid requests,
 * or nothing, soon gets an error or is disconnected, and can't hold memory or descriptors for longer.
 */
public final class Frontend {

    private static final Logger LOG = LoggerFactory.getLogger(Frontend.class);
    private static final int BACKLOG = 1_024;

    private static final long SWEEP_INTERVAL_MS = 200;

    private final FrontendContext context;

    private final DoublePredicate evict = this::evictIdle;
    private ScheduledFuture<?> sweepTask;
    /** During retirement: when it stops accepting, ms, and the callback for when no connection is left. */
    private double closesAt = Double.POSITIVE_INFINITY;

    private Runnable onRetired;

    /** Creates a frontend for the platform's clients. */
    public Frontend(EventLoop loop, Sockets sockets, ByteBufAllocator memory, RequestProxy proxy) {
        this(
                loop,
                sockets,
                memory,
                new BodyMemory(PlatformFront.MAX_REPEATABLE_BYTES),
                proxy,
                new PlatformFront(proxy));
    }

    /**
     * Creates a frontend on the given event loop whose connections count towards the given sockets, and their bodies
     * towards the given memory.
     */
    public Frontend(
            EventLoop loop,
            Sockets sockets,
            ByteBufAllocator memory,
            BodyMemory bodyMemory,
            RequestProxy proxy,
            FrontDialect dialect) {
        context = new FrontendContext(loop, sockets, memory, bodyMemory, proxy, dialect);
        sockets.addCallerEviction(evict);
    }

    /**
     * Accepts clients at the given address; waits until it listens.
     *
     * @param shared whether other processes of the same user may listen there too (SO_REUSEPORT, socket(7))
     */
    public void bind(InetSocketAddress address, boolean shared) throws IOException, InterruptedException {
        ChannelFuture bound = listen(address, shared).await();
        if (!bound.isSuccess()) {
            throw new IOException(bindFailure(address, bound.cause()));
        }
        onListening(bound.channel());
    }

    /** Accepts clients on a listening socket of the process; called on the event loop. */
    public void adopt(ServerSocketChannel listener) {
        context.listening = server().channelFactory(
                        (ChannelFactory<ServerChannel>) () -> new NioServerSocketChannel(listener))
                .register()
                .channel();
        onListening(context.listening);
    }

    /**
     * Accepts clients at the given address; {@code done} is called on the event loop with the error message, or null.
     */
    public void open(InetSocketAddress address, Consumer<String> done) {
        listen(address, false).addListener((ChannelFuture bound) -> {
            if (bound.isSuccess()) {
                onListening(bound.channel());
            }
            done.accept(bound.isSuccess() ? null : bindFailure(address, bound.cause()));
        });
    }

    private static String bindFailure(InetSocketAddress address, Throwable cause) {
        return "cannot listen on " + address + ": " + cause.getMessage();
    }

    private void onListening(Channel bound) {
        context.listening = bound;
        if (context.shutdown != null) {
            // The shutdown began before it listened.
            bound.close();
        }
        sweepTask = context.loop.scheduleAtFixedRate(
                () -> sweep(context.proxy.now()), SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private ChannelFuture listen(InetSocketAddress address, boolean shared) {
        ServerBootstrap server = server().channelFactory(context.sockets.kind().listening());
        if (shared) {
            server.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
        }
        return server.bind(address);
    }

    private ServerBootstrap server() {
        return new ServerBootstrap()
                .group(context.loop)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .handler(new Acceptor())
                .childOption(ChannelOption.ALLOCATOR, context.memory)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        // Set before any accepted client can disconnect.
                        context.listening = channel.parent();
                        CallerConnection connection = new CallerConnection(context, channel);
                        channel.pipeline().addLast(connection.decoder, new HttpResponseEncoder(), connection);
                    }
                });
    }

    /** Enables the headers with budgets. */
    public void enableBudgets(HeaderText text) {
        context.dialect.enableBudgets(text);
    }

    /** The address that it listens on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) context.listening.localAddress();
    }

    /** The number of client connections. */
    public int callers() {
        return context.connections.size();
    }

    /** Bytes that are reserved for bodies of more than 64 KiB, of requests in progress or still being received. */
    public long reservedBytes() {
        return context.bodyMemory.reservedBytes();
    }

    /** The number of requests that wait for a configuration. */
    int deferredRequests() {
        return context.deferredRequests;
    }

    /** The number of relays that a sweep had to resume because their wake-up was lost. */
    public long wokenBodies() {
        return context.wokenBodies;
    }

    /** Whether no response is being written. Clients that received their last response may still be connected. */
    public boolean isWrittenOut() {
        return context.connections.stream()
                .noneMatch(connection -> connection.responses().isWriting());
    }

    /** The number of connections that are not idle. */
    public int busyConnections() {
        int busy = 0;
        for (CallerConnection connection : context.connections) {
            busy += connection.isIdle() ? 0 : 1;
        }
        return busy;
    }

    /** Passes each relayed body and each unwritten response to the consumer. */
    public void forEachRelay(Consumer<MonitoredRelay> each) {
        context.connections.forEach(connection -> connection.forEachRelay(each));
    }

    /** From now on every response asks its client to close the connection. */
    public void beginDrain() {
        context.beginDrain();
    }

    /** The number of requests that became due while it drained. */
    public int lateRequests() {
        return context.lateRequests.total();
    }

    /** Closes idle connections and reports whether none is left, so that the process may end. */
    public boolean endDrain() {
        if (context.listening != null) {
            context.sockets.readNow(context.listening);
        }
        for (CallerConnection connection : new ArrayList<>(context.connections)) {
            connection.closeIfIdle();
        }
        return context.connections.isEmpty();
    }

    /**
     * Called before another version is applied: for the given ms, a request that is invalid under the new version may
     * still be read by the present one, which its client used.
     */
    public void acceptPreviousVersion(long millis) {
        context.dialect.acceptPreviousVersion(context.proxy.now() + millis);
    }

    /** Enforces the timeouts of all connections as of the given time. */
    void sweep(double now) {
        for (CallerConnection connection : new ArrayList<>(context.connections)) {
            connection.sweep(now);
        }
        if (now >= closesAt) {
            finishRetirement();
        } else {
            context.resumeAccepting();
        }
    }

    /**
     * Retires this frontend while the balancer continues elsewhere: responses ask clients to close their connections,
     * new clients are accepted for the given ms, and then the listener is closed. Requests in progress are answered.
     *
     * @param done called once no connection is left
     */
    public void retire(double grace, Runnable done) {
        context.beginDrain();
        closesAt = context.proxy.now() + grace;
        onRetired = done;
    }

    /** Cancels a retirement; false if the listener has been closed already. */
    public boolean cancelRetirement() {
        if (!context.listening.isOpen()) {
            return false;
        }
        context.draining = false;
        closesAt = Double.POSITIVE_INFINITY;
        return true;
    }

    /**
     * Leaves new clients to another process that listens at the same address. Requests of existing clients are answered
     * with a request to close the connection.
     */
    public void handOver() {
        context.beginDrain();
        closeListener();
    }

    /**
     * Stops accepting clients, as the process is about to end, and reads all input received by now. A request that
     * arrives later is started only if the given deadlines admit it, and the response to the last request received on a
     * connection is its last.
     */
    public void stopAdmitting(ShutdownDeadlines deadlines) {
        closeListener();
        for (CallerConnection connection : new ArrayList<>(context.connections)) {
            context.sockets.readNow(connection.channel);
        }
        context.beginDrain();
        context.shutdown = deadlines.withAdmissionExtendedTo(context.proxy.now());
    }

    private void closeListener() {
        if (context.listening != null && context.listening.isOpen()) {
            int connectionsBefore;
            do {
                // Clients that the kernel has accepted must get a response; to close now would reset their connections.
                connectionsBefore = context.connections.size();
                context.sockets.readNow(context.listening);
            } while (context.connections.size() > connectionsBefore);
            context.listening.close();
        }
    }

    private void finishRetirement() {
        closeListener();
        for (CallerConnection connection : new ArrayList<>(context.connections)) {
            connection.closeIfIdle();
        }
        if (context.connections.isEmpty() && sweepTask != null) {
            sweepTask.cancel(false);
            sweepTask = null;
            context.sockets.removeCallerEviction(evict);
            onRetired.run();
        }
    }

    /**
     * Closes the connection that has been idle or lingering for the longest time, if that began before the given time.
     */
    private boolean evictIdle(double before) {
        for (CallerConnection connection : new ArrayList<>(context.connections)) {
            // A closed connection stays in the set until its end is reported; to count it again would make no room.
            if (connection.channel.isOpen()
                    && connection.lastActivityAt < before
                    && (connection.isLingering() || connection.closeIfIdle())) {
                connection.channel.close();
                return true;
            }
        }
        return false;
    }

    /** Handles a failure to accept a client, and waits for the next sweep before accepting again. */
    private static final class Acceptor extends ChannelInboundHandlerAdapter {

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.channel().config().setAutoRead(false);
            Log.warn(LOG, "caller-not-let-in")
                    .addKeyValue("cause", cause.toString())
                    .log("a client could not be accepted: {}", cause.toString());
        }
    }
}

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
 * Takes callers' requests and writes each one's answer. A caller that sends what is of no use, or nothing, has an error
 * or the end of its connection soon, and can't hold memory or descriptors for longer.
 */
public final class Frontend {

    private static final Logger LOG = LoggerFactory.getLogger(Frontend.class);
    private static final int BACKLOG = 1_024;

    private static final long SWEEP_MS = 200;

    private final FrontendContext context;

    private final DoublePredicate evict = this::evictIdle;
    private ScheduledFuture<?> sweeps;
    /** While it drains: when it accepts no more, ms, and what then follows. */
    private double closesAt = Double.POSITIVE_INFINITY;

    private Runnable afterwards;

    /** A front for the platform's callers. */
    public Frontend(EventLoop loop, Sockets sockets, ByteBufAllocator memory, RequestProxy core) {
        this(loop, sockets, memory, core, new PlatformFront(core));
    }

    /** A front on the given loop, whose connections count among the given sockets. */
    public Frontend(EventLoop loop, Sockets sockets, ByteBufAllocator memory, RequestProxy core, FrontDialect dialect) {
        context = new FrontendContext(loop, sockets, memory, core, dialect);
        sockets.callersGiveWay(evict);
    }

    /**
     * Lets callers in at the given address; waits until it does.
     *
     * @param shared whether other processes of the same user may listen there too (SO_REUSEPORT, socket(7))
     */
    public void bind(InetSocketAddress address, boolean shared) throws IOException, InterruptedException {
        ChannelFuture bound = listen(address, shared).await();
        if (!bound.isSuccess()) {
            throw new IOException(cannot(address, bound.cause()));
        }
        listens(bound.channel());
    }

    /** Lets callers in where the process listens already; on the loop. */
    public void adopt(ServerSocketChannel listens) {
        context.listening = server().channelFactory(
                        (ChannelFactory<ServerChannel>) () -> new NioServerSocketChannel(listens))
                .register()
                .channel();
        listens(context.listening);
    }

    /** Lets callers in at the given address; {@code done} gets, on the loop, why not, or null. */
    public void open(InetSocketAddress address, Consumer<String> done) {
        listen(address, false).addListener((ChannelFuture bound) -> {
            if (bound.isSuccess()) {
                listens(bound.channel());
            }
            done.accept(bound.isSuccess() ? null : cannot(address, bound.cause()));
        });
    }

    private static String cannot(InetSocketAddress address, Throwable cause) {
        return "cannot listen on " + address + ": " + cause.getMessage();
    }

    private void listens(Channel bound) {
        context.listening = bound;
        if (context.shutdown != null) {
            // The process was told to end before it listened.
            bound.close();
        }
        sweeps = context.loop.scheduleAtFixedRate(
                () -> sweep(context.core.now()), SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
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
                        // Known before anybody who was let in can leave again.
                        context.listening = channel.parent();
                        CallerConnection connection = new CallerConnection(context, channel);
                        channel.pipeline().addLast(connection.decoder, new HttpResponseEncoder(), connection);
                    }
                });
    }

    /** Switches on the headers of budgets. */
    public void enableBudgets(HeaderText text) {
        context.dialect.enableBudgets(text);
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) context.listening.localAddress();
    }

    /** How many connections it has. */
    public int callers() {
        return context.connections.size();
    }

    /** Bytes that are reserved for bodies of more than 64 KiB, at work or still coming. */
    public int reservedBytes() {
        return context.reservedBytes;
    }

    /** How many requests wait for an update. */
    int deferredRequests() {
        return context.deferredRequests;
    }

    /** How many bodies the sweep had to wake, as the wake-up that was due had been lost. */
    public long wokenBodies() {
        return context.wokenBodies;
    }

    /** Whether no answer is being written: callers that have had their last one may still be there. */
    public boolean isWrittenOut() {
        return context.connections.stream()
                .noneMatch(connection -> connection.responses().isWriting());
    }

    /** Connections on which something is at work. */
    public int busyConnections() {
        int busy = 0;
        for (CallerConnection connection : context.connections) {
            busy += connection.isIdle() ? 0 : 1;
        }
        return busy;
    }

    /** Each body that passes through, and each answer that is not written out. */
    public void forEachRelay(Consumer<MonitoredRelay> each) {
        context.connections.forEach(connection -> connection.forEachRelay(each));
    }

    /** From now on every answer asks its caller to leave. */
    public void beginDrain() {
        context.beginDrain();
    }

    /** How many requests came to their turn while it drained. */
    public int lateRequests() {
        return context.lateRequests.total();
    }

    /** Closes what is idle and tells whether nothing is left, so that the process may end. */
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
     * Before another version is taken: for so many ms a request that the new one can't take may still be read as one of
     * the present one, by which its caller has sent it.
     */
    public void acceptPreviousVersion(long millis) {
        context.dialect.acceptPreviousVersion(context.core.now() + millis);
    }

    /** Ends what has taken too long by the given time. */
    void sweep(double now) {
        for (CallerConnection connection : new ArrayList<>(context.connections)) {
            connection.sweep(now);
        }
        if (now >= closesAt) {
            leave();
        } else {
            context.resumeAccepting();
        }
    }

    /**
     * Gives its address up while the balancer goes on elsewhere: answers ask their callers to leave, for so many ms it
     * lets in those who don't know yet, then it closes. Callers that are at work have their answers.
     *
     * @param done called once no connection is left
     */
    public void retire(double grace, Runnable done) {
        context.beginDrain();
        closesAt = context.core.now() + grace;
        afterwards = done;
    }

    /** Takes a retirement back; false if it lets in nobody any more. */
    public boolean cancelRetirement() {
        if (!context.listening.isOpen()) {
            return false;
        }
        context.draining = false;
        closesAt = Double.POSITIVE_INFINITY;
        return true;
    }

    /**
     * Leaves new callers to another process that listens at the same address; those that it has are answered, and
     * requested to leave with that.
     */
    public void handOver() {
        context.beginDrain();
        shut();
    }

    /**
     * The process is about to end: lets in nobody more, and takes what has come by now. Of what comes from here on
     * nothing is begun that the given times do not admit, and the answer to the last request that has come on a
     * connection is its last.
     */
    public void stopAdmitting(ShutdownDeadlines deadlines) {
        shut();
        for (CallerConnection connection : new ArrayList<>(context.connections)) {
            context.sockets.readNow(connection.channel);
        }
        context.beginDrain();
        context.shutdown = deadlines.withAdmissionExtendedTo(context.core.now());
    }

    private void shut() {
        if (context.listening != null && context.listening.isOpen()) {
            int before;
            do {
                // Who has been let in by the kernel is owed an answer; to close now would reset them.
                before = context.connections.size();
                context.sockets.readNow(context.listening);
            } while (context.connections.size() > before);
            context.listening.close();
        }
    }

    private void leave() {
        shut();
        for (CallerConnection connection : new ArrayList<>(context.connections)) {
            connection.closeIfIdle();
        }
        if (context.connections.isEmpty() && sweeps != null) {
            sweeps.cancel(false);
            sweeps = null;
            context.sockets.callersLeft(evict);
            afterwards.run();
        }
    }

    /**
     * Closes a caller's connection that nothing is at work on since before the given time, the longest such first, as
     * it may between requests.
     */
    private boolean evictIdle(double before) {
        for (CallerConnection connection : new ArrayList<>(context.connections)) {
            // One that is closed stays here until its end is reported: to count it again would make no room.
            if (connection.channel.isOpen()
                    && connection.lastActivityAt < before
                    && (connection.isLingering() || connection.closeIfIdle())) {
                connection.channel.close();
                return true;
            }
        }
        return false;
    }

    /** Handles a caller that could not be accepted, and waits for the next sweep before it tries again. */
    private static final class Acceptor extends ChannelInboundHandlerAdapter {

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.channel().config().setAutoRead(false);
            Log.warn(LOG, "caller-not-let-in")
                    .addKeyValue("cause", cause.toString())
                    .log("a caller could not be let in: {}", cause.toString());
        }
    }
}

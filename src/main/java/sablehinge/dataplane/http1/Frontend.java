package sablehinge.dataplane.http1;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.DoublePredicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.logging.Log;
import sablehinge.dataplane.budget.HeaderText;
import sablehinge.dataplane.proxy.Answer;
import sablehinge.dataplane.proxy.Arrival;
import sablehinge.dataplane.proxy.Caller;
import sablehinge.dataplane.proxy.Core;
import sablehinge.dataplane.proxy.Exchange;
import sablehinge.dataplane.proxy.Passage;
import sablehinge.dataplane.proxy.Payload;
import sablehinge.dataplane.proxy.TraceEvent;
import sablehinge.dataplane.proxy.Version;

/**
 * Takes callers' requests and writes each one's answer. A caller that sends what is of no use, or nothing, has an error
 * or the end of its connection soon, and can't hold memory or descriptors for longer.
 */
public final class Frontend {

    private static final Logger LOG = LoggerFactory.getLogger(Frontend.class);
    private static final int BACKLOG = 1_024;
    /** Requests that a connection may send ahead of their turn, and their bytes before it is read no more. */
    private static final int MAX_AHEAD = 16;
    /** Of those, how many are begun before their turn. */
    private static final int MAX_EARLY = 8;

    private static final int MAX_AHEAD_BYTES = UpstreamClient.MAX_BODY;
    private static final long SWEEP_MS = 200;
    /** How long a request that waits for news is put off each time. */
    private static final long PUT_OFF_MS = 10;
    /** So many may wait so at once: each is read again every time. */
    static final int MOST_PUT_OFF = 256;
    /** How long a caller that was answered for the last time may go on sending, and how much is read. */
    private static final long LINGER_MS = 500;

    private static final int LINGER_BYTES = 1024 * 1024;
    /** An answer that its caller has not let in by then is given up. */
    private static final double WRITE_MS = 10_000;

    private final EventLoop loop;
    private final Sockets sockets;
    private final ByteBufAllocator memory;
    private final Core core;
    private final FrontDialect dialect;
    /** Every caller's connection, in the order in which they came or last became idle. */
    private final Set<Connection> connections = new LinkedHashSet<>();
    /** Who waits for the answer to a request, by its X-Txn. */
    private final Map<String, Connection> open = new HashMap<>();

    private final DoublePredicate evict = this::evictIdle;
    private Channel listening;
    private ScheduledFuture<?> sweeps;
    /** Bytes that are reserved for bodies of more than 64 KiB. */
    private int kept;

    private long woken;
    /** Requests that wait for news. */
    private int putOff;

    private boolean draining;
    /** Once its callers have been told to go elsewhere: when it lets in no more, and what then follows. */
    private double closesAt = Double.POSITIVE_INFINITY;

    private Runnable afterwards;

    /** A front for the platform's callers. */
    public Frontend(EventLoop loop, Sockets sockets, ByteBufAllocator memory, Core core) {
        this(loop, sockets, memory, core, new PlatformFront(core));
    }

    /** A front on the given loop, whose connections count among the given sockets. */
    public Frontend(EventLoop loop, Sockets sockets, ByteBufAllocator memory, Core core, FrontDialect dialect) {
        this.dialect = dialect;
        this.loop = loop;
        this.sockets = sockets;
        this.memory = memory;
        this.core = core;
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
        listening = server().channelFactory((ChannelFactory<ServerChannel>) () -> new NioServerSocketChannel(listens))
                .register()
                .channel();
        listens(listening);
    }

    /** Lets callers in at the given address; {@code done} hears, on the loop, why not, or null. */
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
        listening = bound;
        sweeps = loop.scheduleAtFixedRate(() -> sweep(core.now()), SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    private ChannelFuture listen(InetSocketAddress address, boolean shared) {
        ServerBootstrap server = server().channelFactory(sockets.kind().listening());
        if (shared) {
            server.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
        }
        return server.bind(address);
    }

    private ServerBootstrap server() {
        return new ServerBootstrap()
                .group(loop)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .handler(new Acceptor())
                .childOption(ChannelOption.ALLOCATOR, memory)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        // Known before anybody who was let in can leave again.
                        listening = channel.parent();
                        Connection connection = new Connection(channel);
                        channel.pipeline().addLast(connection.decoder, new HttpResponseEncoder(), connection);
                    }
                });
    }

    /** Switches on the headers of budgets. */
    public void budgets(HeaderText text) {
        dialect.budgets(text);
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /** How many connections it has. */
    public int callers() {
        return connections.size();
    }

    /** Bytes that are reserved for bodies of more than 64 KiB, at work or still coming. */
    public int kept() {
        return kept;
    }

    /** How many requests wait for news. */
    int putOff() {
        return putOff;
    }

    /** How many bodies the sweep had to wake, as the wake-up that was due had been lost. */
    public long woken() {
        return woken;
    }

    /** Connections on which something is at work. */
    public int busy() {
        int busy = 0;
        for (Connection connection : connections) {
            busy += connection.isIdle() ? 0 : 1;
        }
        return busy;
    }

    /** Each body that passes through, and each answer that is not written out. */
    public void passages(Consumer<Passage> each) {
        connections.forEach(connection -> connection.passages(each));
    }

    /** From now on every answer asks its caller to leave. */
    public void beginDrain() {
        draining = true;
    }

    /** Closes what is idle and tells whether nothing is left, so that the process may end. */
    public boolean endDrain() {
        sockets.readNow(listening);
        for (Connection connection : new ArrayList<>(connections)) {
            connection.closeIfIdle();
        }
        return connections.isEmpty();
    }

    /**
     * Before another version is taken: for so many ms a request that the new one can't take may still be read as one of
     * the present one, by which its caller has sent it.
     */
    public void takesLate(long millis) {
        dialect.takesLate(core.now() + millis);
    }

    /** Ends what has taken too long by the given time. */
    void sweep(double now) {
        for (Connection connection : new ArrayList<>(connections)) {
            connection.sweep(now);
        }
        if (now >= closesAt) {
            leave();
        } else {
            resume();
        }
    }

    /**
     * Gives its address up while the balancer goes on elsewhere: answers ask their callers to leave, for so many ms it
     * lets in those who don't know yet, then it closes. Callers that are at work have their answers.
     *
     * @param done called once no connection is left
     */
    public void retire(double grace, Runnable done) {
        draining = true;
        closesAt = core.now() + grace;
        afterwards = done;
    }

    /** Takes a retirement back; false if it lets in nobody any more. */
    public boolean stay() {
        if (!listening.isOpen()) {
            return false;
        }
        draining = false;
        closesAt = Double.POSITIVE_INFINITY;
        return true;
    }

    /**
     * Leaves new callers to another process that listens at the same address; those that it has are answered, and asked
     * to leave with that.
     */
    public void handOver() {
        draining = true;
        shut();
    }

    private void shut() {
        if (listening.isOpen()) {
            int before;
            do {
                // Who has been let in by the kernel is owed an answer; to close now would reset them.
                before = connections.size();
                sockets.readNow(listening);
            } while (connections.size() > before);
            listening.close();
        }
    }

    private void leave() {
        shut();
        for (Connection connection : new ArrayList<>(connections)) {
            connection.closeIfIdle();
        }
        if (connections.isEmpty() && sweeps != null) {
            sweeps.cancel(false);
            sweeps = null;
            sockets.callersLeft(evict);
            afterwards.run();
        }
    }

    /**
     * Lets callers in again if there is room. To do so at each close, room or not, would let in more than leave and use
     * up the descriptors, without which the virtual machine can't even load a class.
     */
    private void resume() {
        if (listening.isOpen() && !listening.config().isAutoRead() && sockets.roomForCaller(core.now())) {
            listening.config().setAutoRead(true);
        }
    }

    /**
     * Closes a caller's connection that nothing is at work on since before the given time, the longest such first, as
     * it may between requests.
     */
    private boolean evictIdle(double before) {
        for (Connection connection : new ArrayList<>(connections)) {
            // One that is closed stays here until its end is told: to count it again would make no room.
            if (connection.channel.isOpen()
                    && connection.since < before
                    && (connection.lingers() || connection.closeIfIdle())) {
                connection.channel.close();
                return true;
            }
        }
        return false;
    }

    /** Hears of a caller that could not be let in, and waits for the next sweep before it tries again. */
    private final class Acceptor extends ChannelInboundHandlerAdapter {

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.channel().config().setAutoRead(false);
            Log.warn(LOG, "caller-not-let-in")
                    .addKeyValue("cause", cause.toString())
                    .log("a caller could not be let in: {}", cause.toString());
        }
    }

    /** A request that is here whole, and since when, in ms. */
    private record Arrived(FullHttpRequest request, double at) {}

    /** One caller's connection: one request at a time, those sent ahead wait for their turn. */
    private final class Connection extends ChannelInboundHandlerAdapter implements Caller, Relay.Source, Relay.Sink {

        private final Channel channel;
        private final int number = sockets.next();
        /** Null until a watch wants to see it. */
        private Outlet outlet;

        private final Decoder decoder = new Decoder(this, dialect.terms().headerBytes());
        private final ArrayDeque<Arrived> ahead = new ArrayDeque<>();
        /** Those of them that are begun already, in the same order. */
        private final ArrayDeque<Early> early = new ArrayDeque<>(0);

        private int aheadBytes;
        /** The request that is coming in, and its body so far. */
        private HttpRequest head;

        private ByteBuf body;
        /** What came that is no request: said once what came before it is answered, and nothing after it. */
        private BadRequestException flaw;
        /** The body that is sent on while it comes; whether the rest of one is of no use. */
        private Relay coming;

        private boolean skipping;
        /** Whether a body broke off that was sent on, and its request may have run for all that. */
        private boolean doubtful;
        /** What is reserved for a long body that is kept; bytes that came since it last began to wait. */
        private int reserved;

        private long came;
        /** Bytes of the body that have been sent on, and since when it is not read. */
        private long sent;

        private double pausedAt;
        /** The answer that is passed on as it comes, and whether its end can be told from a break. */
        private Relay passed;

        private boolean framed;
        /** The request at work; the exchange is known once the node has it. */
        private HttpRequest current;

        private Exchange exchange;
        /** When it was here whole; whether it waits for news. */
        private double cameAt;

        private boolean isPutOff;
        /** The answer that is being written. */
        private Answer pendingAnswer;

        private String txn;
        /** The version under which it came, once it is read. */
        private Version version;
        /** When it came, had its last answer, or began the request that is coming in. */
        private double since = core.now();

        private boolean served;
        private boolean advancing;
        /** Answers that are not yet written out. */
        private int unsent;

        private boolean closing;
        private int drained;
        /** Whether the last sweep found it held up though it could go on; the next one wakes it. */
        private boolean held;

        Connection(Channel channel) {
            this.channel = channel;
        }

        boolean isIdle() {
            return current == null && ahead.isEmpty() && flaw == null && !decoder.amid && unsent == 0 && !closing;
        }

        /** Whether it has had its last answer. */
        boolean lingers() {
            return closing && unsent == 0 && passed == null;
        }

        /** Closes it if it is idle: a request that lies unread in the kernel would be lost with it. */
        boolean closeIfIdle() {
            if (isIdle()) {
                sockets.readNow(channel);
                if (isIdle()) {
                    channel.close();
                }
            }
            return !channel.isOpen();
        }

        void sweep(double now) {
            double age = now - since;
            if (closing || unsent > 0 || passed != null) {
                if (age > WRITE_MS) {
                    channel.close();
                } else if (passed != null && passed.isPaused() && channel.isWritable()) {
                    wake();
                } else {
                    held = false;
                }
            } else if (decoder.amid) {
                // One that is not read from now is not to blame.
                if ((current == null || coming != null)
                        && channel.config().isAutoRead()
                        && age
                                > dialect.terms().requestMs()
                                        + came / dialect.terms().bytesPerMs()) {
                    tooSlow();
                }
            } else if (age
                    > (served ? dialect.terms().idleMs() : dialect.terms().firstRequestTimeoutMs())) {
                closeIfIdle();
            }
        }

        /**
         * Whatever may have kept it from going on: what its caller can take is not held back. But the wake-up may be on
         * its way in this very turn, so the first sweep that sees it waits for the next.
         */
        private void wake() {
            if (held) {
                woken++;
                trace(TraceEvent.WOKEN, 0);
                passed.setWritable(true);
            }
            held = !held;
        }

        private void trace(TraceEvent event, long value) {
            sockets.tracer().note(event, number, 0, value);
        }

        void passages(Consumer<Passage> each) {
            if (passed != null) {
                each.accept(passed);
            } else if (unsent > 0) {
                each.accept(outlet());
            }
            if (coming != null && coming.isTaken()) {
                each.accept(coming);
            }
        }

        @Override
        public Outlet outlet() {
            if (outlet == null) {
                outlet = new Outlet(channel, number, sockets);
            }
            return outlet;
        }

        @Override
        public void readNow() {
            sockets.readNow(channel);
        }

        private void tooSlow() {
            if (skipping) {
                // Its answer has been said.
                channel.close();
                return;
            }
            spoil(new BadRequestException(HttpResponseStatus.REQUEST_TIMEOUT, "too slow"));
            advance();
        }

        /** The rest of a body that is sent on won't come, or won't be read. */
        private void breakOff() {
            if (coming != null) {
                Relay half = coming;
                coming = null;
                doubtful = exchange != null && exchange.mayHaveRun();
                // Known to the module before it hears what becomes of the attempt.
                abandon();
                half.broke();
            }
        }

        /** The first byte of a message has come. */
        void begins() {
            if (served && current == null) {
                since = core.now();
                came = 0;
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            sockets.count(channel);
            connections.add(this);
            trace(TraceEvent.CALLER_OPENED, 0);
            if (!sockets.roomForCaller(since)) {
                // Failing to accept for want of a descriptor would stop Netty from trying for a second.
                listening.config().setAutoRead(false);
            }
            ctx.fireChannelActive();
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            try {
                if (message instanceof ByteBuf bytes) {
                    drained += bytes.readableBytes();
                    if (drained > LINGER_BYTES) {
                        // Whoever sends without end must not keep the loop busy.
                        channel.config().setAutoRead(false);
                    }
                } else if (!closing && flaw == null) {
                    take(message);
                }
            } catch (BadRequestException e) {
                spoil(e);
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void take(Object message) throws BadRequestException {
            if (skipping) {
                if (message instanceof LastHttpContent || !(message instanceof HttpContent)) {
                    skipping = false;
                    since = core.now();
                }
                if (message instanceof HttpContent) {
                    return;
                }
            }
            if (message instanceof HttpRequest begun) {
                RequestCheck.head(begun, dialect.terms().bodyBytes());
                head = begun;
                body = Unpooled.EMPTY_BUFFER;
                // One that waits behind another will send its body without being asked.
                if (HttpUtil.is100ContinueExpected(begun) && current == null && ahead.isEmpty()) {
                    channel.writeAndFlush(new DefaultFullHttpResponse(
                                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER))
                            .addListener(this::wrote);
                }
            }
            if (message instanceof HttpContent content && head != null) {
                if (!content.decoderResult().isSuccess()) {
                    throw new BadRequestException("malformed HTTP");
                }
                if (coming == null && !append(content.content())) {
                    sendOn();
                }
                if (coming != null) {
                    passOn(content);
                } else if (content instanceof LastHttpContent && head != null) {
                    complete();
                }
                if (content instanceof LastHttpContent) {
                    skipping = false;
                }
            }
        }

        /** Keeps a part of a body, unless the body is too long to be kept. */
        private boolean append(ByteBuf part) {
            FrontTerms terms = dialect.terms();
            int size = body.readableBytes() + part.readableBytes();
            if (size > UpstreamClient.MAX_BODY
                    && reserved == 0
                    && size <= terms.keptBytes()
                    && HttpUtil.getContentLength(head, 0L) <= terms.keptBytes()
                    && kept + terms.keptBytes() <= terms.keptInAll()) {
                reserved = terms.keptBytes();
                kept += reserved;
                trace(TraceEvent.KEPT, kept);
            }
            if (size > (reserved > 0 ? reserved : UpstreamClient.MAX_BODY)) {
                return false;
            }
            if (part.isReadable()) {
                if (body == Unpooled.EMPTY_BUFFER) {
                    body = memory.buffer(part.readableBytes(), Math.max(terms.keptBytes(), UpstreamClient.MAX_BODY));
                }
                body.writeBytes(part);
            }
            return true;
        }

        /** Begins the request before it is whole: its body goes on as it comes. */
        private void sendOn() throws BadRequestException {
            if (current != null || !ahead.isEmpty()) {
                // Nobody who sends ahead needs to send so much.
                throw RequestCheck.tooLarge();
            }
            HttpRequest begun = head;
            Relay relay = new Relay(this);
            coming = relay;
            current = begun;
            sent = body.readableBytes();
            relay.add(body);
            body.release();
            body = Unpooled.EMPTY_BUFFER;
            try {
                begin(begun, true, new Passing(begun, HttpUtil.getContentLength(begun, -1L), relay));
            } catch (BadRequestException e) {
                coming = null;
                current = null;
                relay.abandon();
                throw e;
            }
        }

        private void passOn(HttpContent content) throws BadRequestException {
            sent += content.content().readableBytes();
            if (sent > dialect.terms().bodyBytes()) {
                throw RequestCheck.tooLarge();
            }
            coming.add(content.content());
            if (coming != null && content instanceof LastHttpContent) {
                Relay complete = coming;
                coming = null;
                head = null;
                body = null;
                complete.end();
                if (exchange != null) {
                    core.ended(exchange);
                }
            }
        }

        @Override
        public void read(boolean on) {
            double now = core.now();
            if (on && !channel.config().isAutoRead()) {
                // What its caller was not let do is not counted as slowness.
                since += now - pausedAt;
            } else if (!on && channel.config().isAutoRead()) {
                pausedAt = now;
            }
            if (on != channel.config().isAutoRead()) {
                trace(on ? TraceEvent.RESUMED : TraceEvent.PAUSED, 0);
            }
            channel.config().setAutoRead(on);
        }

        /** The rest of the body is of no use: it is read and dropped, so that its caller hears the answer. */
        @Override
        public void giveUp() {
            coming = null;
            skipping = true;
            dropPart();
            since = core.now();
            came = 0;
            channel.config().setAutoRead(true);
            if (exchange != null) {
                core.ended(exchange);
            }
        }

        private void complete() throws BadRequestException {
            aheadBytes += body.readableBytes();
            ahead.addLast(new Arrived(
                    new DefaultFullHttpRequest(
                            head.protocolVersion(),
                            head.method(),
                            head.uri(),
                            body,
                            head.headers(),
                            EmptyHttpHeaders.INSTANCE),
                    core.now()));
            head = null;
            body = null;
            if (ahead.size() > MAX_AHEAD) {
                // None of them is answered, the one at work neither: it could take its whole time.
                dropAhead();
                abandon();
                throw new BadRequestException("too many requests sent ahead");
            }
            if (current != null && aheadBytes > MAX_AHEAD_BYTES) {
                channel.config().setAutoRead(false);
            }
        }

        /** Begins what came only now: of a crowd sent at once, none is to be served. */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (coming != null) {
                coming.flush();
            }
            advance();
            ctx.fireChannelReadComplete();
        }

        /** Nothing after this is read; a body that was sent on meanwhile won't be whole. */
        private void spoil(BadRequestException why) {
            breakOff();
            flaw = why;
            dropPart();
            if (current != null) {
                channel.config().setAutoRead(false);
            }
        }

        /** Goes on to what is next, as long as nothing is at work. */
        private void advance() {
            if (advancing) {
                return;
            }
            advancing = true;
            try {
                while (current == null && !closing && (flaw != null || !ahead.isEmpty())) {
                    Arrived next = ahead.pollFirst();
                    if (next == null) {
                        reject(flaw);
                    } else {
                        aheadBytes -= next.request().content().readableBytes();
                        if (early.isEmpty() || early.peekFirst().request != next.request()) {
                            handle(next);
                        } else {
                            takeTurn(early.pollFirst());
                        }
                    }
                }
                beginEarly();
            } finally {
                advancing = false;
            }
            if (aheadBytes <= MAX_AHEAD_BYTES && flaw == null && !closing && coming == null) {
                channel.config().setAutoRead(true);
            }
        }

        private void takeTurn(Early begun) {
            current = begun.request;
            version = begun.version;
            exchange = begun.exchange();
            begun.turns(this::answer);
        }

        /** Begins what waits for its turn and may be repeated, as far as nothing before it is not begun. */
        private void beginEarly() {
            if (!dialect.terms().concurrent()
                    || current == null
                    || closing
                    || flaw != null
                    || early.size() == ahead.size()) {
                return;
            }
            int place = 0;
            for (Arrived next : new ArrayList<>(ahead)) {
                if (place++ < early.size()) {
                    continue;
                }
                if (early.size() >= MAX_EARLY || dialect.isHealth(next.request()) || !beginEarly(next)) {
                    return;
                }
            }
        }

        private boolean beginEarly(Arrived arrived) {
            FullHttpRequest next = arrived.request();
            if (!dialect.isRepeatable(next)) {
                return false;
            }
            Checked checked;
            try {
                checked = dialect.read(next, next.content().isReadable(), arrived.at(), core.now());
            } catch (BadRequestException e) {
                // It is looked at again in its turn.
                return false;
            }
            Early begun = new Early(next, checked.version());
            early.addLast(begun);
            next.retain();
            begun.begun(core.request(checked.version(), checked.arrival(), new HttpPayload(next), begun));
            return true;
        }

        private void handle(Arrived arrived) {
            current = arrived.request();
            cameAt = arrived.at();
            begin(arrived.request());
        }

        private void begin(FullHttpRequest request) {
            if (dialect.isHealth(request)) {
                write(HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER, 0);
                return;
            }
            try {
                begin(request, request.content().isReadable(), new HttpPayload(request));
            } catch (BadRequestException e) {
                boolean mayWait = isPutOff || putOff < MOST_PUT_OFF;
                BadRequestException refusal = dialect.refusal(e, mayWait, cameAt, core.now());
                if (refusal == null) {
                    putOff(request);
                } else {
                    settles();
                    reject(refusal);
                }
            }
        }

        /** Reads it again a little later; it is bounded how many wait so. */
        private void putOff(FullHttpRequest request) {
            if (!isPutOff) {
                isPutOff = true;
                putOff++;
            }
            loop.schedule(
                    () -> {
                        if (current == request && exchange == null && channel.isOpen()) {
                            begin(request);
                        }
                    },
                    PUT_OFF_MS,
                    TimeUnit.MILLISECONDS);
        }

        /** What is at work waits for news no more. */
        private void settles() {
            if (isPutOff) {
                isPutOff = false;
                putOff--;
            }
        }

        /** Hands a request to core, whole or with its body still coming. */
        private void begin(HttpRequest request, boolean hasBody, Payload payload) throws BadRequestException {
            Checked checked = dialect.read(request, hasBody, coming == null ? cameAt : core.now(), core.now());
            settles();
            if (!checked.name().isEmpty()) {
                takeName(checked.name());
            }
            version = checked.version();
            ReferenceCountUtil.retain(request);
            trace(TraceEvent.REQUEST, 0);
            Arrival arrival = checked.arrival();
            Exchange begun = coming == null
                    ? core.request(version, arrival, payload, this)
                    : core.requestComing(version, arrival, payload, this);
            // The answer may have come already, and with it the next request.
            if (begun.isOpen()) {
                exchange = begun;
            }
        }

        private void takeName(String name) throws BadRequestException {
            Connection first = open.get(name);
            if (first != null) {
                // Its client may have left, and sent the request again here.
                sockets.readNow(first.channel);
            }
            if (open.containsKey(name)) {
                throw new BadRequestException(HttpResponseStatus.CONFLICT, "X-Txn is at work");
            }
            txn = name;
            open.put(txn, this);
        }

        /** An error is the last answer: what else comes from there may be no better. */
        private void reject(BadRequestException why) {
            if (why.isLast() || why == flaw) {
                closing = true;
                dropAhead();
            }
            if (doubtful) {
                // Its status must not promise that nothing has run.
                pendingAnswer = new Answer(Answer.Kind.FAILED, Payload.NONE, 0);
                write(dialect.status(pendingAnswer), Unpooled.EMPTY_BUFFER, 0);
                return;
            }
            write(
                    why.status(),
                    Unpooled.copiedBuffer(why.getMessage() + "\n", StandardCharsets.UTF_8),
                    why.retryAfter());
        }

        @Override
        public void answer(Answer answer) {
            if (answer.payload() instanceof Passing passing) {
                pass(passing, answer);
                return;
            }
            pendingAnswer = answer;
            write(dialect.status(answer), dialect.content(answer).retain(), answer.retryAfter());
        }

        @Override
        public String name() {
            return txn == null ? "" : txn;
        }

        /** Writes an answer and goes on to the next request; takes the content over. */
        private void write(HttpResponseStatus status, ByteBuf content, double retryAfter) {
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
            response.headers().set("Content-Length", content.readableBytes());
            if (retryAfter > 0) {
                response.headers().set("Retry-After", UpstreamClient.seconds(Math.ceil(retryAfter)));
            }
            setHeaders(response, pendingAnswer);
            pendingAnswer = null;
            writeLast(response);
        }

        private void setHeaders(HttpResponse response, Answer answer) {
            dialect.dress(response, answer, version, current);
            boolean wantsMore = current != null && HttpUtil.isKeepAlive(current);
            // What has come whole already was taken, and is still answered here.
            closing |= !wantsMore || draining && ahead.isEmpty() && !decoder.amid;
            if (closing) {
                response.headers().set("Connection", "close");
            }
        }

        /** Begins an answer whose body passes through. */
        private void pass(Passing passing, Answer answer) {
            HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, dialect.status(answer));
            framed = true;
            if (passing.length() >= 0) {
                response.headers().set("Content-Length", passing.length());
            } else if (current.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
                framed = false;
                closing = true;
            } else {
                response.headers().set("Transfer-Encoding", "chunked");
            }
            setHeaders(response, answer);
            exchange = null;
            since = core.now();
            passed = passing.body();
            channel.write(response).addListener(this::wrote);
            passed.attach(this);
        }

        @Override
        public void part(ByteBuf part) {
            channel.write(new DefaultHttpContent(part)).addListener(written -> {
                since = core.now();
                wrote(written);
            });
            if (!channel.isWritable()) {
                channel.flush();
            }
            if (passed != null) {
                passed.setWritable(channel.isWritable());
            }
        }

        @Override
        public void flush() {
            channel.flush();
        }

        @Override
        public void end() {
            passed = null;
            writeLast(LastHttpContent.EMPTY_LAST_CONTENT);
        }

        /**
         * A part has been written, or could not be: for want of memory to encode it, say. The connection stays open
         * then, and its caller would wait for the rest of its answer, or take what follows for that.
         */
        private void wrote(Future<? super Void> written) {
            if (!written.isSuccess() && channel.isOpen()) {
                endUnmistakably();
            }
        }

        /** The caller must be able to tell that its answer is not whole. */
        @Override
        public void broke() {
            passed = null;
            endUnmistakably();
        }

        private void endUnmistakably() {
            if (!framed) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
            }
            channel.close();
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            trace(channel.isWritable() ? TraceEvent.WRITABLE : TraceEvent.FULL, Outlet.unwritten(channel));
            if (passed != null) {
                passed.setWritable(channel.isWritable());
            }
            ctx.fireChannelWritabilityChanged();
        }

        private void writeLast(Object last) {
            finish();
            served = true;
            since = core.now();
            came = 0;
            // The longest idle come first.
            connections.remove(this);
            connections.add(this);
            unsent++;
            channel.writeAndFlush(last).addListener(written -> {
                unsent--;
                trace(TraceEvent.WRITTEN, written.isSuccess() ? 1 : 0);
                wrote(written);
                // An answer ahead of it may be written out only now, while the last one passes through.
                if (lingers() && written.isSuccess()) {
                    linger();
                }
            });
            if (closing) {
                dropAhead();
            } else {
                advance();
            }
            // A caller that rests now may give way to one that waits to be let in.
            resume();
        }

        /** Nothing is at work any more. */
        private void finish() {
            settles();
            if (txn != null) {
                open.remove(txn);
                txn = null;
            }
            if (current != null) {
                ReferenceCountUtil.release(current);
                current = null;
            }
            kept -= reserved;
            reserved = 0;
            exchange = null;
            version = null;
        }

        private void abandon() {
            Exchange left = exchange;
            finish();
            if (left != null) {
                core.clientGone(left);
            }
        }

        private void dropPart() {
            if (body != null) {
                body.release();
            }
            if (current == null) {
                kept -= reserved;
                reserved = 0;
            }
            body = null;
            head = null;
        }

        private void dropAhead() {
            early.forEach(begun -> begun.drop(core));
            early.clear();
            ahead.forEach(arrived -> arrived.request().release());
            ahead.clear();
            aheadBytes = 0;
        }

        /**
         * Ends the sending, and closes once the caller has done so too or has had its time: to close on bytes that are
         * still coming in would reset the connection and could take the answer with it.
         */
        private void linger() {
            if (!channel.isActive()) {
                return;
            }
            ((DuplexChannel) channel).shutdownOutput();
            if (channel.pipeline().context(decoder) != null) {
                // What still comes is not looked at.
                channel.pipeline().remove(decoder);
                channel.config().setAutoRead(true);
                loop.schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(this);
            trace(TraceEvent.CALLER_CLOSED, 0);
            resume();
            dropAhead();
            dropPart();
            breakOff();
            abandon();
            if (passed != null) {
                Relay rest = passed;
                passed = null;
                rest.abandon();
            }
            kept -= reserved;
            reserved = 0;
            ctx.fireChannelInactive();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                Log.warn(LOG, "caller-failed")
                        .addKeyValue("connection", number)
                        .addKeyValue("cause", cause.toString())
                        .log("a caller's connection failed: {}", cause.toString());
            }
            // The decoder goes on with what it holds: a request that has lost a part must not look whole.
            closing = true;
            breakOff();
            dropPart();
            ctx.close();
        }
    }

    /** Knows, beside its work, whether a request has come in part. */
    private static final class Decoder extends RequestCheck.Decoder {

        private final Connection connection;
        /** Whether bytes have come since the last whole request. */
        private boolean amid;

        Decoder(Connection connection, int headerBytes) {
            super(headerBytes);
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
            if (!amid) {
                amid = true;
                connection.begins();
            }
            connection.came += ((ByteBuf) bytes).readableBytes();
            super.channelRead(ctx, bytes);
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
            super.decode(ctx, in, out);
            if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
                amid = in.isReadable();
            }
        }
    }
}

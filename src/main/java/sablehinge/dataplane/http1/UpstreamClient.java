package sablehinge.dataplane.http1;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import jdk.net.ExtendedSocketOptions;
import sablehinge.common.eventloop.Clock;
import sablehinge.dataplane.budget.AttemptBudgets;
import sablehinge.dataplane.budget.Budget;
import sablehinge.dataplane.budget.HeaderText;
import sablehinge.dataplane.proxy.AttemptResult;
import sablehinge.dataplane.proxy.AttemptState;
import sablehinge.dataplane.proxy.AttemptState.Event;
import sablehinge.dataplane.proxy.Payload;
import sablehinge.dataplane.proxy.Roster;
import sablehinge.dataplane.proxy.Roster.Member;
import sablehinge.dataplane.proxy.TraceEvent;
import sablehinge.dataplane.proxy.Transport;
import sablehinge.dataplane.proxy.Version;
import sablehinge.policy.LoadBalancer.Result;
import sablehinge.policy.LoadBalancer.Settings;
import sablehinge.policy.LoadBalancer.State;

/**
 * Carries attempts and probes to upstreams, one at a time on a connection, and reports how each ended. It sends nothing
 * twice: what breaks is an outcome.
 */
public final class UpstreamClient implements Transport {

    /** Up to so many bytes an answer's body is passed on whole, and so can be tried again. */
    static final int MAX_BODY = 64 * 1024;
    /** Bodies and answers are 32 MB long at most; what is said to have more is spoilt. */
    static final int MAX_PASSING = 36 * 1024 * 1024;
    /** The most bytes that are handed on in one part. */
    static final int PART = 32 * 1024;
    /** The part of an upstream's idle limit after which a connection is closed from this side. */
    private static final double IDLE_SHARE = 0.7;

    private static final long SWEEP_MS = 1_000;
    private static final int MILLI = 3;
    private static final double NANOS_PER_MS = 1e6;
    /** The headers of budgets, down and up. */
    static final String BUDGET = "Sablehinge-Budget";

    static final String SPENT = "Sablehinge-Spent";
    /** How each answer begins. */
    private static final byte[] BEGINNING = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
    /** The head of an answer that has begun must be whole after so many times its longest standstill. */
    private static final int MOST_STALLS = 5;
    /** One that is being passed on already can't be tried again, and may rest for so many checks. */
    private static final int MOST_RESTS = 16;

    private static final long LOOK_MS = 1_000;
    /** Most answers of the kind 1xx that may come ahead of one. */
    private static final int MOST_AHEAD = 16;

    private final EventLoop loop;
    private final Clock clock;
    private final Sockets sockets;
    private final Bootstrap bootstrap;
    private final Map<Long, Target> targets = new HashMap<>();
    /** Of the version under which requests arrive. */
    private Settings settings;

    private Freshness freshness;
    private final UpstreamDialect dialect;

    /** A transport to the platform's upstreams. */
    public UpstreamClient(EventLoop loop, Clock clock, Sockets sockets, ByteBufAllocator memory) {
        this(loop, clock, sockets, memory, new PlatformUpstream());
    }

    /** A transport on the given loop, whose connections count among the given sockets. */
    public UpstreamClient(
            EventLoop loop, Clock clock, Sockets sockets, ByteBufAllocator memory, UpstreamDialect dialect) {
        this.dialect = dialect;
        this.loop = loop;
        this.clock = clock;
        this.sockets = sockets;
        bootstrap = new Bootstrap()
                .group(loop)
                .channelFactory(sockets.kind().connecting())
                .option(ChannelOption.ALLOCATOR, memory)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        Connection connection = new Connection(channel);
                        channel.pipeline().addLast(connection.decoder, new HttpRequestEncoder(), connection);
                    }
                });
        if (dialect.terms().wary()) {
            bootstrap
                    .option(ChannelOption.SO_KEEPALIVE, true)
                    .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), 1)
                    .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), 1)
                    .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), 2);
        }
        sockets.upstreamsGiveWay(this::evictIdle);
        loop.scheduleAtFixedRate(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    /** Switches on the headers of budgets. */
    public void budgets(HeaderText text) {
        dialect.budgets(text);
    }

    /** An upstream, its idle connections, the longest idle first, and when it last was told to be ready. */
    private static final class Target {
        Member member;
        /** When this balancer was told that it wants nothing new; NaN while it does. */
        double drainingSince = Double.NaN;
        /** Whether it is on the list no more. */
        boolean gone;

        final ArrayDeque<Connection> idle = new ArrayDeque<>();
        /** What waits for a connection to it, and so has not been sent. */
        final Set<Attempt> waiting = new HashSet<>();

        void closeIdle() {
            // Closing may call back and take the connection out of the queue.
            for (Connection c = idle.pollFirst(); c != null; c = idle.pollFirst()) {
                c.channel.close();
            }
        }
    }

    @Override
    public void adopt(Version version) {
        Settings before = settings;
        settings = version.settings();
        if (before == null
                || before.limits().connectionIdle() != settings.limits().connectionIdle()) {
            trustYoung(dialect.terms().youngMs());
        }
    }

    /** Takes in a list; what an upstream that left or drains still holds idle is of no more use. */
    @Override
    public void update(Roster roster) {
        double now = clock.now();
        Map<Long, Target> left = new HashMap<>(roster.full() ? targets : Map.of());
        for (Member member : roster.members()) {
            left.remove(member.upstream().id());
            if (member.upstream().state() == State.REMOVED) {
                remove(targets.get(member.upstream().id()), now);
                continue;
            }
            Target target = targets.computeIfAbsent(member.upstream().id(), id -> new Target());
            Member before = target.member;
            if (before != null
                    && (before.upstream().startedAt() != member.upstream().startedAt()
                            || !before.address().equals(member.address()))) {
                target.closeIdle();
            }
            target.member = member;
            target.gone = false;
            if (member.upstream().state() == State.READY) {
                target.drainingSince = Double.NaN;
            } else {
                tellOff(target, now);
            }
        }
        left.values().forEach(target -> remove(target, now));
    }

    private void remove(Target target, double now) {
        tellOff(target, now);
        if (target != null) {
            target.gone = true;
        }
    }

    private void tellOff(Target target, double now) {
        if (target != null && Double.isNaN(target.drainingSince)) {
            target.drainingSince = now;
            target.closeIdle();
            if (dialect.terms().wary()) {
                // It may be gone without a word: what has not been sent goes elsewhere once the module knows.
                loop.execute(() -> List.copyOf(target.waiting).forEach(attempt -> attempt.giveUp(Event.NO_CONNECTION)));
            }
        }
    }

    @Override
    public Transport.Attempt send(
            Version version,
            long upstream,
            Payload request,
            double until,
            AttemptBudgets.Grant grant,
            Progress progress) {
        Passing passing = request instanceof Passing one ? one : null;
        HttpRequest message = (HttpRequest) (passing == null ? ((HttpPayload) request).message() : passing.head());
        Attempt attempt = new Attempt(
                version.settings(),
                message,
                passing,
                grant,
                until,
                (result, payload) -> progress.ended(result(version.settings(), result, payload)));
        attempt.progress = progress;
        attempt.start(targets.get(upstream));
        return attempt;
    }

    private AttemptResult result(Settings settings, Result result, Payload payload) {
        if (payload == Payload.NONE) {
            return AttemptResult.without(result);
        }
        HttpMessage head = Payloads.head(payload);
        boolean notified = result == Result.OK || result == Result.ERROR && dialect.keeps(head);
        return new AttemptResult(
                result, notified ? payload : Payload.NONE, dialect.report(head, settings), dialect.spent(head));
    }

    /** Asks an upstream how it does; the answer's body holds its load report if the site has any. */
    @Override
    public void probe(Version version, long upstream, double until, Consumer<AttemptResult> end) {
        List<String> fields = version.settings().reportFields();
        FullHttpRequest question = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.GET, fields.isEmpty() ? "/ping" : "/_load", Unpooled.EMPTY_BUFFER);
        new Attempt(
                        version.settings(),
                        question,
                        null,
                        null,
                        until,
                        (result, payload) -> end.accept(new AttemptResult(
                                result,
                                Payload.NONE,
                                result != Result.OK || !(payload instanceof HttpPayload complete)
                                        ? null
                                        : LoadReport.parse(
                                                complete.message().content().toString(StandardCharsets.UTF_8),
                                                fields))))
                .start(targets.get(upstream));
    }

    @Override
    public void closeIdle(long upstream) {
        Target target = targets.get(upstream);
        if (target != null) {
            target.closeIdle();
        }
    }

    private long nanosUntil(double at) {
        return (long) Math.ceil(Math.max(0, at - clock.now()) * NANOS_PER_MS);
    }

    private void sweep() {
        freshness.recover();
        sweep(clock.now());
    }

    /** Closes what has been idle for long and forgets upstreams that left; the time is now. */
    void sweep(double now) {
        double oldest = now - IDLE_SHARE * settings.limits().connectionIdle();
        for (Target target : targets.values()) {
            while (!target.idle.isEmpty() && target.idle.peekFirst().idleSince < oldest) {
                target.idle.pollFirst().channel.close();
            }
        }
        // Whoever left long ago and holds nothing need not be remembered.
        double grace = settings.rules().drainGrace();
        targets.values().removeIf(t -> t.gone && t.drainingSince < now - 2 * grace && t.idle.isEmpty());
    }

    /** Tells whether a connection to an address comes up within so many ms, and closes it. */
    public void reach(InetSocketAddress address, int connectTimeoutMs, Consumer<Boolean> end) {
        if (!sockets.roomForUpstream(clock.now())) {
            end.accept(false);
            return;
        }
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Math.max(1, connectTimeoutMs));
        ChannelFuture connect = bootstrap.connect(address);
        sockets.count(connect.channel());
        connect.addListener(up -> {
            connect.channel().close();
            end.accept(up.isSuccess());
        });
    }

    /** How many upstreams it remembers. */
    int remembered() {
        return targets.size();
    }

    /** For how long a connection that rests is young; for tests. */
    void trustYoung(double millis) {
        freshness = new Freshness(IDLE_SHARE * settings.limits().connectionIdle(), millis);
    }

    /** Has the kernel hold no more than so many bytes unsent; for tests. */
    void sendBuffer(int bytes) {
        bootstrap.option(ChannelOption.SO_SNDBUF, bytes);
    }

    /** Closes the connection that has been idle for longest; false if there is none. */
    private boolean evictIdle() {
        Target longest = null;
        for (Target target : targets.values()) {
            if (!target.idle.isEmpty()
                    && (longest == null || target.idle.peekFirst().idleSince < longest.idle.peekFirst().idleSince)) {
                longest = target;
            }
        }
        if (longest != null) {
            longest.idle.pollFirst().channel.close();
        }
        return longest != null;
    }

    /** One request on its way to one upstream. */
    private final class Attempt implements Transport.Attempt, Relay.Sink {

        private final Settings terms;
        private final HttpRequest request;
        /** The body where it passes through; null where it is whole. */
        private final Passing passing;

        private final AttemptBudgets.Grant grant;
        private final BiConsumer<Result, Payload> end;
        /** Null for a probe, of which nobody hears before its end. */
        private Progress progress;

        private double until;
        private Future<?> expiry;
        private Target target;
        private Channel channel;
        private Connection connection;
        /** How far it has come, which decides what its end says. */
        private AttemptState state = AttemptState.UNSENT;
        /** The write of its last byte; null before that. */
        private ChannelFuture lastWrite;

        private boolean over;
        private Budget budget;
        /** When a part of its body was last written. */
        private double movedAt;
        /** When it was written, and how long its connection had rested by then; NaN for a new one. */
        private double begunAt;

        private double rested = Double.NaN;

        /** {@code end} is called once; the response is not to be kept. */
        private Attempt(
                Settings terms,
                HttpRequest request,
                Passing passing,
                AttemptBudgets.Grant grant,
                double until,
                BiConsumer<Result, Payload> end) {
            this.terms = terms;
            this.request = request;
            this.passing = passing;
            this.grant = grant;
            this.until = until;
            this.end = end;
            if (!comes()) {
                waitUntil(until);
            }
        }

        /** Whether the end of the request has not come yet, before which its time doesn't count. */
        private boolean comes() {
            return passing != null && !passing.body().hasEnded();
        }

        @Override
        public void waitUntil(double given) {
            if (!over && expiry == null) {
                until = given;
                expiry = loop.schedule(this::expire, nanosUntil(until), TimeUnit.NANOSECONDS);
            }
        }

        private void start(Target to) {
            target = to;
            if (to == null) {
                end(state.ends(Event.NO_CONNECTION), Payload.NONE);
                return;
            }
            Connection idle = takeIdle(to, resendable());
            if (idle != null) {
                idle.trace(TraceEvent.REUSED, to.member.upstream().id());
                begin(idle);
            } else if (!sockets.roomForUpstream(clock.now())) {
                // A shortage here says nothing of the upstream.
                end(state.ends(Event.NO_ROOM), Payload.NONE);
            } else {
                int connectTimeoutMs = (int) Math.max(1, terms.limits().connectTimeout());
                bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs);
                ChannelFuture connect = bootstrap.connect(to.member.address());
                if (connect.cause() instanceof ChannelException) {
                    // There is no socket, for want of a descriptor.
                    end(state.ends(Event.NO_ROOM), Payload.NONE);
                    return;
                }
                channel = connect.channel();
                sockets.count(channel);
                Connection made = channel.pipeline().get(Connection.class);
                if (made != null) {
                    made.trace(TraceEvent.CONNECTING, to.member.upstream().id());
                }
                to.waiting.add(this);
                connect.addListener(up -> {
                    to.waiting.remove(this);
                    if (over) {
                        channel.close();
                    } else if (up.isSuccess()) {
                        channel.pipeline().get(Connection.class).trace(TraceEvent.CONNECTED, 0);
                        begin(channel.pipeline().get(Connection.class));
                    } else {
                        end(state.ends(Event.NO_CONNECTION), Payload.NONE);
                    }
                });
            }
        }

        /** Writes the request, unless it has waited too long for its connection. */
        private void begin(Connection on) {
            connection = on;
            channel = on.channel;
            double now = clock.now();
            begunAt = now;
            rested = now - connection.idleSince;
            // NaN compares false: a ready upstream takes anything.
            boolean drained = now >= target.drainingSince + terms.rules().drainGrace();
            budget = grant == null ? null : grant.budget(now);
            boolean dead = grant != null && budget == null;
            if (drained
                    || dead
                    || now >= until && !comes()
                    || passing != null && passing.body().isTaken()) {
                connection.park(target);
                end(state.ends(Event.NO_CONNECTION), Payload.NONE);
                return;
            }
            connection.carry(this);
            state = state.partSent();
            if (passing != null) {
                HttpRequest copy = new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri());
                setHeaders(copy, now);
                if (passing.length() >= 0) {
                    copy.headers().set("Content-Length", passing.length());
                } else {
                    copy.headers().set("Transfer-Encoding", "chunked");
                }
                channel.write(copy).addListener(this::wrotePart);
                if (!over) {
                    movedAt = now;
                    loop.schedule(this::look, LOOK_MS, TimeUnit.MILLISECONDS);
                    passing.body().attach(this);
                }
                return;
            }
            ByteBuf content = ((FullHttpRequest) request).content();
            FullHttpRequest copy = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, request.method(), request.uri(), content.retainedDuplicate());
            setHeaders(copy, now);
            if (content.isReadable() || copy.method().equals(HttpMethod.POST)) {
                copy.headers().set("Content-Length", content.readableBytes());
            }
            write(copy);
        }

        private void setHeaders(HttpRequest copy, double now) {
            dialect.dress(copy, request, target.member, until - now, budget);
        }

        /** Writes the last of the request. */
        private void write(Object last) {
            lastWrite = channel.writeAndFlush(last);
            lastWrite.addListener(write -> {
                connection.trace(TraceEvent.SENT, write.isSuccess() ? 1 : 0);
                if (!write.isSuccess()) {
                    broke(Event.WRITE_FAILED);
                }
            });
        }

        /**
         * How far it has come by now. The write itself is asked, as its listeners may be told a turn later: Netty puts
         * them off once they are nested deeply, and a reset could come first.
         */
        private AttemptState reached() {
            if (lastWrite != null && lastWrite.isSuccess()) {
                state = state.fullySent();
            }
            return state;
        }

        private void answerBegins() {
            state = reached().answerBegins();
        }

        @Override
        public boolean mayHaveRun() {
            return reached().mayHaveRun();
        }

        /** What can't be written, for want of memory say, leaves a gap: the request will never be whole. */
        private void wrotePart(io.netty.util.concurrent.Future<? super Void> write) {
            movedAt = clock.now();
            if (!write.isSuccess()) {
                broke(Event.WRITE_FAILED);
            }
        }

        /**
         * While a body comes its request has no deadline, and its caller is not read while the upstream takes nothing:
         * without this, one that never reads again would hold both for good.
         */
        private void look() {
            if (over || isComplete()) {
                return;
            }
            if (!channel.isWritable() && clock.now() - movedAt > dialect.terms().stuckMs()) {
                broke(Event.WRITE_FAILED);
            } else {
                loop.schedule(this::look, LOOK_MS, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void part(ByteBuf part) {
            channel.write(new DefaultHttpContent(part)).addListener(this::wrotePart);
            if (!channel.isWritable()) {
                channel.flush();
            }
            passing.body().setWritable(channel.isWritable());
        }

        @Override
        public void flush() {
            channel.flush();
        }

        @Override
        public Outlet outlet() {
            return new Outlet(channel, connection.number, sockets);
        }

        @Override
        public void end() {
            write(LastHttpContent.EMPTY_LAST_CONTENT);
        }

        /** The caller has left its request half, and the upstream must not take it for whole. */
        @Override
        public void broke() {
            cancel();
        }

        /** Whether the system has taken all of the request. */
        private boolean isComplete() {
            AttemptState now = reached();
            return now == AttemptState.SENT || now == AttemptState.ANSWERING;
        }

        /** Whether the module may ever send this again once it may have run. */
        private boolean resendable() {
            return dialect.resendable(request);
        }

        /** The connection is of no more use: what was not written whole can't have run. */
        private void broke(Event event) {
            if (!over && !Double.isNaN(rested) && clock.now() - begunAt < Freshness.AT_ONCE_MS) {
                freshness.broke(rested);
            }
            giveUp(event);
        }

        private void connectionEnded() {
            if (dialect.terms().wary()) {
                // Its process or its machine may be another one by now, which knows nothing of the others.
                target.closeIdle();
            }
            broke(Event.CONNECTION_ENDED);
        }

        private void expire() {
            giveUp(Event.DEADLINE);
        }

        /** Stops waiting, and lets the upstream know by closing the connection. */
        @Override
        public void cancel() {
            giveUp(Event.CANCELLED);
        }

        /**
         * Ends the attempt with its connection. That is closed first: what the module sends in answer to the outcome
         * would otherwise overtake it, and be a second copy.
         */
        private void giveUp(Event event) {
            if (!over) {
                over = true;
                if (channel != null) {
                    channel.close();
                }
                finish(reached().ends(event), Payload.NONE);
            }
        }

        /** The head of an answer has come, and not yet all of its body. */
        private void begun() {
            if (!over && progress != null && !comes()) {
                double latest = progress.begun();
                if (!over && expiry != null) {
                    expiry.cancel(false);
                    until = latest;
                    expiry = loop.schedule(this::expire, nanosUntil(until), TimeUnit.NANOSECONDS);
                }
            }
        }

        /** An answer, with its body or with the beginning of that. */
        private void answered(HttpResponse head, Payload payload) {
            end(
                    reached()
                            .ends(
                                    switch (dialect.judge(head)) {
                                        case OK -> Event.SERVED_ANSWER;
                                        case FULL -> Event.REFUSED_ANSWER;
                                        default -> Event.FAILED_ANSWER;
                                    }),
                    payload);
        }

        private void end(Result result, Payload payload) {
            if (!over) {
                over = true;
                finish(result, payload);
            }
        }

        private void finish(Result result, Payload payload) {
            if (expiry != null) {
                expiry.cancel(false);
            }
            // A body of which a part was written can't be sent again: its caller need not send the rest.
            if (passing != null && passing.body().isTaken()) {
                passing.body().abandon();
            }
            end.accept(result, payload);
        }
    }

    private Connection takeIdle(Target target, boolean resendable) {
        for (Connection c = target.idle.pollLast(); c != null; c = target.idle.pollLast()) {
            if (!freshness.trusts(clock.now() - c.idleSince, resendable)) {
                // The others have rested for longer; one goes for the new one, so that they don't pile up.
                target.idle.addLast(c);
                target.idle.pollFirst().channel.close();
                return null;
            }
            // The upstream may have closed it, and what is written to it then would count as run.
            sockets.readNow(c.channel);
            if (c.channel.isActive()) {
                return c;
            }
        }
        return null;
    }

    /** Whole ms as a decimal number of seconds. */
    static String seconds(double millis) {
        return BigDecimal.valueOf((long) millis, MILLI).toPlainString();
    }

    /**
     * Looks at the bytes ahead of the decoder. That keeps part of a line unseen, so bytes that no request waits for
     * could lie there and be taken for the start of the next answer.
     */
    private static final class Decoder extends HttpResponseDecoder {

        private final Connection connection;
        /** How much of the beginning of an answer has come. */
        private int matched;

        Decoder(Connection connection) {
            super(new HttpDecoderConfig().setMaxChunkSize(PART));
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
            if (connection.carried == null && connection.relay == null || !begins((ByteBuf) message)) {
                ReferenceCountUtil.release(message);
                connection.spoilt();
                return;
            }
            connection.bytesCame();
            super.channelRead(ctx, message);
        }

        /** Whether this may be part of an answer: noise without a line's end would else wait for more. */
        private boolean begins(ByteBuf bytes) {
            int at = bytes.readerIndex();
            while (matched < BEGINNING.length && at < bytes.writerIndex()) {
                if (bytes.getByte(at++) != BEGINNING[matched++]) {
                    return false;
                }
            }
            return true;
        }

        /** Whether bytes have come that belong to no message so far. */
        boolean holdsMore() {
            return actualReadableBytes() > 0;
        }

        /** Netty would take a line of words without a colon for a header with no value. */
        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            if (line[start + length] != ':') {
                throw new IllegalArgumentException("a header without a colon");
            }
            return super.splitHeaderName(line, start, length);
        }

        /** Netty would drop the length of a message that has both framings, and go on. */
        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("both framings");
        }
    }

    /** A connection to an upstream; it belongs to one attempt at a time. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> implements Relay.Source {

        final Channel channel;
        final int number = sockets.next();
        final Decoder decoder = new Decoder(this);
        /** When it was last given back; NaN while it is new. */
        double idleSince = Double.NaN;

        private Attempt carried;
        private Target home;
        /** Whether an answer has come in part, and more since the last check; the checks so far. */
        private boolean amid;

        private boolean moved;
        private int checks;
        private int informational;
        private Future<?> check;
        /** The answer that is coming: its head, its body so far, and the body once it passes through. */
        private HttpResponse head;

        private ByteBuf body = Unpooled.EMPTY_BUFFER;
        private Relay relay;
        private long passed;
        private boolean reset;
        /** Whether it was told that the answer has begun. */
        private boolean notified;

        Connection(Channel channel) {
            this.channel = channel;
        }

        void trace(TraceEvent event, long value) {
            sockets.tracer().note(event, number, 0, value);
        }

        void carry(Attempt attempt) {
            carried = attempt;
            home = attempt.target;
            decoder.matched = 0;
            notified = false;
            informational = 0;
            checks = 0;
        }

        /** Keeps the connection for the next attempt. */
        void park(Target target) {
            carried = null;
            home = target;
            if (!Double.isNaN(target.drainingSince)) {
                channel.close();
                return;
            }
            idleSince = clock.now();
            target.idle.addLast(this);
        }

        /** What came is no answer: the attempt may have run, and the connection is of no further use. */
        void spoilt() {
            Attempt attempt = carried;
            carried = null;
            channel.close();
            if (attempt != null) {
                attempt.giveUp(Event.MALFORMED_ANSWER);
            }
            breakOff();
        }

        /** Who is passed the answer on to must be able to tell that it is not whole. */
        private void breakOff() {
            if (relay != null) {
                Relay broken = relay;
                relay = null;
                broken.broke();
            }
        }

        @Override
        public void read(boolean on) {
            if (on != channel.config().isAutoRead()) {
                trace(on ? TraceEvent.RESUMED : TraceEvent.PAUSED, 0);
            }
            channel.config().setAutoRead(on);
        }

        @Override
        public void readNow() {
            sockets.readNow(channel);
        }

        @Override
        public void giveUp() {
            relay = null;
            channel.close();
        }

        void bytesCame() {
            if (!amid) {
                trace(TraceEvent.FIRST_BYTE, 0);
            }
            amid = true;
            moved = true;
            if (carried != null) {
                carried.answerBegins();
            }
        }

        /** An answer that has begun and stands still will not be whole in time. */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (carried != null
                    && head != null
                    && !notified
                    && dialect.passable(head)
                    && dialect.answers(carried.request, head)) {
                notified = true;
                carried.begun();
            }
            if (amid && (carried != null || relay != null) && check == null) {
                moved = false;
                check = loop.schedule(this::checkProgress, dialect.terms().stallMs(), TimeUnit.MILLISECONDS);
            }
            if (relay != null) {
                relay.flush();
            }
            ctx.fireChannelReadComplete();
        }

        private void checkProgress() {
            check = null;
            if (moved || relay != null && !channel.config().isAutoRead()) {
                // Its body may take its time as long as it comes, its head may not.
                checks = head == null && relay == null ? checks + 1 : 0;
            } else {
                checks += relay == null ? MOST_STALLS : 1;
            }
            if (checks >= (relay == null ? MOST_STALLS : MOST_RESTS)) {
                spoilt();
            } else {
                moved = false;
                check = loop.schedule(this::checkProgress, dialect.terms().stallMs(), TimeUnit.MILLISECONDS);
            }
        }

        /** The message is whole, and with it what had come of it. */
        private void endMessage() {
            trace(TraceEvent.LAST_BYTE, 0);
            amid = decoder.holdsMore();
            // What is there already is not looked at again: it is read as the next message.
            decoder.matched = amid ? BEGINNING.length : 0;
            if (check != null) {
                check.cancel(false);
                check = null;
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (!message.decoderResult().isSuccess()) {
                // Where it is the end of the connection that cuts it off, that end tells the attempt.
                if (channel.isActive()) {
                    spoilt();
                }
                return;
            }
            if (message instanceof HttpResponse begun) {
                head = begun;
                if (HttpUtil.getContentLength(begun, 0L) > MAX_PASSING) {
                    spoilt();
                    return;
                }
            }
            if (message instanceof HttpContent content && head != null) {
                if (relay == null) {
                    gather(content.content());
                }
                if (relay != null) {
                    pass(content);
                } else if (content instanceof LastHttpContent && head != null) {
                    complete();
                }
            }
        }

        /** Keeps a short answer, so that all or nothing of it is passed on; begins to pass on a long one. */
        private void gather(ByteBuf part) {
            boolean fits = body.readableBytes() + part.readableBytes() <= MAX_BODY;
            if (fits && HttpUtil.getContentLength(head, 0L) <= MAX_BODY) {
                if (part.isReadable()) {
                    if (body == Unpooled.EMPTY_BUFFER) {
                        body = channel.alloc().buffer(part.readableBytes(), MAX_BODY);
                    }
                    body.writeBytes(part);
                }
            } else if (part.isReadable()) {
                beginToPass();
            }
        }

        private void beginToPass() {
            Attempt attempt = carried;
            if (attempt == null
                    || attempt.over
                    || !attempt.isComplete()
                    || !channel.isActive()
                    || !dialect.passable(head)
                    || !dialect.answers(attempt.request, head)) {
                spoilt();
                return;
            }
            carried = null;
            relay = new Relay(this);
            passed = 0;
            checks = 0;
            Relay begun = relay;
            passOn(body);
            attempt.answered(head, new Passing(head, HttpUtil.getContentLength(head, -1L), begun));
            if (!begun.isTaken()) {
                // Its caller has left.
                begun.abandon();
            }
        }

        private void passOn(ByteBuf part) {
            passed += part.readableBytes();
            relay.add(part);
            dropBody();
        }

        private void pass(HttpContent content) {
            if (passed + content.content().readableBytes() > MAX_PASSING) {
                spoilt();
                return;
            }
            passOn(content.content());
            if (relay == null || !(content instanceof LastHttpContent)) {
                return;
            }
            endMessage();
            if (!channel.isActive() && !endsWithConnection()) {
                breakOff();
                return;
            }
            Relay done = relay;
            relay = null;
            boolean keep = channel.isActive() && HttpUtil.isKeepAlive(head) && !decoder.holdsMore();
            head = null;
            done.end();
            channel.config().setAutoRead(true);
            if (keep) {
                park(home);
            } else {
                channel.close();
            }
        }

        /** Whether the end of the connection is the end of the answer: a process that dies resets it. */
        private boolean endsWithConnection() {
            return !reset
                    && !HttpUtil.isKeepAlive(head)
                    && !HttpUtil.isTransferEncodingChunked(head)
                    && !HttpUtil.isContentLengthSet(head);
        }

        private void dropBody() {
            ByteBuf dropped = body;
            body = Unpooled.EMPTY_BUFFER;
            dropped.release();
        }

        private void complete() {
            HttpResponse answer = head;
            FullHttpResponse response = new DefaultFullHttpResponse(
                    answer.protocolVersion(), answer.status(), body, answer.headers(), EmptyHttpHeaders.INSTANCE);
            body = Unpooled.EMPTY_BUFFER;
            boolean delimited = endsWithConnection();
            head = null;
            try {
                complete(response, delimited);
            } finally {
                response.release();
            }
        }

        private void complete(FullHttpResponse response, boolean delimited) {
            endMessage();
            if (carried != null && !channel.isActive() && !delimited) {
                // What the end of the connection completes is no answer: a crash would look like that too.
                carried.connectionEnded();
                return;
            }
            if (carried == null) {
                spoilt();
                return;
            }
            if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                if (response.status().code() == 101 || ++informational > MOST_AHEAD) {
                    spoilt();
                }
                return;
            }
            if (!dialect.isNamed(response)) {
                // It may be anybody's, and what is waited for may still be at work there.
                spoilt();
                return;
            }
            if (!dialect.answers(carried.request, response)) {
                // A surplus answer in the place of the next: what is waited for may still come behind it.
                if (++informational > MOST_AHEAD || !HttpUtil.isKeepAlive(response)) {
                    spoilt();
                }
                return;
            }
            Attempt attempt = carried;
            carried = null;
            boolean keep =
                    !attempt.over && attempt.isComplete() && HttpUtil.isKeepAlive(response) && !decoder.holdsMore();
            attempt.answered(response, new HttpPayload(response));
            // Only now: the module's next send must not read from a connection that is being read.
            if (keep && channel.isActive()) {
                park(home);
            } else {
                channel.close();
            }
        }

        /** The upstream sets the pace of a body that passes through. */
        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            trace(channel.isWritable() ? TraceEvent.WRITABLE : TraceEvent.FULL, Outlet.unwritten(channel));
            if (carried != null && carried.passing != null) {
                carried.passing.body().setWritable(channel.isWritable());
            }
            ctx.fireChannelWritabilityChanged();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (check != null) {
                check.cancel(false);
            }
            trace(TraceEvent.UPSTREAM_CLOSED, 0);
            if (home != null) {
                home.idle.remove(this);
            }
            if (carried != null) {
                carried.connectionEnded();
            }
            breakOff();
            dropBody();
            ctx.fireChannelInactive();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof IOException) {
                // The end of the channel tells the attempt.
                reset = true;
                channel.close();
            } else {
                // An answer that is too large or no HTTP: the upstream has had the request.
                spoilt();
            }
        }
    }
}

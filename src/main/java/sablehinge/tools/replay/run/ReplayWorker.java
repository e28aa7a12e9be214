package sablehinge.tools.replay.run;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import sablehinge.tools.audit.EvidenceStamps;
import sablehinge.tools.audit.judge.AuditRules.Effect;
import sablehinge.tools.audit.judge.Evidence.Echo;
import sablehinge.tools.audit.judge.Evidence.End;
import sablehinge.tools.audit.judge.Evidence.Tried;
import sablehinge.tools.audit.judge.Evidence.Unasked;
import sablehinge.tools.replay.run.RequestCounts.Outcome;
import sablehinge.tools.replay.schedule.ReplayClient;

/**
 * Sends requests when they are due, whatever becomes of those before: an answer's lateness never delays the next
 * request, and latency counts from when a request was due (Tene, How not to measure latency, 2015: no coordinated
 * omission). One event loop owns a lane with all its clients and connections.
 */
final class ReplayWorker {

    /** Requests that wait for their time at most. */
    static final int MAX_AHEAD = 20_000;

    private static final int CONNECT_MS = 1_000;
    /** How long after a try's time is up its connection stays, so that an answer that is late is seen. */
    private static final double LINGER_MS = 150;
    /** An idle connection is left alone after so long: balancers close theirs about then. */
    private static final long IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private static final double NANOS = 1e6;
    private static final int ECHO = 160;

    private final EventLoop loop;
    private final List<Target> targets;
    /** Open to one balancer at most: one that is stuck must not use up those to the others. */
    private final int mostConnections;

    private final ReplayClient.Terms clients;
    private final SplittableRandom random;
    private final String name;
    private final LoadRecord record;
    private final ArrayBlockingQueue<Planned> ahead = new ArrayBlockingQueue<>(MAX_AHEAD);
    private final RequestCounts counts = new RequestCounts();
    private final long start;
    private final long mix;
    private long drawn;
    private int turn;
    private int outstanding;
    private boolean stopped;

    /** A balancer, and the connections to it that wait for a request. */
    static final class Target {
        final String name;
        final InetSocketAddress address;
        final ArrayDeque<Connection> idle = new ArrayDeque<>();
        final ArrayDeque<Try> waiting = new ArrayDeque<>();
        int open;

        Target(InetSocketAddress address, String name) {
            this.address = address;
            this.name = name;
        }
    }

    /** A request over all its tries. */
    private static final class CompleteResponse {
        final Planned planned;
        final ReplayClient client;
        final String key;
        String first;

        CompleteResponse(Planned planned, ReplayClient client, String key) {
            this.planned = planned;
            this.client = client;
            this.key = key;
        }
    }

    /** One try. */
    private static final class Try {
        final CompleteResponse complete;
        final String txn;
        final Target target;
        final double timeout;
        long sentAt;
        double until;
        double answered = Double.NaN;
        int status;
        double retryAfter;
        Echo echo = Echo.UNKNOWN;
        boolean begun;
        /** Whether it has come out for its client; its connection may still wait for a late answer. */
        boolean over;

        boolean sentAgain;
        boolean noted;
        ScheduledFuture<?> expiry;
        Connection connection;

        Try(CompleteResponse complete, String txn, Target target, double timeout) {
            this.complete = complete;
            this.txn = txn;
            this.target = target;
            this.timeout = timeout;
        }
    }

    /** Who takes what clients saw. */
    interface LoadRecord {

        void tried(Tried tried);

        void unasked(Unasked unasked);
    }

    ReplayWorker(
            EventLoop loop,
            String name,
            List<Target> targets,
            int mostConnections,
            ReplayClient.Terms clients,
            long seed,
            long start,
            LoadRecord record) {
        this.loop = loop;
        this.name = name;
        this.targets = targets;
        this.mostConnections = Math.max(1, mostConnections / targets.size());
        this.clients = clients;
        this.start = start;
        this.record = record;
        random = new SplittableRandom(seed);
        mix = random.nextLong();
        loop.scheduleAtFixedRate(this::sendDue, 1, 1, TimeUnit.MILLISECONDS);
    }

    /** Adds a request that is due later; waits while too many do. Whether it was taken in the given time. */
    boolean add(Planned planned, long millis) throws InterruptedException {
        return ahead.offer(planned, millis, TimeUnit.MILLISECONDS);
    }

    EventLoop loop() {
        return loop;
    }

    /** Its counts; to be read on the loop. */
    RequestCounts counts() {
        return counts;
    }

    /** Whether all that was added has come out; to be called on the loop. */
    boolean isDone() {
        // Who waited for a place when it was stopped adds its request after that, and it is never sent.
        return (stopped || ahead.isEmpty()) && outstanding == 0;
    }

    /** Sends nothing more; to be called on the loop. */
    void stop() {
        stopped = true;
        ahead.clear();
    }

    private double sinceStart(long nanos) {
        return (nanos - start) / NANOS;
    }

    private void sendDue() {
        long now = System.nanoTime();
        for (Planned next = ahead.peek(); next != null && next.due() - now <= 0 && !stopped; next = ahead.peek()) {
            ahead.poll();
            begin(next, now);
            now = System.nanoTime();
        }
    }

    private void begin(Planned planned, long now) {
        counts.requested(sinceStart(planned.due()), (now - planned.due()) / NANOS);
        ReplayClient client = new ReplayClient(
                clients,
                planned.plan().repeat(),
                planned.deadline(),
                planned.plan().terms().window(),
                random);
        boolean keyed = planned.plan().terms().effect() == Effect.KEYED;
        outstanding++;
        attempt(new CompleteResponse(planned, client, keyed ? id() + id() : ""), now);
    }

    /** 16 hexadecimal digits, never twice: a bijection of a count (Steele et al., SplittableRandom, 2014). */
    private String id() {
        long z = ++drawn * 0x9e3779b97f4a7c15L + mix;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return HexFormat.of().toHexDigits(z ^ z >>> 31);
    }

    private void attempt(CompleteResponse complete, long now) {
        Target target = targets.get(turn++ % targets.size());
        Try one = new Try(complete, id(), target, complete.client.begin((now - complete.planned.due()) / NANOS));
        if (complete.first == null) {
            complete.first = one.txn;
        }
        counts.tries++;
        one.until = EvidenceStamps.at(now) + one.timeout;
        one.expiry = loop.schedule(() -> expire(one), (long) (one.timeout * NANOS), TimeUnit.NANOSECONDS);
        connect(one);
    }

    // ---- Connections -------------------------------------------------------------------------------

    private void connect(Try one) {
        Connection kept = one.target.idle.pollLast();
        while (kept != null && (!kept.channel.isActive() || System.nanoTime() - kept.since > IDLE_NANOS)) {
            kept.channel.close();
            kept = one.target.idle.pollLast();
        }
        if (kept != null) {
            kept.send(one);
        } else if (one.target.open < mostConnections) {
            openNew(one);
        } else {
            counts.waited++;
            one.target.waiting.add(one);
        }
    }

    private void openNew(Try one) {
        one.target.open++;
        counts.connections++;
        Connection connection = new Connection(one.target);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), connection);
                    }
                })
                .connect(one.target.address)
                .addListener((ChannelFuture up) -> {
                    connection.channel = up.channel();
                    if (!up.isSuccess()) {
                        closed(one.target);
                        comeOut(one, End.UNREACHABLE);
                    } else {
                        // Counted before anything is sent on it, so that each is given back once.
                        up.channel().closeFuture().addListener(end -> closed(one.target));
                        if (one.over) {
                            connection.rest();
                        } else {
                            connection.send(one);
                        }
                    }
                });
    }

    private void closed(Target target) {
        target.open--;
        Try next = target.waiting.poll();
        while (next != null && next.over) {
            next = target.waiting.poll();
        }
        if (next != null) {
            openNew(next);
        }
    }

    /** A connection: one request at a time. */
    private final class Connection extends ChannelInboundHandlerAdapter {

        private final Target target;
        private Channel channel;
        private Try current;
        private String before = "";
        private boolean used;
        private boolean keep;
        private int status;
        private final StringBuilder start = new StringBuilder(ECHO);
        private long since;

        Connection(Target target) {
            this.target = target;
        }

        void send(Try one) {
            current = one;
            one.connection = this;
            Planned planned = one.complete.planned;
            Effect effect = planned.plan().terms().effect();
            ByteBuf body = effect == Effect.SAFE
                    ? Unpooled.EMPTY_BUFFER
                    : Unpooled.wrappedBuffer(new byte[Math.max(0, planned.body())]);
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    effect == Effect.SAFE ? HttpMethod.GET : HttpMethod.POST,
                    planned.target(),
                    body);
            double left = Math.max(0, one.until - EvidenceStamps.now());
            request.headers()
                    .set("Host", "app.svc")
                    .set("X-Txn", one.txn)
                    .set("X-Lane", planned.serviceClass())
                    .set("X-Remaining", seconds(left));
            if (effect != Effect.SAFE) {
                request.headers().set("Content-Length", body.readableBytes());
            }
            if (effect == Effect.KEYED) {
                request.headers().set("Idempotency-Key", one.complete.key);
            }
            if (!planned.key().isEmpty()) {
                request.headers().set("Cookie", "key=" + Keys.number(planned.key()));
            }
            if (!planned.tenant().isEmpty()) {
                request.headers().set("X-Org", planned.tenant());
            }
            channel.writeAndFlush(request).addListener(written -> {
                if (written.isSuccess()) {
                    one.sentAt = System.nanoTime();
                } else {
                    channel.close();
                }
            });
        }

        /** Seconds to the tenth of a ms; formats take longer than all the rest of a request. */
        private String seconds(double millis) {
            long tenths = Math.round(millis * 10);
            return tenths / 10_000 + "."
                    + Long.toString(10_000 + tenths % 10_000).substring(1);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            try {
                if (current == null) {
                    record.unasked(new Unasked(EvidenceStamps.now(), name, target.name, before));
                    counts.unasked++;
                    ctx.close();
                    return;
                }
                if (message instanceof HttpResponse head) {
                    current.begun = true;
                    status = head.status().code();
                    keep = HttpUtil.isKeepAlive(head);
                    current.retryAfter = retryAfter(head.headers().get("Retry-After"));
                    start.setLength(0);
                }
                if (message instanceof HttpContent part) {
                    int count = Math.min(ECHO - start.length(), part.content().readableBytes());
                    start.append(
                            part.content().toString(part.content().readerIndex(), count, StandardCharsets.ISO_8859_1));
                    if (message instanceof LastHttpContent) {
                        if (part.decoderResult().isSuccess()) {
                            answered();
                        } else {
                            ctx.close();
                        }
                    }
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void answered() {
            Try one = current;
            one.answered = EvidenceStamps.now();
            one.status = status;
            one.echo = echo(start, one.txn);
            counts.wrongBodies += status == 200 && one.echo == Echo.OTHER ? 1 : 0;
            current = null;
            before = one.txn;
            used = true;
            if (keep && channel.isActive()) {
                rest();
            } else {
                channel.close();
            }
            comeOut(one, End.ANSWERED);
        }

        /** Waits for the next request, or takes the one that has waited longest. */
        void rest() {
            since = System.nanoTime();
            for (Try next = target.waiting.poll(); next != null; next = target.waiting.poll()) {
                if (!next.over) {
                    send(next);
                    return;
                }
            }
            target.idle.addLast(this);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            target.idle.remove(this);
            Try one = current;
            current = null;
            if (one == null) {
                return;
            }
            if (used && !one.begun && !one.sentAgain && !one.over) {
                // Its end crossed a request that it had not read, as may happen between requests.
                one.sentAgain = true;
                one.sentAt = 0;
                counts.again++;
                openNew(one);
                return;
            }
            comeOut(one, one.sentAt == 0 ? End.UNREACHABLE : one.begun ? End.PARTIAL : End.BROKEN);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** What a stand-in says in its first line: for which request it made this body. */
    private static Echo echo(CharSequence start, String txn) {
        String text = start.toString();
        return !text.startsWith("txn=") ? Echo.UNKNOWN : text.startsWith(txn + "\n", 4) ? Echo.SAME : Echo.OTHER;
    }

    private static double retryAfter(String text) {
        try {
            double seconds = text == null ? 0 : Double.parseDouble(text);
            return seconds > 0 && seconds < 86_400 ? seconds * 1_000 : 0;
        } catch (NumberFormatException e) {
            // A date, which no balancer of ours sends.
            return 0;
        }
    }

    // ---- What comes out ----------------------------------------------------------------------------

    /** The client's time for this try is up; its connection stays a little, so that a late answer is seen. */
    private void expire(Try one) {
        if (one.over) {
            return;
        }
        settle(one, ReplayClient.Outcome.FAILED, Outcome.UNANSWERED);
        if (one.connection == null || one.connection.current != one) {
            note(one, End.UNREACHABLE);
            return;
        }
        loop.schedule(
                () -> {
                    if (one.connection.current == one) {
                        one.connection.current = null;
                        note(one, End.SILENT);
                        one.connection.channel.close();
                    }
                },
                (long) LINGER_MS,
                TimeUnit.MILLISECONDS);
    }

    private void comeOut(Try one, End end) {
        note(one, end);
        if (one.over) {
            return;
        }
        one.expiry.cancel(false);
        switch (end) {
            case ANSWERED -> {
                if (one.status == 200) {
                    settle(one, ReplayClient.Outcome.SERVED, null);
                } else if (one.status == 429 || one.status == 503) {
                    settle(one, ReplayClient.Outcome.REFUSED, Outcome.REFUSED);
                } else {
                    settle(one, ReplayClient.Outcome.FAILED, Outcome.FAILED);
                }
            }
            case UNREACHABLE -> settle(one, ReplayClient.Outcome.UNREACHABLE, Outcome.UNREACHABLE);
            default -> settle(one, ReplayClient.Outcome.FAILED, Outcome.FAILED);
        }
    }

    private void note(Try one, End end) {
        if (one.noted) {
            return;
        }
        one.noted = true;
        Planned planned = one.complete.planned;
        record.tried(new Tried(
                EvidenceStamps.now(),
                name,
                one.target.name,
                one.txn,
                one.complete.first,
                planned.serviceClass(),
                one.complete.key,
                one.sentAt == 0 ? Double.NaN : EvidenceStamps.at(one.sentAt),
                one.until,
                one.answered,
                end,
                one.status,
                one.echo));
    }

    /** A try is over for its client: another one, or the request has come out. */
    private void settle(Try one, ReplayClient.Outcome outcome, Outcome counted) {
        one.over = true;
        CompleteResponse complete = one.complete;
        long now = System.nanoTime();
        double elapsed = (now - complete.planned.due()) / NANOS;
        double wait = stopped ? Double.NaN : complete.client.next(elapsed, outcome, one.retryAfter, random);
        if (!Double.isNaN(wait)) {
            loop.schedule(() -> attempt(complete, System.nanoTime()), (long) (wait * NANOS), TimeUnit.NANOSECONDS);
            return;
        }
        outstanding--;
        Outcome result = outcome != ReplayClient.Outcome.SERVED
                ? counted
                : elapsed <= complete.planned.plan().aim() ? Outcome.IN_TIME : Outcome.LATE;
        counts.ended(complete.planned.serviceClass(), sinceStart(now), result, elapsed);
    }
}

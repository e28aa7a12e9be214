package sablehinge.tools.replay.run;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import sablehinge.common.http.ResponseDecoder;
import sablehinge.tools.audit.EvidenceStamps;
import sablehinge.tools.audit.judge.AuditRules.Effect;
import sablehinge.tools.audit.judge.Evidence.ClientAttempt;
import sablehinge.tools.audit.judge.Evidence.DuplicateAnswer;
import sablehinge.tools.audit.judge.Evidence.Echo;
import sablehinge.tools.audit.judge.Evidence.End;
import sablehinge.tools.replay.run.RequestCounts.Outcome;
import sablehinge.tools.replay.schedule.ReplayClient;

/**
 * Sends requests when they are due, whatever becomes of those before: an answer's lateness never delays the next
 * request, and latency counts from when a request was due (Tene, How not to measure latency, 2015: no coordinated
 * omission). One event loop owns a lane with all its clients and connections.
 */
final class ReplayWorker implements ReplayConnection.Owner {

    /** Requests that wait for their time at most. */
    static final int MAX_AHEAD = 20_000;

    private static final int CONNECT_MS = 1_000;
    /** How long after a try's time is up its connection stays, so that an answer that is late is seen. */
    private static final double LINGER_MS = 150;
    /** An idle connection is left alone after so long: balancers close theirs about then. */
    private static final long IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private static final double NANOS = 1e6;

    private final EventLoop loop;
    private final List<ReplayTarget> targets;
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

    /** Who takes what clients saw. */
    interface LoadRecord {

        void tried(ClientAttempt tried);

        void unasked(DuplicateAnswer unasked);
    }

    ReplayWorker(
            EventLoop loop,
            String name,
            List<ReplayTarget> targets,
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
        attempt(new ReplayRequest(planned, client, keyed ? id() + id() : ""), now);
    }

    /** 16 hexadecimal digits, never twice: a bijection of a count (Steele et al., SplittableRandom, 2014). */
    private String id() {
        long z = ++drawn * 0x9e3779b97f4a7c15L + mix;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return HexFormat.of().toHexDigits(z ^ z >>> 31);
    }

    private void attempt(ReplayRequest request, long now) {
        ReplayTarget target = targets.get(turn++ % targets.size());
        ReplayAttempt one =
                new ReplayAttempt(request, id(), target, request.client.begin((now - request.planned.due()) / NANOS));
        if (request.first == null) {
            request.first = one.txn;
        }
        counts.tries++;
        one.until = EvidenceStamps.at(now) + one.timeout;
        one.expiry = loop.schedule(() -> expire(one), (long) (one.timeout * NANOS), TimeUnit.NANOSECONDS);
        connect(one);
    }

    // ---- Connections -------------------------------------------------------------------------------

    private void connect(ReplayAttempt one) {
        ReplayConnection kept = one.target.idle.pollLast();
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

    private void openNew(ReplayAttempt one) {
        one.target.open++;
        counts.connections++;
        ReplayConnection connection = new ReplayConnection(one.target, this);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpRequestEncoder(), new ResponseDecoder(), connection);
                    }
                })
                .connect(one.target.address)
                .addListener((ChannelFuture up) -> {
                    connection.channel = up.channel();
                    if (!up.isSuccess()) {
                        closed(one.target);
                        onEnded(one, End.UNREACHABLE);
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

    private void closed(ReplayTarget target) {
        target.open--;
        ReplayAttempt next = target.waiting.poll();
        while (next != null && next.over) {
            next = target.waiting.poll();
        }
        if (next != null) {
            openNew(next);
        }
    }

    // ---- What comes out ----------------------------------------------------------------------------

    /** The client's time for this try is up; its connection stays a little, so that a late answer is seen. */
    private void expire(ReplayAttempt one) {
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

    @Override
    public void onSendAgain(ReplayAttempt one) {
        counts.again++;
        openNew(one);
    }

    @Override
    public void onUnasked(ReplayTarget target, String before) {
        record.unasked(new DuplicateAnswer(EvidenceStamps.now(), name, target.name, before));
        counts.unasked++;
    }

    @Override
    public void onEnded(ReplayAttempt one, End end) {
        counts.wrongBodies += end == End.ANSWERED && one.status == 200 && one.echo == Echo.OTHER ? 1 : 0;
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

    private void note(ReplayAttempt one, End end) {
        if (one.noted) {
            return;
        }
        one.noted = true;
        Planned planned = one.request.planned;
        record.tried(new ClientAttempt(
                EvidenceStamps.now(),
                name,
                one.target.name,
                one.txn,
                one.request.first,
                planned.serviceClass(),
                one.request.key,
                one.sentAt == 0 ? Double.NaN : EvidenceStamps.at(one.sentAt),
                one.until,
                one.answered,
                end,
                one.status,
                one.echo));
    }

    /** A try is over for its client: another one, or the request has come out. */
    private void settle(ReplayAttempt one, ReplayClient.Outcome outcome, Outcome counted) {
        one.over = true;
        ReplayRequest request = one.request;
        long now = System.nanoTime();
        double elapsed = (now - request.planned.due()) / NANOS;
        double wait = stopped ? Double.NaN : request.client.next(elapsed, outcome, one.retryAfter, random);
        if (!Double.isNaN(wait)) {
            loop.schedule(() -> attempt(request, System.nanoTime()), (long) (wait * NANOS), TimeUnit.NANOSECONDS);
            return;
        }
        outstanding--;
        Outcome result = outcome != ReplayClient.Outcome.SERVED
                ? counted
                : elapsed <= request.planned.plan().aim() ? Outcome.IN_TIME : Outcome.LATE;
        counts.ended(request.planned.serviceClass(), sinceStart(now), result, elapsed);
    }
}

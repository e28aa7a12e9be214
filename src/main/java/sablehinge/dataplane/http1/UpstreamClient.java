package sablehinge.dataplane.http1;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sablehinge.common.eventloop.Clock;
import sablehinge.dataplane.budget.AttemptBudgets;
import sablehinge.dataplane.budget.HeaderText;
import sablehinge.dataplane.proxy.AttemptResult;
import sablehinge.dataplane.proxy.AttemptState.Event;
import sablehinge.dataplane.proxy.Payload;
import sablehinge.dataplane.proxy.Roster;
import sablehinge.dataplane.proxy.Roster.Member;
import sablehinge.dataplane.proxy.ShutdownDeadlines;
import sablehinge.dataplane.proxy.Transport;
import sablehinge.dataplane.proxy.Version;
import sablehinge.policy.LoadBalancer.Result;
import sablehinge.policy.LoadBalancer.Settings;
import sablehinge.policy.LoadBalancer.State;

/**
 * Sends attempts and health checks to upstreams, one at a time on a connection, and reports how each ended. It sends
 * nothing twice: what breaks is an outcome.
 */
public final class UpstreamClient implements Transport {

    /** Up to so many bytes an answer's body is kept until complete, and so can be retried. */
    static final int MAX_BODY = 64 * 1024;
    /** Bodies and answers are 32 MB long at most; one that announces more is malformed. */
    static final int MAX_PASSING = 36 * 1024 * 1024;
    /** The most bytes that are handed on in one part. */
    static final int PART = 32 * 1024;
    /** The part of an upstream's idle limit after which a connection is closed from this side. */
    private static final double IDLE_SHARE = 0.7;

    private static final long SWEEP_MS = 1_000;
    private static final int MILLI = 3;
    /** The headers of budgets, down and up. */
    static final String BUDGET = "Sablehinge-Budget";

    static final String SPENT = "Sablehinge-Spent";

    private final UpstreamContext context;
    private final Map<Long, UpstreamTarget> targets = new HashMap<>();
    /** Of the version under which requests arrive. */
    private Settings settings;

    /** A transport to the platform's upstreams. */
    public UpstreamClient(EventLoop loop, Clock clock, Sockets sockets, ByteBufAllocator memory) {
        this(loop, clock, sockets, memory, new PlatformUpstream());
    }

    /** A transport on the given loop, whose connections count among the given sockets. */
    public UpstreamClient(
            EventLoop loop, Clock clock, Sockets sockets, ByteBufAllocator memory, UpstreamDialect dialect) {
        context = new UpstreamContext(loop, clock, sockets, memory, dialect);
        sockets.upstreamsGiveWay(this::evictIdle);
        loop.scheduleAtFixedRate(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    /** Switches on the headers of budgets. */
    public void enableBudgets(HeaderText text) {
        context.dialect.enableBudgets(text);
    }

    /** When the last attempt began to be written, ms of the clock; NaN before the first one. */
    public double lastAttemptAt() {
        return context.lastAttemptAt;
    }

    @Override
    public void drain(ShutdownDeadlines deadlines) {
        context.startUntil = deadlines.startUntil();
    }

    @Override
    public void adopt(Version version) {
        Settings before = settings;
        settings = version.settings();
        if (before == null
                || before.limits().connectionIdle() != settings.limits().connectionIdle()) {
            trustYoung(context.dialect.terms().maxIdleForUnsafeMs());
        }
    }

    /** Takes in a list; what an upstream that left or drains still holds idle is of no more use. */
    @Override
    public void update(Roster roster) {
        double now = context.clock.now();
        Map<Long, UpstreamTarget> left = new HashMap<>(roster.full() ? targets : Map.of());
        for (Member member : roster.members()) {
            left.remove(member.upstream().id());
            if (member.upstream().state() == State.REMOVED) {
                remove(targets.get(member.upstream().id()), now);
                continue;
            }
            UpstreamTarget target = targets.computeIfAbsent(member.upstream().id(), id -> new UpstreamTarget());
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
                markDraining(target, now);
            }
        }
        left.values().forEach(target -> remove(target, now));
    }

    private void remove(UpstreamTarget target, double now) {
        markDraining(target, now);
        if (target != null) {
            target.gone = true;
        }
    }

    private void markDraining(UpstreamTarget target, double now) {
        if (target != null && Double.isNaN(target.drainingSince)) {
            target.drainingSince = now;
            target.closeIdle();
            if (context.dialect.terms().mayVanishSilently()) {
                // It may be gone without a word: what has not been sent goes elsewhere once the module knows.
                context.loop.execute(
                        () -> List.copyOf(target.waiting).forEach(attempt -> attempt.giveUp(Event.NO_CONNECTION)));
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
        RelayedPayload passing = request instanceof RelayedPayload one ? one : null;
        HttpRequest message = (HttpRequest) (passing == null ? ((HttpPayload) request).message() : passing.head());
        UpstreamAttempt attempt = new UpstreamAttempt(
                context,
                version.settings(),
                message,
                passing,
                grant,
                until,
                (result, payload) -> progress.finished(result(version.settings(), result, payload)));
        attempt.progress = progress;
        attempt.start(targets.get(upstream));
        return attempt;
    }

    private AttemptResult result(Settings settings, Result result, Payload payload) {
        if (payload == Payload.NONE) {
            return AttemptResult.without(result);
        }
        HttpMessage head = Payloads.head(payload);
        boolean notified = result == Result.OK || result == Result.ERROR && context.dialect.forwardsFailure(head);
        return new AttemptResult(
                result,
                notified ? payload : Payload.NONE,
                context.dialect.loadReport(head, settings),
                context.dialect.budgetReport(head));
    }

    /** Asks an upstream how it does; the answer's body holds its load report if the site has any. */
    @Override
    public void healthCheck(Version version, long upstream, double until, Consumer<AttemptResult> end) {
        List<String> fields = version.settings().reportFields();
        FullHttpRequest question = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.GET, fields.isEmpty() ? "/ping" : "/_load", Unpooled.EMPTY_BUFFER);
        new UpstreamAttempt(
                        context,
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
        UpstreamTarget target = targets.get(upstream);
        if (target != null) {
            target.closeIdle();
        }
    }

    private void sweep() {
        context.freshness.recover();
        sweep(context.clock.now());
    }

    /** Closes what has been idle for long and forgets upstreams that left; the time is now. */
    void sweep(double now) {
        double oldest = now - IDLE_SHARE * settings.limits().connectionIdle();
        for (UpstreamTarget target : targets.values()) {
            while (!target.idle.isEmpty() && target.idle.peekFirst().idleSince < oldest) {
                target.idle.pollFirst().channel.close();
            }
        }
        // Whoever left long ago and holds nothing need not be remembered.
        double grace = settings.rules().drainGrace();
        targets.values().removeIf(t -> t.gone && t.drainingSince < now - 2 * grace && t.idle.isEmpty());
    }

    /** Tells whether a connection to an address comes up within so many ms, and closes it. */
    public void checkReachable(InetSocketAddress address, int connectTimeoutMs, Consumer<Boolean> end) {
        if (!context.sockets.roomForUpstream(context.clock.now())) {
            end.accept(false);
            return;
        }
        context.bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Math.max(1, connectTimeoutMs));
        ChannelFuture connect = context.bootstrap.connect(address);
        context.sockets.count(connect.channel());
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
        context.freshness = new Freshness(IDLE_SHARE * settings.limits().connectionIdle(), millis);
    }

    /** Has the kernel hold no more than so many bytes unsent; for tests. */
    void sendBuffer(int bytes) {
        context.bootstrap.option(ChannelOption.SO_SNDBUF, bytes);
    }

    /** Closes the connection that has been idle for longest; false if there is none. */
    private boolean evictIdle() {
        UpstreamTarget longest = null;
        for (UpstreamTarget target : targets.values()) {
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

    /** Ms, without their fraction, as a decimal number of seconds. */
    static String seconds(double millis) {
        return BigDecimal.valueOf((long) millis, MILLI).toPlainString();
    }
}

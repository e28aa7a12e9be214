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
 * Sends attempts and health checks to upstreams, one at a time per connection, and reports the result of each. It never
 * retries; a broken connection is a result.
 */
public final class UpstreamClient implements Transport {

    /** Largest body of a response that is buffered until it is complete, and so can be retried, in bytes. */
    static final int MAX_BUFFERED_BODY_BYTES = 64 * 1024;
    /**
     * Largest relayed body in bytes. Bodies are at most 32 MB long; a response that announces more than this is
     * malformed.
     */
    static final int MAX_RELAYED_BYTES = 36 * 1024 * 1024;
    /** Largest part of a body that the decoders pass on, in bytes. */
    static final int MAX_PART_BYTES = 32 * 1024;
    /** Share of an upstream's idle timeout after which this side closes a connection. */
    private static final double MAX_IDLE_SHARE = 0.7;

    private static final long SWEEP_INTERVAL_MS = 1_000;
    private static final int MILLI_SCALE = 3;
    /** The header with a request's budget, and the response header with the report of its use. */
    static final String BUDGET_HEADER = "Sablehinge-Budget";

    static final String SPENT_HEADER = "Sablehinge-Spent";

    private final UpstreamContext context;
    private final Map<Long, UpstreamTarget> targets = new HashMap<>();
    /** The settings of the current version. */
    private Settings settings;

    /** Creates a transport to the platform's upstreams. */
    public UpstreamClient(EventLoop loop, Clock clock, Sockets sockets, ByteBufAllocator memory) {
        this(loop, clock, sockets, memory, new PlatformUpstream());
    }

    /** Creates a transport on the given event loop whose connections count towards the given sockets. */
    public UpstreamClient(
            EventLoop loop, Clock clock, Sockets sockets, ByteBufAllocator memory, UpstreamDialect dialect) {
        context = new UpstreamContext(loop, clock, sockets, memory, dialect);
        sockets.setUpstreamEviction(this::evictIdle);
        loop.scheduleAtFixedRate(this::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Enables the headers with budgets. */
    public void enableBudgets(HeaderText text) {
        context.dialect.enableBudgets(text);
    }

    /** When the last attempt began to be written, in ms of the clock; NaN before the first one. */
    public double lastAttemptAt() {
        return context.lastAttemptAt;
    }

    @Override
    public void drain(ShutdownDeadlines deadlines) {
        context.startUntil = deadlines.startUntil();
    }

    @Override
    public void adopt(Version version) {
        Settings previous = settings;
        settings = version.settings();
        if (previous == null
                || previous.limits().connectionIdle() != settings.limits().connectionIdle()) {
            setMaxIdleForUnsafe(context.dialect.terms().maxIdleForUnsafeMs());
        }
    }

    /** Applies a roster of upstreams, and closes the idle connections of those that left or drain. */
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
            Member previous = target.member;
            if (previous != null
                    && (previous.upstream().startedAt() != member.upstream().startedAt()
                            || !previous.address().equals(member.address()))) {
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
                // The upstream may have vanished without a sign: a request that was not sent can be sent to another
                // upstream once the load balancer is notified.
                context.loop.execute(
                        () -> List.copyOf(target.waiting).forEach(attempt -> attempt.abort(Event.NO_CONNECTION)));
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
        RelayedPayload relayedPayload = request instanceof RelayedPayload one ? one : null;
        HttpRequest message =
                (HttpRequest) (relayedPayload == null ? ((HttpPayload) request).message() : relayedPayload.head());
        UpstreamAttempt attempt = new UpstreamAttempt(
                context,
                version.settings(),
                message,
                relayedPayload,
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

    /** Sends a health check; the response body is the load report if the settings name report fields. */
    @Override
    public void healthCheck(Version version, long upstream, double until, Consumer<AttemptResult> end) {
        List<String> fields = version.settings().reportFields();
        FullHttpRequest healthRequest = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.GET, fields.isEmpty() ? "/ping" : "/_load", Unpooled.EMPTY_BUFFER);
        new UpstreamAttempt(
                        context,
                        version.settings(),
                        healthRequest,
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

    /** Closes connections that were idle for too long and forgets upstreams that left long ago. */
    void sweep(double now) {
        double oldest = now - MAX_IDLE_SHARE * settings.limits().connectionIdle();
        for (UpstreamTarget target : targets.values()) {
            while (!target.idle.isEmpty() && target.idle.peekFirst().idleSince < oldest) {
                target.idle.pollFirst().channel.close();
            }
        }
        // An upstream that left long ago and has no idle connections need not be remembered.
        double grace = settings.rules().drainGrace();
        targets.values().removeIf(t -> t.gone && t.drainingSince < now - 2 * grace && t.idle.isEmpty());
    }

    /** Reports whether a connection to an address can be established within the given ms, and closes it. */
    public void checkReachable(InetSocketAddress address, int connectTimeoutMs, Consumer<Boolean> end) {
        if (!context.sockets.hasRoomForUpstream(context.clock.now())) {
            end.accept(false);
            return;
        }
        context.bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Math.max(1, connectTimeoutMs));
        ChannelFuture connect = context.bootstrap.connect(address);
        context.sockets.count(connect.channel());
        connect.addListener(connected -> {
            connect.channel().close();
            end.accept(connected.isSuccess());
        });
    }

    /** The number of remembered upstreams. */
    int targetCount() {
        return targets.size();
    }

    /** Sets the longest idle time of a connection that may carry an unsafe request, ms; for tests. */
    void setMaxIdleForUnsafe(double millis) {
        context.freshness = new Freshness(MAX_IDLE_SHARE * settings.limits().connectionIdle(), millis);
    }

    /** Sets the size of the kernel's send buffer of new connections, in bytes; for tests. */
    void setSendBufferBytes(int bytes) {
        context.bootstrap.option(ChannelOption.SO_SNDBUF, bytes);
    }

    /** Closes the connection that has been idle for the longest time; false if there is none. */
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

    /** Formats a time in ms, without its fraction, as a decimal number of seconds. */
    static String seconds(double millis) {
        return BigDecimal.valueOf((long) millis, MILLI_SCALE).toPlainString();
    }
}

package sablehinge.dataplane.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import sablehinge.dataplane.budget.AttemptBudgets;
import sablehinge.dataplane.budget.Budget;
import sablehinge.dataplane.proxy.AttemptState;
import sablehinge.dataplane.proxy.AttemptState.Event;
import sablehinge.dataplane.proxy.Payload;
import sablehinge.dataplane.proxy.TraceEvent;
import sablehinge.dataplane.proxy.Transport;
import sablehinge.policy.LoadBalancer.Result;
import sablehinge.policy.LoadBalancer.Settings;

/** One attempt of a request at one upstream. */
final class UpstreamAttempt implements Transport.Attempt, Relay.Sink {

    private static final long BODY_CHECK_INTERVAL_MS = 1_000;

    private final UpstreamContext context;
    private final Settings settings;
    final HttpRequest request;
    /** The request with its relayed body; null if the body is complete. */
    final RelayedPayload relayedPayload;

    private final AttemptBudgets.Grant grant;
    private final BiConsumer<Result, Payload> onEnd;
    /** Null for a health check, which reports only its end. */
    Transport.Progress progress;

    private double deadline;
    private Future<?> expiry;
    UpstreamTarget target;
    private Channel channel;
    private UpstreamConnection connection;
    /** How far the attempt has progressed, which decides the result that its end is reported as. */
    private AttemptState state = AttemptState.UNSENT;
    /** Whether a part of a relayed body was written to the channel. */
    private boolean bodyStarted;
    /** The write of the request's last byte; null before that. */
    private ChannelFuture lastWrite;

    boolean ended;
    private Budget budget;
    /** When a part of the body was last written. */
    private double lastProgressAt;
    /** When the attempt was written, and how long its connection had been idle by then; NaN for a new connection. */
    private double startedAt;

    private double idleMs = Double.NaN;
    /** How long the upstream may read nothing of a body, ms. */
    private double stallTimeoutMs;

    /** {@code onEnd} is called once; it must not retain the response. */
    UpstreamAttempt(
            UpstreamContext context,
            Settings settings,
            HttpRequest request,
            RelayedPayload relayedPayload,
            AttemptBudgets.Grant grant,
            double deadline,
            BiConsumer<Result, Payload> onEnd) {
        this.context = context;
        this.settings = settings;
        this.request = request;
        this.relayedPayload = relayedPayload;
        this.grant = grant;
        this.deadline = deadline;
        this.onEnd = onEnd;
        if (!isBodyPending()) {
            waitUntil(deadline);
        }
    }

    /** Whether the request is still being received; its deadline does not apply before its end. */
    private boolean isBodyPending() {
        return relayedPayload != null && !relayedPayload.body().hasEnded();
    }

    @Override
    public void waitUntil(double newDeadline) {
        if (!ended && expiry == null) {
            deadline = newDeadline;
            expiry = context.loop.schedule(this::expire, context.nanosUntil(deadline), TimeUnit.NANOSECONDS);
        }
    }

    void start(UpstreamTarget newTarget) {
        target = newTarget;
        if (newTarget == null) {
            end(state.resultOf(Event.NO_CONNECTION), Payload.NONE);
            return;
        }
        UpstreamConnection idle = newTarget.takeIdle(context, requestId(), resendable());
        if (idle != null) {
            idle.trace(TraceEvent.REUSED, newTarget.member.upstream().id());
            begin(idle);
        } else if (!context.sockets.hasRoomForUpstream(context.clock.now())) {
            // A shortage of descriptors here is not a failure of the upstream.
            end(state.resultOf(Event.NO_ROOM), Payload.NONE);
        } else {
            int connectTimeoutMs = (int) Math.max(1, settings.limits().connectTimeout());
            context.bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs);
            ChannelFuture connect = context.bootstrap.connect(newTarget.member.address());
            if (connect.cause() instanceof ChannelException) {
                // The socket could not be opened for lack of a file descriptor.
                end(state.resultOf(Event.NO_ROOM), Payload.NONE);
                return;
            }
            channel = connect.channel();
            context.sockets.count(channel);
            UpstreamConnection newConnection = channel.pipeline().get(UpstreamConnection.class);
            if (newConnection != null) {
                newConnection.trace(
                        TraceEvent.CONNECTING, newTarget.member.upstream().id());
            }
            newTarget.waiting.add(this);
            connect.addListener(connected -> {
                newTarget.waiting.remove(this);
                if (ended) {
                    channel.close();
                } else if (connected.isSuccess()) {
                    channel.pipeline().get(UpstreamConnection.class).trace(TraceEvent.CONNECTED, 0);
                    begin(channel.pipeline().get(UpstreamConnection.class));
                } else {
                    end(state.resultOf(Event.NO_CONNECTION), Payload.NONE);
                }
            });
        }
    }

    /** Writes the request, unless it has waited too long for its connection. */
    private void begin(UpstreamConnection on) {
        connection = on;
        channel = on.channel;
        double now = context.clock.now();
        startedAt = now;
        idleMs = now - connection.idleSince;
        // NaN compares false: an upstream that is ready accepts any request.
        boolean drained = now >= target.drainingSince + settings.rules().drainGrace();
        budget = grant == null ? null : grant.budget(now);
        boolean budgetExpired = grant != null && budget == null;
        if (drained
                || budgetExpired
                || now >= context.startUntil
                || now >= deadline && !isBodyPending()
                || relayedPayload != null && relayedPayload.body().isTaken()) {
            connection.release(target);
            end(state.resultOf(Event.NO_CONNECTION), Payload.NONE);
            return;
        }
        connection.assign(this);
        state = state.partSent();
        if (progress != null) {
            context.lastAttemptAt = now;
        }
        if (relayedPayload != null) {
            HttpRequest copy = new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri());
            setHeaders(copy, now);
            if (relayedPayload.length() >= 0) {
                copy.headers().set("Content-Length", relayedPayload.length());
            } else {
                copy.headers().set("Transfer-Encoding", "chunked");
            }
            channel.write(copy).addListener(this::onPartWritten);
            if (!ended) {
                lastProgressAt = now;
                stallTimeoutMs = Math.min(context.dialect.terms().bodyStallTimeoutMs(), progress.requestTimeMs());
                scheduleProgressCheck(now);
                relayedPayload.body().attach(this);
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

    /** A part of the body was flushed, and no write has failed: the kernel has accepted its first bytes at least. */
    private void onBodyStarted() {
        if (context.dialect.terms().mayBeginEarly()) {
            state = state.bodyStarted();
        }
    }

    private void setHeaders(HttpRequest copy, double now) {
        context.dialect.setHeaders(copy, request, target.member, deadline - now, budget);
    }

    /** Writes the last part of the request. */
    private void write(Object last) {
        lastWrite = channel.writeAndFlush(last);
        if (!lastWrite.isDone()) {
            onBodyStarted();
        }
        lastWrite.addListener(write -> {
            connection.trace(TraceEvent.SENT, write.isSuccess() ? 1 : 0);
            if (!write.isSuccess()) {
                failConnection(Event.WRITE_FAILED);
            }
        });
    }

    /**
     * The present state of the attempt. It checks the write itself, as Netty postpones the listeners of a write when
     * they are nested deeply, and a connection reset could be handled first.
     */
    private AttemptState currentState() {
        if (lastWrite != null && lastWrite.isSuccess()) {
            state = state.fullySent();
        }
        return state;
    }

    void onAnswerBytes() {
        state = currentState().responseStarted();
    }

    @Override
    public boolean mayHaveRun() {
        return currentState().mayHaveRun();
    }

    /**
     * Handles the result of a write. If it failed, for lack of memory for example, the request has a gap and will never
     * be complete.
     */
    private void onPartWritten(io.netty.util.concurrent.Future<? super Void> write) {
        lastProgressAt = context.clock.now();
        if (!write.isSuccess()) {
            failConnection(Event.WRITE_FAILED);
        }
    }

    /**
     * While a body is received its request has no deadline, and the client is not read while the upstream reads
     * nothing. Without this check an upstream that never reads again would hold both permanently. The limit is that of
     * a request that was received completely.
     */
    private void checkBodyProgress() {
        if (ended || isComplete()) {
            return;
        }
        double now = context.clock.now();
        if (!channel.isWritable() && now - lastProgressAt >= stallTimeoutMs) {
            failConnection(Event.WRITE_FAILED);
        } else {
            scheduleProgressCheck(now);
        }
    }

    /**
     * Schedules the next check for when the time without progress would be over, or after the check interval if it is
     * over but the channel is writable.
     */
    private void scheduleProgressCheck(double now) {
        double remainingMs = lastProgressAt + stallTimeoutMs - now;
        double delayMs = remainingMs > 0 ? Math.min(remainingMs, BODY_CHECK_INTERVAL_MS) : BODY_CHECK_INTERVAL_MS;
        context.loop.schedule(this::checkBodyProgress, context.nanosUntil(now + delayMs), TimeUnit.NANOSECONDS);
    }

    @Override
    public void writePart(ByteBuf part) {
        if (channel.isWritable()) {
            // The upstream has read all earlier parts: it is not at fault if the client sends slowly.
            lastProgressAt = context.clock.now();
        }
        bodyStarted = true;
        channel.write(new DefaultHttpContent(part)).addListener(this::onPartWritten);
        if (!channel.isWritable()) {
            flush();
        }
        relayedPayload.body().setWritable(channel.isWritable());
    }

    @Override
    public void flush() {
        channel.flush();
        if (bodyStarted && !ended) {
            onBodyStarted();
        }
    }

    @Override
    public ChannelOutlet outlet() {
        return new ChannelOutlet(channel, connection.number, context.sockets);
    }

    @Override
    public void end() {
        write(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** The client left before its request was complete, and the upstream must not process it as complete. */
    @Override
    public void fail() {
        cancel();
    }

    /** Whether all of the request was handed to the kernel. */
    boolean isComplete() {
        AttemptState now = currentState();
        return now == AttemptState.SENT || now == AttemptState.ANSWERING;
    }

    /** The id by which responses name the request, or null. */
    String requestId() {
        return context.dialect.requestId(request);
    }

    /** Until when a response that has begun may be silent, in ms of the clock. */
    double responseDeadline() {
        return progress == null ? deadline : progress.requestDeadline();
    }

    /** How long after this attempt the request may be sent again at most, in ms; 0 for a health check. */
    double maxRetryMs() {
        return progress == null ? 0 : progress.requestTimeMs();
    }

    /** Whether the load balancer may retry the request after it may have run. */
    private boolean resendable() {
        return context.dialect.resendable(request);
    }

    /** Fails the attempt with its connection. A request of whose body nothing was written can't have run. */
    private void failConnection(Event event) {
        if (!ended && !Double.isNaN(idleMs) && context.clock.now() - startedAt < Freshness.IMMEDIATE_RESET_MS) {
            context.freshness.onReset(idleMs);
        }
        abort(event);
    }

    void connectionEnded() {
        if (context.dialect.terms().mayVanishSilently()) {
            // The upstream's process or machine may have been replaced by one that does not know the other connections.
            target.closeIdle();
        }
        failConnection(Event.CONNECTION_ENDED);
    }

    private void expire() {
        abort(Event.DEADLINE);
    }

    /** Cancels the attempt, and closes the connection to let the upstream know. */
    @Override
    public void cancel() {
        abort(Event.CANCELLED);
    }

    /**
     * Ends the attempt and closes its connection. The connection is closed first: otherwise a retry by the load
     * balancer could overtake the close and be a second copy of the request.
     */
    void abort(Event event) {
        if (!ended) {
            ended = true;
            if (channel != null) {
                channel.close();
            }
            finish(currentState().resultOf(event), Payload.NONE);
        }
    }

    /** The head of a response was received, and not yet all of its body. */
    void onResponseStart() {
        if (!ended && progress != null && !isBodyPending()) {
            double latest = progress.responseStarted();
            if (!ended && expiry != null) {
                expiry.cancel(false);
                deadline = latest;
                expiry = context.loop.schedule(this::expire, context.nanosUntil(deadline), TimeUnit.NANOSECONDS);
            }
        }
    }

    /** A response was received, with its body or the beginning of it. */
    void onResponse(HttpResponse head, Payload payload) {
        end(
                currentState()
                        .resultOf(
                                switch (context.dialect.judge(head)) {
                                    case OK -> Event.SERVED_ANSWER;
                                    case FULL -> Event.REFUSED_ANSWER;
                                    default -> Event.FAILED_ANSWER;
                                }),
                payload);
    }

    private void end(Result result, Payload payload) {
        if (!ended) {
            ended = true;
            finish(result, payload);
        }
    }

    private void finish(Result result, Payload payload) {
        if (expiry != null) {
            expiry.cancel(false);
        }
        // A relayed body that was partly written can't be sent again, so the client need not send the rest.
        if (relayedPayload != null && relayedPayload.body().isTaken()) {
            relayedPayload.body().abandon();
        }
        onEnd.accept(result, payload);
    }
}

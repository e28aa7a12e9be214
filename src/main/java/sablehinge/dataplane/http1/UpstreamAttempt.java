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

/** One request on its way to one upstream. */
final class UpstreamAttempt implements Transport.Attempt, Relay.Sink {

    private static final long BODY_CHECK_INTERVAL_MS = 1_000;

    private final UpstreamContext context;
    private final Settings terms;
    final HttpRequest request;
    /** The body where it passes through; null where it is complete. */
    final RelayedPayload passing;

    private final AttemptBudgets.Grant grant;
    private final BiConsumer<Result, Payload> end;
    /** Null for a health check, which reports nothing before its end. */
    Transport.Progress progress;

    private double until;
    private Future<?> expiry;
    UpstreamTarget target;
    private Channel channel;
    private UpstreamConnection connection;
    /** How far it has come, which decides what its end says. */
    private AttemptState state = AttemptState.UNSENT;
    /** The write of its last byte; null before that. */
    private ChannelFuture lastWrite;

    boolean ended;
    private Budget budget;
    /** When a part of its body was last written. */
    private double lastProgressAt;
    /** When it was written, and how long its connection had rested by then; NaN for a new one. */
    private double startedAt;

    private double idleMs = Double.NaN;
    /** For how long the upstream may take nothing of a body, ms. */
    private double stallTimeoutMs;

    /** {@code end} is called once; the response is not to be kept. */
    UpstreamAttempt(
            UpstreamContext context,
            Settings terms,
            HttpRequest request,
            RelayedPayload passing,
            AttemptBudgets.Grant grant,
            double until,
            BiConsumer<Result, Payload> end) {
        this.context = context;
        this.terms = terms;
        this.request = request;
        this.passing = passing;
        this.grant = grant;
        this.until = until;
        this.end = end;
        if (!isBodyPending()) {
            waitUntil(until);
        }
    }

    /** Whether the end of the request has not come yet, before which its time doesn't count. */
    private boolean isBodyPending() {
        return passing != null && !passing.body().hasEnded();
    }

    @Override
    public void waitUntil(double given) {
        if (!ended && expiry == null) {
            until = given;
            expiry = context.loop.schedule(this::expire, context.nanosUntil(until), TimeUnit.NANOSECONDS);
        }
    }

    void start(UpstreamTarget to) {
        target = to;
        if (to == null) {
            end(state.ends(Event.NO_CONNECTION), Payload.NONE);
            return;
        }
        UpstreamConnection idle = to.takeIdle(context, resendable());
        if (idle != null) {
            idle.trace(TraceEvent.REUSED, to.member.upstream().id());
            begin(idle);
        } else if (!context.sockets.roomForUpstream(context.clock.now())) {
            // A shortage here says nothing of the upstream.
            end(state.ends(Event.NO_ROOM), Payload.NONE);
        } else {
            int connectTimeoutMs = (int) Math.max(1, terms.limits().connectTimeout());
            context.bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs);
            ChannelFuture connect = context.bootstrap.connect(to.member.address());
            if (connect.cause() instanceof ChannelException) {
                // There is no socket, for want of a descriptor.
                end(state.ends(Event.NO_ROOM), Payload.NONE);
                return;
            }
            channel = connect.channel();
            context.sockets.count(channel);
            UpstreamConnection made = channel.pipeline().get(UpstreamConnection.class);
            if (made != null) {
                made.trace(TraceEvent.CONNECTING, to.member.upstream().id());
            }
            to.waiting.add(this);
            connect.addListener(up -> {
                to.waiting.remove(this);
                if (ended) {
                    channel.close();
                } else if (up.isSuccess()) {
                    channel.pipeline().get(UpstreamConnection.class).trace(TraceEvent.CONNECTED, 0);
                    begin(channel.pipeline().get(UpstreamConnection.class));
                } else {
                    end(state.ends(Event.NO_CONNECTION), Payload.NONE);
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
        // NaN compares false: a ready upstream takes anything.
        boolean drained = now >= target.drainingSince + terms.rules().drainGrace();
        budget = grant == null ? null : grant.budget(now);
        boolean dead = grant != null && budget == null;
        if (drained
                || dead
                || now >= context.startUntil
                || now >= until && !isBodyPending()
                || passing != null && passing.body().isTaken()) {
            connection.release(target);
            end(state.ends(Event.NO_CONNECTION), Payload.NONE);
            return;
        }
        connection.assign(this);
        state = state.partSent();
        if (progress != null) {
            context.lastAttemptAt = now;
        }
        if (passing != null) {
            HttpRequest copy = new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri());
            setHeaders(copy, now);
            if (passing.length() >= 0) {
                copy.headers().set("Content-Length", passing.length());
            } else {
                copy.headers().set("Transfer-Encoding", "chunked");
            }
            channel.write(copy).addListener(this::onPartWritten);
            if (!ended) {
                lastProgressAt = now;
                stallTimeoutMs = Math.min(context.dialect.terms().bodyStallTimeoutMs(), progress.requestTimeMs());
                scheduleProgressCheck(now);
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
        context.dialect.setHeaders(copy, request, target.member, until - now, budget);
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
     * How far it has come by now. The write itself is looked at, as its listeners may be notified a turn later: Netty
     * postpones them once they are nested deeply, and a reset could come first.
     */
    private AttemptState currentState() {
        if (lastWrite != null && lastWrite.isSuccess()) {
            state = state.fullySent();
        }
        return state;
    }

    void onAnswerBytes() {
        state = currentState().answerBegins();
    }

    @Override
    public boolean mayHaveRun() {
        return currentState().mayHaveRun();
    }

    /** What can't be written, for want of memory say, leaves a gap: the request will never be complete. */
    private void onPartWritten(io.netty.util.concurrent.Future<? super Void> write) {
        lastProgressAt = context.clock.now();
        if (!write.isSuccess()) {
            broke(Event.WRITE_FAILED);
        }
    }

    /**
     * While a body comes its request has no deadline, and its caller is not read while the upstream takes nothing:
     * without this, one that never reads again would hold both for good. What waits so waits for no longer than a
     * request that has come completely.
     */
    private void checkBodyProgress() {
        if (ended || isComplete()) {
            return;
        }
        double now = context.clock.now();
        if (!channel.isWritable() && now - lastProgressAt >= stallTimeoutMs) {
            broke(Event.WRITE_FAILED);
        } else {
            scheduleProgressCheck(now);
        }
    }

    /** Looks again when the time without progress would be up, or a while later where that is so while it can write. */
    private void scheduleProgressCheck(double now) {
        double left = lastProgressAt + stallTimeoutMs - now;
        double delayMs = left > 0 ? Math.min(left, BODY_CHECK_INTERVAL_MS) : BODY_CHECK_INTERVAL_MS;
        context.loop.schedule(this::checkBodyProgress, context.nanosUntil(now + delayMs), TimeUnit.NANOSECONDS);
    }

    @Override
    public void part(ByteBuf part) {
        if (channel.isWritable()) {
            // The upstream has taken what came before: what its caller was slow in sending is not its fault.
            lastProgressAt = context.clock.now();
        }
        channel.write(new DefaultHttpContent(part)).addListener(this::onPartWritten);
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
    public ChannelOutlet outlet() {
        return new ChannelOutlet(channel, connection.number, context.sockets);
    }

    @Override
    public void end() {
        write(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** The caller has left its request half, and the upstream must not take it for complete. */
    @Override
    public void broke() {
        cancel();
    }

    /** Whether the system has taken all of the request. */
    boolean isComplete() {
        AttemptState now = currentState();
        return now == AttemptState.SENT || now == AttemptState.ANSWERING;
    }

    /** Whether the module may ever send this again once it may have run. */
    private boolean resendable() {
        return context.dialect.resendable(request);
    }

    /** The connection is of no more use: what was not written completely can't have run. */
    private void broke(Event event) {
        if (!ended && !Double.isNaN(idleMs) && context.clock.now() - startedAt < Freshness.AT_ONCE_MS) {
            context.freshness.broke(idleMs);
        }
        giveUp(event);
    }

    void connectionEnded() {
        if (context.dialect.terms().mayVanishSilently()) {
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
     * Ends the attempt with its connection. That is closed first: what the module sends in answer to the outcome would
     * otherwise overtake it, and be a second copy.
     */
    void giveUp(Event event) {
        if (!ended) {
            ended = true;
            if (channel != null) {
                channel.close();
            }
            finish(currentState().ends(event), Payload.NONE);
        }
    }

    /** The head of an answer has come, and not yet all of its body. */
    void onResponseStart() {
        if (!ended && progress != null && !isBodyPending()) {
            double latest = progress.responseStarted();
            if (!ended && expiry != null) {
                expiry.cancel(false);
                until = latest;
                expiry = context.loop.schedule(this::expire, context.nanosUntil(until), TimeUnit.NANOSECONDS);
            }
        }
    }

    /** An answer, with its body or with the beginning of that. */
    void onResponse(HttpResponse head, Payload payload) {
        end(
                currentState()
                        .ends(
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
        // A body of which a part was written can't be sent again: its caller need not send the rest.
        if (passing != null && passing.body().isTaken()) {
            passing.body().abandon();
        }
        end.accept(result, payload);
    }
}

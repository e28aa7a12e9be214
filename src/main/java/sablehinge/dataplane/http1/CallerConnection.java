package sablehinge.dataplane.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.logging.Log;
import sablehinge.dataplane.proxy.Answer;
import sablehinge.dataplane.proxy.MonitoredRelay;
import sablehinge.dataplane.proxy.Payload;
import sablehinge.dataplane.proxy.TraceEvent;

/**
 * The connection of one client. One request is processed at a time; pipelined requests wait until it is answered.
 * {@link RequestReceiver} reads requests, {@link ResponseWriter} writes responses, and {@link CurrentRequest} is the
 * request between them; this class owns the channel and the order of the requests. All methods run on the connection's
 * event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

    private static final Logger LOG = LoggerFactory.getLogger(CallerConnection.class);
    private final FrontendContext context;
    final Channel channel;
    private final int number;
    final CallerDecoder decoder;
    private final RequestReceiver receiver;
    private final ResponseWriter responses;
    private final PipelinedRequests pipelined = new PipelinedRequests();
    private final CurrentRequest current;
    /** When the connection was accepted, last answered, or began to receive the current request, ms. */
    double lastActivityAt;
    /** Responses sent so far. */
    private int responsesSent;
    /** When it was accepted, ms. */
    private final double openedAt;
    /** When the first byte of the request received last arrived, ms. */
    private double messageStartedAt;

    private boolean advancing;

    CallerConnection(FrontendContext context, Channel channel) {
        this.context = context;
        this.channel = channel;
        number = context.sockets.nextConnectionNumber();
        decoder = new CallerDecoder(this, context.dialect.terms().headerBytes());
        receiver = new RequestReceiver(this, context, channel);
        responses = new ResponseWriter(this, context, channel);
        current = new CurrentRequest(this, context, receiver, responses);
        openedAt = context.proxy.now();
        lastActivityAt = openedAt;
    }

    // ---- State, for the connection's parts and the frontend ----------------------------------------

    /** The number of the connection in the trace. */
    int number() {
        return number;
    }

    ResponseWriter responses() {
        return responses;
    }

    /** When it was accepted, ms. */
    double openedAt() {
        return openedAt;
    }

    /** Responses sent so far. */
    int responsesSent() {
        return responsesSent;
    }

    /** The request in progress, which may be none. */
    CurrentRequest current() {
        return current;
    }

    /** Whether a request is in progress or waits. */
    boolean hasRequests() {
        return current.isInProgress() || !pipelined.isEmpty();
    }

    /**
     * Whether the connection must stay open after the response that is about to be written, although the frontend
     * drains.
     */
    boolean mustStayOpenWhileDraining() {
        // A request that was received completely is answered here, if only by a refusal.
        boolean mayTakeMore = context.shutdown == null && decoder.receiving;
        return !pipelined.isEmpty() || receiver.malformed() != null || mayTakeMore;
    }

    /** Whether the request that is being received may be admitted, judged by the time of its first byte. */
    boolean admitsIncoming() {
        return context.admits(messageStartedAt);
    }

    boolean isIdle() {
        return !hasRequests()
                && receiver.malformed() == null
                && !decoder.receiving
                && !responses.hasUnwritten()
                && !responses.isClosing();
    }

    /** Whether the last response was written and the client has yet to close. */
    boolean isLingering() {
        return responses.isLingering();
    }

    /** Records activity on the connection now. */
    void touch() {
        lastActivityAt = context.proxy.now();
    }

    /** Excludes the given time in ms, during which the connection was not read, from the client's idle time. */
    void excludePause(double millis) {
        lastActivityAt += millis;
    }

    void trace(TraceEvent event, long value) {
        context.sockets.tracer().note(event, number, 0, value);
    }

    /** Passes each relayed body and each unwritten response to the consumer. */
    void forEachRelay(Consumer<MonitoredRelay> each) {
        responses.forEachRelay(each);
        receiver.forEachRelay(each);
    }

    /**
     * Closes the connection if it is idle; reads it first, since closing would lose a request that is still in the
     * kernel's buffer.
     */
    boolean closeIfIdle() {
        if (isIdle()) {
            context.sockets.readNow(channel);
            if (isIdle()) {
                channel.close();
            }
        }
        return !channel.isOpen();
    }

    /** Closes the connection, or answers its request with an error, if a timeout has passed by the given time, ms. */
    void sweep(double now) {
        double age = now - lastActivityAt;
        if (responses.isBusy()) {
            responses.sweep(age);
        } else if (decoder.receiving) {
            if (receiver.isTooSlow(age)) {
                endSlowRequest();
            }
        } else if (age > idleTimeoutMs()) {
            closeIfIdle();
        }
    }

    private double idleTimeoutMs() {
        FrontTerms terms = context.dialect.terms();
        return responsesSent > 0 ? terms.idleTimeoutMs() : terms.firstRequestTimeoutMs();
    }

    private void endSlowRequest() {
        if (receiver.isDiscarding()) {
            // The request has been answered already.
            channel.close();
            return;
        }
        receiver.rejectRest(new BadRequestException(HttpResponseStatus.REQUEST_TIMEOUT, "too slow"));
        advance();
    }

    // ---- Events of the channel ---------------------------------------------------------------------

    /** The first byte of a message was received. */
    void onMessageStart() {
        messageStartedAt = context.proxy.now();
        if (responsesSent > 0 && !current.isInProgress()) {
            touch();
            receiver.resetCount();
        }
    }

    /** Bytes were received. */
    void onBytes(int bytes) {
        receiver.count(bytes);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        context.sockets.count(channel);
        context.connections.add(this);
        trace(TraceEvent.CALLER_OPENED, 0);
        if (!context.sockets.hasRoomForCaller(lastActivityAt)) {
            // If accept fails for lack of a file descriptor, Netty stops accepting for a second.
            context.listening.config().setAutoRead(false);
        }
        ctx.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (message instanceof ByteBuf bytes) {
                receiver.discard(bytes);
            } else if (!responses.isClosing() && receiver.malformed() == null) {
                receiver.receive(message);
            }
        } catch (BadRequestException e) {
            receiver.rejectRest(e);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /**
     * Starts requests only after all received bytes were decoded, so that none is served if the client pipelines too
     * many at once.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        receiver.flush();
        advance();
        ctx.fireChannelReadComplete();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        responses.onWritabilityChanged();
        ctx.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        context.connections.remove(this);
        trace(TraceEvent.CALLER_CLOSED, 0);
        context.resumeAccepting();
        dropPipelined();
        receiver.drop();
        receiver.breakRequestRelay();
        current.abandon();
        responses.abandon();
        receiver.releaseReservation();
        ctx.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            Log.warn(LOG, "caller-failed")
                    .addKeyValue("connection", number)
                    .addKeyValue("cause", cause.toString())
                    .log("a client connection failed: {}", cause.toString());
        }
        // The decoder continues with its buffered bytes; a request that lost a part must not appear complete.
        responses.close();
        receiver.breakRequestRelay();
        receiver.drop();
        ctx.close();
    }

    /** Ignores all further input; returns false if it was ignored already. */
    boolean stopDecoding() {
        if (channel.pipeline().context(decoder) == null) {
            return false;
        }
        channel.pipeline().remove(decoder);
        return true;
    }

    // ---- Events of the receiver --------------------------------------------------------------------

    /** Queues a complete request, and takes ownership of it. */
    void enqueue(FullHttpRequest request) throws BadRequestException {
        pipelined.add(request, messageStartedAt, context.proxy.now());
        if (pipelined.hasTooManyRequests()) {
            // No request is answered, not even the one in progress, which could use up all of its time first.
            dropPipelined();
            current.abandon();
            throw new BadRequestException("too many requests sent ahead");
        }
        if (current.isInProgress() && pipelined.hasTooManyBytes()) {
            channel.config().setAutoRead(false);
        }
    }

    // ---- Order of requests -------------------------------------------------------------------------

    /** Starts the next request if none is in progress. */
    private void advance() {
        if (advancing) {
            return;
        }
        advancing = true;
        try {
            while (!current.isInProgress()
                    && !responses.isClosing()
                    && (receiver.malformed() != null || !pipelined.isEmpty())) {
                startNext();
            }
            beginEarly();
        } finally {
            advancing = false;
        }
        if (!pipelined.hasTooManyBytes()
                && receiver.malformed() == null
                && !responses.isClosing()
                && !receiver.isRelaying()) {
            channel.config().setAutoRead(true);
        }
    }

    private void startNext() {
        PipelinedRequests.Arrived next = pipelined.poll();
        if (next == null) {
            reject(receiver.malformed());
            return;
        }
        EarlyRequest started = pipelined.pollStarted(next);
        if (started == null) {
            beginInOrder(next);
        } else {
            current.adopt(started);
        }
    }

    private void beginInOrder(PipelinedRequests.Arrived next) {
        if (context.admits(next.startedAt())) {
            logIfLate(next.request(), LateRequestLog.Outcome.TAKEN, 0);
            current.begin(next.request(), next.completedAt());
        } else {
            logIfLate(next.request(), LateRequestLog.Outcome.REFUSED, 0);
            current.refuse(next.request(), context.shutdownRefusal());
        }
    }

    /** Starts waiting requests that may be repeated, up to the first one that can't be started early. */
    private void beginEarly() {
        if (!context.dialect.terms().concurrent()
                || context.shutdown != null
                || !current.isInProgress()
                || responses.isClosing()
                || receiver.malformed() != null
                || pipelined.areAllStarted()) {
            return;
        }
        for (PipelinedRequests.Arrived next : pipelined.notStarted()) {
            if (pipelined.isEarlyStartLimitReached() || context.dialect.isHealth(next.request()) || !beginEarly(next)) {
                return;
            }
        }
    }

    private boolean beginEarly(PipelinedRequests.Arrived arrived) {
        FullHttpRequest next = arrived.request();
        if (!context.dialect.isRepeatable(next)) {
            return false;
        }
        CheckedRequest checked;
        try {
            checked =
                    context.dialect.read(next, next.content().isReadable(), arrived.completedAt(), context.proxy.now());
        } catch (BadRequestException e) {
            // The request is checked again once those ahead of it are answered.
            return false;
        }
        EarlyRequest started = new EarlyRequest(next, checked.version());
        pipelined.addStarted(started);
        next.retain();
        logIfLate(next, LateRequestLog.Outcome.TAKEN_EARLY, pipelined.startedCount());
        started.setExchange(
                context.proxy.request(checked.version(), checked.arrival(), new HttpPayload(next), started));
        return true;
    }

    /** Logs that a request was refused while it was being received, because it came too late. */
    void logRefused(HttpRequest request) {
        logIfLate(request, LateRequestLog.Outcome.REFUSED, pipelined.size());
    }

    void logIfLate(HttpRequest request, LateRequestLog.Outcome outcome, int ahead) {
        if (context.draining) {
            double now = context.proxy.now();
            context.lateRequests.add(this, request, outcome, now, now - context.drainingSince, ahead);
        }
    }

    // ---- Responses ---------------------------------------------------------------------------------

    /**
     * Answers with an error. An error of the client is the last response, as its further requests may be malformed too.
     */
    void reject(BadRequestException why) {
        if (why.isLast() || why == receiver.malformed()) {
            responses.close();
            dropPipelined();
        }
        if (receiver.mayHaveRun()) {
            // The status must not indicate that the request did not run.
            Answer failed = new Answer(Answer.Kind.FAILED, Payload.NONE, 0);
            responses.write(context.dialect.status(failed), Unpooled.EMPTY_BUFFER, 0, failed);
            return;
        }
        ByteBuf reason = Unpooled.copiedBuffer(why.getMessage() + "\n", StandardCharsets.UTF_8);
        responses.write(why.status(), reason, why.retryAfter(), null);
    }

    /** The last part of a response is about to be written. */
    void onAnswered() {
        current.finish();
        responsesSent++;
        touch();
        receiver.resetCount();
        // Keeps the set in the order of idleness, the longest idle first.
        context.connections.remove(this);
        context.connections.add(this);
    }

    /** The last part of a response was passed to the channel; starts the next request. */
    void afterResponse() {
        if (responses.isClosing()) {
            dropPipelined();
        } else {
            advance();
        }
        // This connection may now be idle and can be evicted for a client that waits to be accepted.
        context.resumeAccepting();
    }

    private void dropPipelined() {
        if (context.draining) {
            pipelined.notStarted().forEach(unread -> logIfLate(unread.request(), LateRequestLog.Outcome.UNREAD, 1));
        }
        pipelined.drop(context.proxy);
    }
}

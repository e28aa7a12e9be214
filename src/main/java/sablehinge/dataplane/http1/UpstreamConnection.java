package sablehinge.dataplane.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import sablehinge.dataplane.proxy.AttemptState.Event;
import sablehinge.dataplane.proxy.TraceEvent;

/** A connection to an upstream. It is assigned to one attempt at a time. */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> implements Relay.Source {

    /** Informational responses, or responses to other requests, that are skipped before the awaited one. */
    private static final int MAX_SKIPPED_RESPONSES = 16;

    private final UpstreamContext context;
    final Channel channel;
    final int number;
    final UpstreamDecoder decoder = new UpstreamDecoder(this);
    /** When it was last released; NaN while it is new. */
    double idleSince = Double.NaN;

    UpstreamAttempt attempt;
    private final CarriedRequests carriedRequests = new CarriedRequests();
    /** The id of the request in progress, or null, and how long after its end it may be sent again, in ms. */
    private String requestId;

    private double maxRetryMs;
    private UpstreamTarget target;
    /** Whether a response was received in part. */
    private boolean answerStarted;

    private final ResponseProgress progress;
    private int skippedResponses;
    /** The next check for progress; null if none is needed. */
    private Future<?> progressCheck;
    /** Whether a response to another request was received while the last attempt was in progress. */
    private boolean surplusReceived;
    /** The response that is being received: its head, its body so far, and its relay once the body is relayed. */
    private HttpResponse head;

    private ResponseMatch match;

    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    Relay relay;
    private long forwardedBytes;
    /** Whether the attempt was notified that the response has begun. */
    private boolean responseStartReported;

    UpstreamConnection(UpstreamContext context, Channel channel) {
        this.context = context;
        this.channel = channel;
        progress = new ResponseProgress(context.dialect.terms());
        number = context.sockets.nextConnectionNumber();
    }

    void trace(TraceEvent event, long value) {
        context.sockets.tracer().note(event, number, 0, value);
    }

    void assign(UpstreamAttempt attempt) {
        this.attempt = attempt;
        requestId = attempt.requestId();
        maxRetryMs = attempt.maxRetryMs();
        target = attempt.target;
        responseStartReported = false;
        skippedResponses = 0;
        surplusReceived = false;
    }

    /** Puts the connection into the pool for the next attempt. */
    void release(UpstreamTarget owner) {
        attempt = null;
        target = owner;
        rememberRequest();
        if (!Double.isNaN(owner.drainingSince) || !carriedRequests.hasRoom()) {
            channel.close();
            return;
        }
        idleSince = context.clock.now();
        owner.idle.addLast(this);
    }

    private void rememberRequest() {
        if (requestId != null) {
            double now = context.clock.now();
            carriedRequests.add(requestId, now, now + maxRetryMs);
            requestId = null;
        }
    }

    /** Whether the connection has carried a request that may be sent again; false if responses don't name requests. */
    boolean hasCarried(String id) {
        return id != null && carriedRequests.contains(id, context.clock.now());
    }

    /**
     * Fails the attempt because of a malformed response: the request may have run, and the connection can't be used
     * again.
     */
    void failMalformed() {
        UpstreamAttempt failed = attempt;
        attempt = null;
        channel.close();
        if (failed != null) {
            failed.abort(Event.MALFORMED_ANSWER);
        }
        breakRelay();
    }

    /** Lets the reader of a relayed response see that it is incomplete. */
    private void breakRelay() {
        if (relay != null) {
            Relay broken = relay;
            relay = null;
            broken.fail();
        }
    }

    @Override
    public void setReading(boolean on) {
        if (on != channel.config().isAutoRead()) {
            trace(on ? TraceEvent.RESUMED : TraceEvent.PAUSED, 0);
        }
        channel.config().setAutoRead(on);
    }

    @Override
    public void readNow() {
        context.sockets.readNow(channel);
    }

    @Override
    public void cancel() {
        relay = null;
        channel.close();
    }

    void onBytes() {
        double now = context.clock.now();
        if (!answerStarted) {
            trace(TraceEvent.FIRST_BYTE, 0);
            answerStarted = true;
            progress.onStart(now);
        }
        progress.onProgress(now);
        if (attempt != null) {
            attempt.onAnswerBytes();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (attempt != null
                && head != null
                && !responseStartReported
                && match == ResponseMatch.AWAITED
                && context.dialect.canRelay(head)) {
            responseStartReported = true;
            attempt.onResponseStart();
        }
        if (progressCheck == null) {
            scheduleProgressCheck();
        }
        if (relay != null) {
            relay.flush();
        }
        ctx.fireChannelReadComplete();
    }

    /** Schedules a check for when the response is given up if it makes no progress until then. */
    private void scheduleProgressCheck() {
        boolean receiving = answerStarted && (attempt != null || relay != null);
        double checkAt = progress.nextCheckAt(context.clock.now());
        if (receiving && !Double.isInfinite(checkAt)) {
            progressCheck =
                    context.loop.schedule(this::checkProgress, context.nanosUntil(checkAt), TimeUnit.NANOSECONDS);
        }
    }

    private void checkProgress() {
        progressCheck = null;
        double now = context.clock.now();
        if (relay != null && !channel.config().isAutoRead()) {
            progress.onProgress(now);
        }
        if (now >= progress.failsAt()) {
            failMalformed();
        } else {
            scheduleProgressCheck();
        }
    }

    private void cancelProgressCheck() {
        if (progressCheck != null) {
            progressCheck.cancel(false);
            progressCheck = null;
        }
    }

    /** The message is complete; resets what belongs to it. */
    private void onMessageComplete() {
        trace(TraceEvent.LAST_BYTE, 0);
        answerStarted = decoder.hasUnreadBytes();
        if (answerStarted) {
            progress.onStart(context.clock.now());
        }
        cancelProgressCheck();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (!message.decoderResult().isSuccess()) {
            // If the message is truncated by the end of the connection, the attempt is notified by channelInactive.
            if (channel.isActive() && !decoder.hasInputEnded()) {
                failMalformed();
            }
            return;
        }
        if (message instanceof HttpResponse begun && !begin(begun)) {
            failMalformed();
            return;
        }
        if (message instanceof HttpContent content && head != null) {
            if (relay == null) {
                appendBody(content.content());
            }
            if (relay != null) {
                forwardContent(content);
            } else if (content instanceof LastHttpContent && head != null) {
                complete();
            }
        }
    }

    /** Begins a response; returns whether it may be received. */
    private boolean begin(HttpResponse begun) {
        head = null;
        if (attempt == null || HttpUtil.getContentLength(begun, 0L) > UpstreamClient.MAX_RELAYED_BYTES) {
            return false;
        }
        match = ResponseMatch.of(context.dialect, attempt.request, begun);
        if (match == ResponseMatch.UNTRUSTED) {
            // The upstream may still be processing the request.
            return false;
        }
        surplusReceived |= match == ResponseMatch.SURPLUS;
        head = begun;
        progress.onHead();
        return true;
    }

    /** Buffers a short response, so that it is passed on completely or not at all; starts to relay a long one. */
    private void appendBody(ByteBuf part) {
        boolean fits = body.readableBytes() + part.readableBytes() <= UpstreamClient.MAX_BUFFERED_BODY_BYTES;
        if (fits && HttpUtil.getContentLength(head, 0L) <= UpstreamClient.MAX_BUFFERED_BODY_BYTES) {
            if (part.isReadable()) {
                if (body == Unpooled.EMPTY_BUFFER) {
                    body = channel.alloc().buffer(part.readableBytes(), UpstreamClient.MAX_BUFFERED_BODY_BYTES);
                }
                body.writeBytes(part);
            }
        } else if (part.isReadable()) {
            startRelay();
        }
    }

    private void startRelay() {
        UpstreamAttempt relayed = attempt;
        if (relayed == null
                || relayed.ended
                || !relayed.isComplete()
                || !channel.isActive()
                || match != ResponseMatch.AWAITED
                || !context.dialect.canRelay(head)) {
            failMalformed();
            return;
        }
        attempt = null;
        relay = new Relay(this);
        forwardedBytes = 0;
        progress.onRelay(relayed.responseDeadline());
        cancelProgressCheck();
        Relay begun = relay;
        forward(body);
        relayed.onResponse(head, new RelayedPayload(head, HttpUtil.getContentLength(head, -1L), begun));
        if (!begun.isTaken() && !begun.isWanted()) {
            // The client has closed its connection.
            begun.abandon();
        }
    }

    private void forward(ByteBuf part) {
        forwardedBytes += part.readableBytes();
        relay.add(part);
        releaseBody();
    }

    private void forwardContent(HttpContent content) {
        if (forwardedBytes + content.content().readableBytes() > UpstreamClient.MAX_RELAYED_BYTES) {
            failMalformed();
            return;
        }
        forward(content.content());
        if (relay == null || !(content instanceof LastHttpContent)) {
            return;
        }
        onMessageComplete();
        Relay done = relay;
        relay = null;
        boolean keep =
                channel.isActive() && HttpUtil.isKeepAlive(head) && !surplusReceived && !decoder.hasUnreadBytes();
        head = null;
        done.end();
        channel.config().setAutoRead(true);
        if (keep) {
            release(target);
        } else {
            channel.close();
        }
    }

    private void releaseBody() {
        ByteBuf dropped = body;
        body = Unpooled.EMPTY_BUFFER;
        dropped.release();
    }

    private void complete() {
        HttpResponse answer = head;
        FullHttpResponse response = new DefaultFullHttpResponse(
                answer.protocolVersion(), answer.status(), body, answer.headers(), EmptyHttpHeaders.INSTANCE);
        body = Unpooled.EMPTY_BUFFER;
        head = null;
        try {
            complete(response);
        } finally {
            response.release();
        }
    }

    private void complete(FullHttpResponse response) {
        onMessageComplete();
        if (attempt == null) {
            failMalformed();
            return;
        }
        if (match != ResponseMatch.AWAITED) {
            skip(response);
            return;
        }
        UpstreamAttempt served = attempt;
        attempt = null;
        boolean keep = !served.ended
                && served.isComplete()
                && HttpUtil.isKeepAlive(response)
                && !surplusReceived
                && !decoder.hasUnreadBytes();
        served.onResponse(response, new HttpPayload(response));
        // The connection is released only now: the load balancer's next attempt must not use a connection that is still
        // reading.
        if (keep && channel.isActive()) {
            release(target);
        } else {
            channel.close();
        }
    }

    /** Skips a response that came before the awaited one, which may still follow. */
    private void skip(HttpResponse response) {
        boolean last = match == ResponseMatch.SURPLUS && !HttpUtil.isKeepAlive(response);
        if (last || ++skippedResponses > MAX_SKIPPED_RESPONSES) {
            failMalformed();
        }
    }

    /** Pauses and resumes the relay of a request body as the upstream reads it. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        trace(channel.isWritable() ? TraceEvent.WRITABLE : TraceEvent.FULL, ChannelOutlet.unwrittenBytes(channel));
        if (attempt != null && attempt.relayedPayload != null) {
            attempt.relayedPayload.body().setWritable(channel.isWritable());
        }
        ctx.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        cancelProgressCheck();
        trace(TraceEvent.UPSTREAM_CLOSED, 0);
        if (target != null) {
            target.idle.remove(this);
        }
        if (attempt != null) {
            attempt.connectionEnded();
        }
        breakRelay();
        releaseBody();
        ctx.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            // The attempt is notified by channelInactive.
            channel.close();
        } else {
            // The response is too large or not HTTP; the upstream has received the request.
            failMalformed();
        }
    }
}

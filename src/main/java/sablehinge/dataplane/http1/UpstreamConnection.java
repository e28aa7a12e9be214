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
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import sablehinge.dataplane.proxy.AttemptState.Event;
import sablehinge.dataplane.proxy.TraceEvent;

/** A connection to an upstream; it belongs to one attempt at a time. */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> implements Relay.Source {

    /** The head of an answer that has begun must be complete after so many checks. */
    private static final int MAX_STALLS = 5;
    /** One that is being passed on already can't be tried again, and may rest for so many checks. */
    private static final int MAX_RELAY_RESTS = 16;
    /** Answers of the kind 1xx, or to other requests, that may come ahead of one. */
    private static final int MAX_SKIPPED_RESPONSES = 16;

    private final UpstreamContext context;
    final Channel channel;
    final int number;
    final UpstreamDecoder decoder = new UpstreamDecoder(this);
    /** When it was last given back; NaN while it is new. */
    double idleSince = Double.NaN;

    UpstreamAttempt attempt;
    private UpstreamTarget target;
    /** Whether an answer has come in part, and more since the last check; the checks so far. */
    private boolean answerStarted;

    private boolean progressed;
    private int stallChecks;
    private int skippedResponses;
    private Future<?> stallCheck;
    /** The answer that is coming: its head, its body so far, and the body once it passes through. */
    private HttpResponse head;

    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    Relay relay;
    private long forwardedBytes;
    private boolean reset;
    /** Whether it was notified that the answer has begun. */
    private boolean responseStartReported;

    UpstreamConnection(UpstreamContext context, Channel channel) {
        this.context = context;
        this.channel = channel;
        number = context.sockets.next();
    }

    void trace(TraceEvent event, long value) {
        context.sockets.tracer().note(event, number, 0, value);
    }

    void assign(UpstreamAttempt attempt) {
        this.attempt = attempt;
        target = attempt.target;
        decoder.expectMessage();
        responseStartReported = false;
        skippedResponses = 0;
        stallChecks = 0;
    }

    /** Keeps the connection for the next attempt. */
    void release(UpstreamTarget owner) {
        attempt = null;
        target = owner;
        if (!Double.isNaN(owner.drainingSince)) {
            channel.close();
            return;
        }
        idleSince = context.clock.now();
        owner.idle.addLast(this);
    }

    /** What came is no answer: the attempt may have run, and the connection is of no further use. */
    void failMalformed() {
        UpstreamAttempt failed = attempt;
        attempt = null;
        channel.close();
        if (failed != null) {
            failed.giveUp(Event.MALFORMED_ANSWER);
        }
        breakRelay();
    }

    /** The reader of a relayed answer must be able to see that it is incomplete. */
    private void breakRelay() {
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
        context.sockets.readNow(channel);
    }

    @Override
    public void giveUp() {
        relay = null;
        channel.close();
    }

    void onBytes() {
        if (!answerStarted) {
            trace(TraceEvent.FIRST_BYTE, 0);
        }
        answerStarted = true;
        progressed = true;
        if (attempt != null) {
            attempt.onAnswerBytes();
        }
    }

    /** An answer that has begun and stands still will not be complete in time. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (attempt != null
                && head != null
                && !responseStartReported
                && context.dialect.canRelay(head)
                && context.dialect.isResponseTo(attempt.request, head)) {
            responseStartReported = true;
            attempt.onResponseStart();
        }
        if (answerStarted && (attempt != null || relay != null) && stallCheck == null) {
            progressed = false;
            stallCheck = context.loop.schedule(
                    this::checkProgress, context.dialect.terms().responseStallTimeoutMs(), TimeUnit.MILLISECONDS);
        }
        if (relay != null) {
            relay.flush();
        }
        ctx.fireChannelReadComplete();
    }

    private void checkProgress() {
        stallCheck = null;
        if (progressed || relay != null && !channel.config().isAutoRead()) {
            // Its body may take its time as long as it comes, its head may not.
            stallChecks = head == null && relay == null ? stallChecks + 1 : 0;
        } else {
            stallChecks += relay == null ? MAX_STALLS : 1;
        }
        if (stallChecks >= (relay == null ? MAX_STALLS : MAX_RELAY_RESTS)) {
            failMalformed();
        } else {
            progressed = false;
            stallCheck = context.loop.schedule(
                    this::checkProgress, context.dialect.terms().responseStallTimeoutMs(), TimeUnit.MILLISECONDS);
        }
    }

    /** The message is complete, and with it what had come of it. */
    private void onMessageComplete() {
        trace(TraceEvent.LAST_BYTE, 0);
        answerStarted = decoder.hasUnreadBytes();
        // What is there already is not looked at again: it is read as the next message.
        if (answerStarted) {
            decoder.skipPrefixCheck();
        } else {
            decoder.expectMessage();
        }
        if (stallCheck != null) {
            stallCheck.cancel(false);
            stallCheck = null;
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (!message.decoderResult().isSuccess()) {
            // Where it is the end of the connection that cuts it off, that end tells the attempt.
            if (channel.isActive()) {
                failMalformed();
            }
            return;
        }
        if (message instanceof HttpResponse begun) {
            head = begun;
            if (HttpUtil.getContentLength(begun, 0L) > UpstreamClient.MAX_PASSING) {
                failMalformed();
                return;
            }
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

    /** Keeps a short answer, so that all or nothing of it is passed on; begins to pass on a long one. */
    private void appendBody(ByteBuf part) {
        boolean fits = body.readableBytes() + part.readableBytes() <= UpstreamClient.MAX_BODY;
        if (fits && HttpUtil.getContentLength(head, 0L) <= UpstreamClient.MAX_BODY) {
            if (part.isReadable()) {
                if (body == Unpooled.EMPTY_BUFFER) {
                    body = channel.alloc().buffer(part.readableBytes(), UpstreamClient.MAX_BODY);
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
                || !context.dialect.canRelay(head)
                || !context.dialect.isResponseTo(relayed.request, head)) {
            failMalformed();
            return;
        }
        attempt = null;
        relay = new Relay(this);
        forwardedBytes = 0;
        stallChecks = 0;
        Relay begun = relay;
        forward(body);
        relayed.onResponse(head, new RelayedPayload(head, HttpUtil.getContentLength(head, -1L), begun));
        if (!begun.isTaken()) {
            // Its caller has left.
            begun.abandon();
        }
    }

    private void forward(ByteBuf part) {
        forwardedBytes += part.readableBytes();
        relay.add(part);
        releaseBody();
    }

    private void forwardContent(HttpContent content) {
        if (forwardedBytes + content.content().readableBytes() > UpstreamClient.MAX_PASSING) {
            failMalformed();
            return;
        }
        forward(content.content());
        if (relay == null || !(content instanceof LastHttpContent)) {
            return;
        }
        onMessageComplete();
        if (!channel.isActive() && !endsWithConnection()) {
            breakRelay();
            return;
        }
        Relay done = relay;
        relay = null;
        boolean keep = channel.isActive() && HttpUtil.isKeepAlive(head) && !decoder.hasUnreadBytes();
        head = null;
        done.end();
        channel.config().setAutoRead(true);
        if (keep) {
            release(target);
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
        boolean delimited = endsWithConnection();
        head = null;
        try {
            complete(response, delimited);
        } finally {
            response.release();
        }
    }

    private void complete(FullHttpResponse response, boolean delimited) {
        onMessageComplete();
        if (attempt != null && !channel.isActive() && !delimited) {
            // What the end of the connection completes is no answer: a crash would look like that too.
            attempt.connectionEnded();
            return;
        }
        if (attempt == null) {
            failMalformed();
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            if (response.status().code() == 101 || ++skippedResponses > MAX_SKIPPED_RESPONSES) {
                failMalformed();
            }
            return;
        }
        if (!context.dialect.identifiesRequest(response)) {
            // It may be anybody's, and what is waited for may still be at work there.
            failMalformed();
            return;
        }
        if (!context.dialect.isResponseTo(attempt.request, response)) {
            // A surplus answer in the place of the next: what is waited for may still come behind it.
            if (++skippedResponses > MAX_SKIPPED_RESPONSES || !HttpUtil.isKeepAlive(response)) {
                failMalformed();
            }
            return;
        }
        UpstreamAttempt served = attempt;
        attempt = null;
        boolean keep =
                !served.ended && served.isComplete() && HttpUtil.isKeepAlive(response) && !decoder.hasUnreadBytes();
        served.onResponse(response, new HttpPayload(response));
        // Only now: the module's next send must not read from a connection that is being read.
        if (keep && channel.isActive()) {
            release(target);
        } else {
            channel.close();
        }
    }

    /** The upstream limits the reading of a body that is relayed. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        trace(channel.isWritable() ? TraceEvent.WRITABLE : TraceEvent.FULL, ChannelOutlet.unwrittenBytes(channel));
        if (attempt != null && attempt.passing != null) {
            attempt.passing.body().setWritable(channel.isWritable());
        }
        ctx.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (stallCheck != null) {
            stallCheck.cancel(false);
        }
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
            // The end of the channel tells the attempt.
            reset = true;
            channel.close();
        } else {
            // An answer that is too large or no HTTP: the upstream has had the request.
            failMalformed();
        }
    }
}

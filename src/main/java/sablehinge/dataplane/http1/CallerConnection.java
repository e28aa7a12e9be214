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
 * One caller's connection: one request is at work at a time, those sent ahead wait for their turn. What comes in is the
 * job of {@link RequestReceiver}, what goes out that of {@link ResponseWriter}, and the one at work between them is
 * {@link CurrentRequest}; this class has the connection, and whose turn it is. All of it runs on the connection's event
 * loop.
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
    /** When it came, had its last answer, or began the request that is coming in. */
    double lastActivityAt;
    /** Answers that it has had. */
    private int answered;
    /** When it was accepted, ms. */
    private final double openedAt;
    /** When the first byte came of the request that is coming in, or came in last, ms. */
    private double messageStartedAt;

    private boolean advancing;

    CallerConnection(FrontendContext context, Channel channel) {
        this.context = context;
        this.channel = channel;
        number = context.sockets.next();
        decoder = new CallerDecoder(this, context.dialect.terms().headerBytes());
        receiver = new RequestReceiver(this, context, channel);
        responses = new ResponseWriter(this, context, channel);
        current = new CurrentRequest(this, context, receiver, responses);
        openedAt = context.core.now();
        lastActivityAt = openedAt;
    }

    // ---- Its state, as its parts and the front see it ----------------------------------------------

    /** Its number in the trace. */
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

    /** Answers that it has had. */
    int answered() {
        return answered;
    }

    /** The request at work, or none. */
    CurrentRequest current() {
        return current;
    }

    /** Whether a request is at work or waits for its turn. */
    boolean hasRequests() {
        return current.isAtWork() || !pipelined.isEmpty();
    }

    /** Whether the answer that is about to be written must not be the last, though the front drains. */
    boolean staysWhileDraining() {
        // What has come completely is answered here, if only by a refusal.
        boolean mayTakeMore = context.shutdown == null && decoder.receiving;
        return !pipelined.isEmpty() || receiver.malformed() != null || mayTakeMore;
    }

    /** Whether the request that is coming in is taken, as far as its first byte tells. */
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

    /** Whether it has had its last answer. */
    boolean isLingering() {
        return responses.isLingering();
    }

    /** Something has come or gone now. */
    void touch() {
        lastActivityAt = context.core.now();
    }

    /** What its caller was not let do for so many ms is not counted as slowness. */
    void excuse(double millis) {
        lastActivityAt += millis;
    }

    void trace(TraceEvent event, long value) {
        context.sockets.tracer().note(event, number, 0, value);
    }

    /** Shows a watch what passes through, and what is not written out. */
    void forEachRelay(Consumer<MonitoredRelay> each) {
        responses.forEachRelay(each);
        receiver.forEachRelay(each);
    }

    /** Closes it if it is idle: a request that lies unread in the kernel would be lost with it. */
    boolean closeIfIdle() {
        if (isIdle()) {
            context.sockets.readNow(channel);
            if (isIdle()) {
                channel.close();
            }
        }
        return !channel.isOpen();
    }

    /** Ends what has taken too long by the given time, ms. */
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
        return answered > 0 ? terms.idleTimeoutMs() : terms.firstRequestTimeoutMs();
    }

    private void endSlowRequest() {
        if (receiver.isDiscarding()) {
            // Its answer has been given.
            channel.close();
            return;
        }
        receiver.rejectRest(new BadRequestException(HttpResponseStatus.REQUEST_TIMEOUT, "too slow"));
        advance();
    }

    // ---- What the channel reports ------------------------------------------------------------------

    /** The first byte of a message has come. */
    void onMessageStart() {
        messageStartedAt = context.core.now();
        if (answered > 0 && !current.isAtWork()) {
            touch();
            receiver.resetCount();
        }
    }

    /** Bytes have come. */
    void onBytes(int bytes) {
        receiver.count(bytes);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        context.sockets.count(channel);
        context.connections.add(this);
        trace(TraceEvent.CALLER_OPENED, 0);
        if (!context.sockets.roomForCaller(lastActivityAt)) {
            // Failing to accept for want of a descriptor would stop Netty from trying for a second.
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

    /** Begins what came only now: of a crowd sent at once, none is to be served. */
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
                    .log("a caller's connection failed: {}", cause.toString());
        }
        // The decoder goes on with what it holds: a request that has lost a part must not look complete.
        responses.close();
        receiver.breakRequestRelay();
        receiver.drop();
        ctx.close();
    }

    /** What still comes is not looked at; false if that was so already. */
    boolean stopDecoding() {
        if (channel.pipeline().context(decoder) == null) {
            return false;
        }
        channel.pipeline().remove(decoder);
        return true;
    }

    // ---- What its receiver reports -----------------------------------------------------------------

    /** A complete request waits for its turn; taken over. */
    void enqueue(FullHttpRequest request) throws BadRequestException {
        pipelined.add(request, messageStartedAt, context.core.now());
        if (pipelined.isTooLong()) {
            // None of them is answered, the one at work neither: it could take all of its time.
            dropPipelined();
            current.abandon();
            throw new BadRequestException("too many requests sent ahead");
        }
        if (current.isAtWork() && pipelined.holdsTooManyBytes()) {
            channel.config().setAutoRead(false);
        }
    }

    // ---- The requests' turns -----------------------------------------------------------------------

    /** Goes on to what is next, as long as nothing is at work. */
    private void advance() {
        if (advancing) {
            return;
        }
        advancing = true;
        try {
            while (!current.isAtWork()
                    && !responses.isClosing()
                    && (receiver.malformed() != null || !pipelined.isEmpty())) {
                takeNext();
            }
            beginEarly();
        } finally {
            advancing = false;
        }
        if (!pipelined.holdsTooManyBytes()
                && receiver.malformed() == null
                && !responses.isClosing()
                && !receiver.isRelaying()) {
            channel.config().setAutoRead(true);
        }
    }

    private void takeNext() {
        PipelinedRequests.Arrived next = pipelined.poll();
        if (next == null) {
            reject(receiver.malformed());
            return;
        }
        EarlyRequest begun = pipelined.pollBegun(next);
        if (begun == null) {
            beginInTurn(next);
        } else {
            current.takeTurn(begun);
        }
    }

    private void beginInTurn(PipelinedRequests.Arrived next) {
        if (context.admits(next.startedAt())) {
            logIfLate(next.request(), LateRequestLog.Outcome.TAKEN, 0);
            current.begin(next.request(), next.at());
        } else {
            logIfLate(next.request(), LateRequestLog.Outcome.REFUSED, 0);
            current.refuse(next.request(), context.shutdownRefusal());
        }
    }

    /** Begins what waits for its turn and may be repeated, as far as nothing before it is not begun. */
    private void beginEarly() {
        if (!context.dialect.terms().concurrent()
                || context.shutdown != null
                || !current.isAtWork()
                || responses.isClosing()
                || receiver.malformed() != null
                || pipelined.areAllBegun()) {
            return;
        }
        for (PipelinedRequests.Arrived next : pipelined.notBegun()) {
            if (pipelined.areEnoughBegun() || context.dialect.isHealth(next.request()) || !beginEarly(next)) {
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
            checked = context.dialect.read(next, next.content().isReadable(), arrived.at(), context.core.now());
        } catch (BadRequestException e) {
            // It is looked at again in its turn.
            return false;
        }
        EarlyRequest begun = new EarlyRequest(next, checked.version());
        pipelined.addBegun(begun);
        next.retain();
        logIfLate(next, LateRequestLog.Outcome.TAKEN_EARLY, pipelined.begunCount());
        begun.begun(context.core.request(checked.version(), checked.arrival(), new HttpPayload(next), begun));
        return true;
    }

    /** A request that is coming in is refused, as it came too late. */
    void logRefused(HttpRequest request) {
        logIfLate(request, LateRequestLog.Outcome.REFUSED, pipelined.size());
    }

    void logIfLate(HttpRequest request, LateRequestLog.Outcome outcome, int ahead) {
        if (context.draining) {
            double now = context.core.now();
            context.lateRequests.add(this, request, outcome, now, now - context.drainingSince, ahead);
        }
    }

    // ---- Answers -----------------------------------------------------------------------------------

    /** An error is the last answer: what else comes from there may be no better. */
    void reject(BadRequestException why) {
        if (why.isLast() || why == receiver.malformed()) {
            responses.close();
            dropPipelined();
        }
        if (receiver.mayHaveRun()) {
            // Its status must not promise that nothing has run.
            Answer failed = new Answer(Answer.Kind.FAILED, Payload.NONE, 0);
            responses.write(context.dialect.status(failed), Unpooled.EMPTY_BUFFER, 0, failed);
            return;
        }
        ByteBuf reason = Unpooled.copiedBuffer(why.getMessage() + "\n", StandardCharsets.UTF_8);
        responses.write(why.status(), reason, why.retryAfter(), null);
    }

    /** The last of an answer is about to be written. */
    void onAnswered() {
        current.finish();
        answered++;
        touch();
        receiver.resetCount();
        // The longest idle come first.
        context.connections.remove(this);
        context.connections.add(this);
    }

    /** The last of an answer has been written: the next request has its turn. */
    void goOn() {
        if (responses.isClosing()) {
            dropPipelined();
        } else {
            advance();
        }
        // A caller that rests now may give way to one that waits to be let in.
        context.resumeAccepting();
    }

    private void dropPipelined() {
        if (context.draining) {
            pipelined.notBegun().forEach(unread -> logIfLate(unread.request(), LateRequestLog.Outcome.UNREAD, 1));
        }
        pipelined.drop(context.core);
    }
}

package sablehinge.dataplane.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.logging.Log;
import sablehinge.dataplane.proxy.Answer;
import sablehinge.dataplane.proxy.Arrival;
import sablehinge.dataplane.proxy.Caller;
import sablehinge.dataplane.proxy.Exchange;
import sablehinge.dataplane.proxy.Passage;
import sablehinge.dataplane.proxy.Payload;
import sablehinge.dataplane.proxy.TraceEvent;
import sablehinge.dataplane.proxy.Version;

/** One caller's connection: one request at a time, those sent ahead wait for their turn. */
final class CallerConnection extends ChannelInboundHandlerAdapter implements Caller, Relay.Source, Relay.Sink {

    private static final Logger LOG = LoggerFactory.getLogger(CallerConnection.class);
    /** How long a request that waits for a configuration is put off each time, ms. */
    private static final long DEFER_MS = 10;
    /** How long a caller that was answered for the last time may go on sending, ms, and how much is read. */
    private static final long LINGER_MS = 500;

    private static final int LINGER_BYTES = 1024 * 1024;
    /** An answer that its caller has not let in by then is given up, ms. */
    private static final double WRITE_TIMEOUT_MS = 10_000;

    private final FrontendContext context;
    final Channel channel;
    private final int number;
    /** Null until a watch wants to see it. */
    private ChannelOutlet outlet;

    final CallerDecoder decoder;
    private final PipelinedRequests pipelined = new PipelinedRequests();
    private final RequestAssembler assembler;
    /** What came that is no request: answered after what came before it, and nothing after it is. */
    private BadRequestException malformed;
    /** The body that is sent on while it comes; whether the rest of one is of no use. */
    private Relay requestRelay;

    private boolean discardingBody;
    /** Whether a body broke off that was sent on, and its request may have run for all that. */
    private boolean mayHaveRun;
    /** Bytes that came since it last began to wait. */
    long bytesReceived;
    /** Bytes of the body that have been sent on, and since when it is not read. */
    private long forwardedBytes;

    private double pausedAt;
    /** The answer that is passed on as it comes, and whether its end can be distinguished from a break. */
    private Relay responseRelay;

    private boolean endIsMarked;
    /** The request at work; the exchange is known once the node has it. */
    private HttpRequest current;

    private Exchange exchange;
    /** When it was complete, ms; whether it waits for an update. */
    private double receivedAt;

    private boolean deferred;
    /** The answer that is being written. */
    private Answer pendingAnswer;

    private String requestName;
    /** The version under which it came, once it is read. */
    private Version version;
    /** When it came, had its last answer, or began the request that is coming in. */
    double lastActivityAt;

    private boolean served;
    private boolean advancing;
    /** Answers that are not yet written out. */
    private int unwrittenAnswers;

    private boolean closing;
    private int lingerBytes;
    /** Whether the last sweep found it held up though it could go on; the next one wakes it. */
    private boolean heldUpAtLastSweep;

    CallerConnection(FrontendContext context, Channel channel) {
        this.context = context;
        this.channel = channel;
        number = context.sockets.next();
        decoder = new CallerDecoder(this, context.dialect.terms().headerBytes());
        assembler = new RequestAssembler(context, number);
        lastActivityAt = context.core.now();
    }

    boolean isIdle() {
        return current == null
                && pipelined.isEmpty()
                && malformed == null
                && !decoder.receiving
                && unwrittenAnswers == 0
                && !closing;
    }

    /** Whether it has had its last answer. */
    boolean isLingering() {
        return closing && unwrittenAnswers == 0 && responseRelay == null;
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

    void sweep(double now) {
        double age = now - lastActivityAt;
        if (closing || unwrittenAnswers > 0 || responseRelay != null) {
            if (age > WRITE_TIMEOUT_MS) {
                channel.close();
            } else if (responseRelay != null && responseRelay.isPaused() && channel.isWritable()) {
                wakeIfHeldUp();
            } else {
                heldUpAtLastSweep = false;
            }
        } else if (decoder.receiving) {
            // One that is not read from now is not to blame.
            if ((current == null || requestRelay != null)
                    && channel.config().isAutoRead()
                    && age
                            > context.dialect.terms().requestMs()
                                    + bytesReceived / context.dialect.terms().bytesPerMs()) {
                tooSlow();
            }
        } else if (age
                > (served
                        ? context.dialect.terms().idleMs()
                        : context.dialect.terms().firstRequestTimeoutMs())) {
            closeIfIdle();
        }
    }

    /**
     * Whatever may have kept it from going on: what its caller can take is not held back. But the wake-up may be on its
     * way in this very turn, so the first sweep that sees it waits for the next.
     */
    private void wakeIfHeldUp() {
        if (heldUpAtLastSweep) {
            context.wokenBodies++;
            trace(TraceEvent.WOKEN, 0);
            responseRelay.setWritable(true);
        }
        heldUpAtLastSweep = !heldUpAtLastSweep;
    }

    private void trace(TraceEvent event, long value) {
        context.sockets.tracer().note(event, number, 0, value);
    }

    void passages(Consumer<Passage> each) {
        if (responseRelay != null) {
            each.accept(responseRelay);
        } else if (unwrittenAnswers > 0) {
            each.accept(outlet());
        }
        if (requestRelay != null && requestRelay.isTaken()) {
            each.accept(requestRelay);
        }
    }

    @Override
    public ChannelOutlet outlet() {
        if (outlet == null) {
            outlet = new ChannelOutlet(channel, number, context.sockets);
        }
        return outlet;
    }

    @Override
    public void readNow() {
        context.sockets.readNow(channel);
    }

    private void tooSlow() {
        if (discardingBody) {
            // Its answer has been given.
            channel.close();
            return;
        }
        rejectRest(new BadRequestException(HttpResponseStatus.REQUEST_TIMEOUT, "too slow"));
        advance();
    }

    /** The rest of a body that is sent on won't come, or won't be read. */
    private void breakRequestRelay() {
        if (requestRelay != null) {
            Relay half = requestRelay;
            requestRelay = null;
            mayHaveRun = exchange != null && exchange.mayHaveRun();
            // Reported to the module before the attempt's outcome.
            abandon();
            half.broke();
        }
    }

    /** The first byte of a message has come. */
    void onMessageStart() {
        if (served && current == null) {
            lastActivityAt = context.core.now();
            bytesReceived = 0;
        }
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
                lingerBytes += bytes.readableBytes();
                if (lingerBytes > LINGER_BYTES) {
                    // Whoever sends without end must not keep the loop busy.
                    channel.config().setAutoRead(false);
                }
            } else if (!closing && malformed == null) {
                handle(message);
            }
        } catch (BadRequestException e) {
            rejectRest(e);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void handle(Object message) throws BadRequestException {
        if (discardingBody) {
            if (message instanceof LastHttpContent || !(message instanceof HttpContent)) {
                discardingBody = false;
                lastActivityAt = context.core.now();
            }
            if (message instanceof HttpContent) {
                return;
            }
        }
        if (message instanceof HttpRequest begun) {
            RequestCheck.head(begun, context.dialect.terms().bodyBytes());
            assembler.begin(begun);
            // One that waits behind another will send its body without a 100.
            if (HttpUtil.is100ContinueExpected(begun) && current == null && pipelined.isEmpty()) {
                channel.writeAndFlush(new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER))
                        .addListener(this::onWritten);
            }
        }
        if (message instanceof HttpContent content && assembler.isReceiving()) {
            if (!content.decoderResult().isSuccess()) {
                throw new BadRequestException("malformed HTTP");
            }
            if (requestRelay == null && !assembler.append(content.content())) {
                startRequestRelay();
            }
            if (requestRelay != null) {
                forward(content);
            } else if (content instanceof LastHttpContent && assembler.isReceiving()) {
                complete();
            }
            if (content instanceof LastHttpContent) {
                discardingBody = false;
            }
        }
    }

    /** Begins the request before it is complete: its body goes on as it comes. */
    private void startRequestRelay() throws BadRequestException {
        if (current != null || !pipelined.isEmpty()) {
            // Nobody who sends ahead needs to send so much.
            throw RequestCheck.tooLarge();
        }
        HttpRequest begun = assembler.head();
        Relay relay = new Relay(this);
        requestRelay = relay;
        current = begun;
        forwardedBytes = assembler.handBodyTo(relay);
        try {
            begin(begun, true, new RelayedPayload(begun, HttpUtil.getContentLength(begun, -1L), relay));
        } catch (BadRequestException e) {
            requestRelay = null;
            current = null;
            relay.abandon();
            throw e;
        }
    }

    private void forward(HttpContent content) throws BadRequestException {
        forwardedBytes += content.content().readableBytes();
        if (forwardedBytes > context.dialect.terms().bodyBytes()) {
            throw RequestCheck.tooLarge();
        }
        requestRelay.add(content.content());
        if (requestRelay != null && content instanceof LastHttpContent) {
            Relay complete = requestRelay;
            requestRelay = null;
            assembler.clear();
            complete.end();
            if (exchange != null) {
                context.core.ended(exchange);
            }
        }
    }

    @Override
    public void read(boolean on) {
        double now = context.core.now();
        if (on && !channel.config().isAutoRead()) {
            // What its caller was not let do is not counted as slowness.
            lastActivityAt += now - pausedAt;
        } else if (!on && channel.config().isAutoRead()) {
            pausedAt = now;
        }
        if (on != channel.config().isAutoRead()) {
            trace(on ? TraceEvent.RESUMED : TraceEvent.PAUSED, 0);
        }
        channel.config().setAutoRead(on);
    }

    /** The rest of the body is of no use: it is read and dropped, so that its caller gets the answer. */
    @Override
    public void giveUp() {
        requestRelay = null;
        discardingBody = true;
        dropIncoming();
        lastActivityAt = context.core.now();
        bytesReceived = 0;
        channel.config().setAutoRead(true);
        if (exchange != null) {
            context.core.ended(exchange);
        }
    }

    private void complete() throws BadRequestException {
        pipelined.add(assembler.complete(), context.core.now());
        if (pipelined.isTooLong()) {
            // None of them is answered, the one at work neither: it could take all of its time.
            dropPipelined();
            abandon();
            throw new BadRequestException("too many requests sent ahead");
        }
        if (current != null && pipelined.holdsTooManyBytes()) {
            channel.config().setAutoRead(false);
        }
    }

    /** Begins what came only now: of a crowd sent at once, none is to be served. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (requestRelay != null) {
            requestRelay.flush();
        }
        advance();
        ctx.fireChannelReadComplete();
    }

    /** Nothing after this is read; a body that was sent on meanwhile won't be complete. */
    private void rejectRest(BadRequestException why) {
        breakRequestRelay();
        malformed = why;
        dropIncoming();
        if (current != null) {
            channel.config().setAutoRead(false);
        }
    }

    /** Goes on to what is next, as long as nothing is at work. */
    private void advance() {
        if (advancing) {
            return;
        }
        advancing = true;
        try {
            while (current == null && !closing && (malformed != null || !pipelined.isEmpty())) {
                PipelinedRequests.Arrived next = pipelined.poll();
                if (next == null) {
                    reject(malformed);
                    continue;
                }
                EarlyRequest begun = pipelined.pollBegun(next);
                if (begun == null) {
                    handle(next);
                } else {
                    takeTurn(begun);
                }
            }
            beginEarly();
        } finally {
            advancing = false;
        }
        if (!pipelined.holdsTooManyBytes() && malformed == null && !closing && requestRelay == null) {
            channel.config().setAutoRead(true);
        }
    }

    private void takeTurn(EarlyRequest begun) {
        current = begun.request;
        version = begun.version;
        exchange = begun.exchange();
        begun.turns(this::answer);
    }

    /** Begins what waits for its turn and may be repeated, as far as nothing before it is not begun. */
    private void beginEarly() {
        if (!context.dialect.terms().concurrent()
                || current == null
                || closing
                || malformed != null
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
        begun.begun(context.core.request(checked.version(), checked.arrival(), new HttpPayload(next), begun));
        return true;
    }

    private void handle(PipelinedRequests.Arrived arrived) {
        current = arrived.request();
        receivedAt = arrived.at();
        begin(arrived.request());
    }

    private void begin(FullHttpRequest request) {
        if (context.dialect.isHealth(request)) {
            write(HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER, 0);
            return;
        }
        try {
            begin(request, request.content().isReadable(), new HttpPayload(request));
        } catch (BadRequestException e) {
            boolean mayWait = deferred || context.deferredRequests < FrontendContext.MAX_DEFERRED;
            BadRequestException refusal = context.dialect.refusal(e, mayWait, receivedAt, context.core.now());
            if (refusal == null) {
                defer(request);
            } else {
                endDeferral();
                reject(refusal);
            }
        }
    }

    /** Reads it again a little later; it is bounded how many wait so. */
    private void defer(FullHttpRequest request) {
        if (!deferred) {
            deferred = true;
            context.deferredRequests++;
        }
        context.loop.schedule(
                () -> {
                    if (current == request && exchange == null && channel.isOpen()) {
                        begin(request);
                    }
                },
                DEFER_MS,
                TimeUnit.MILLISECONDS);
    }

    /** The current request waits for an update no more. */
    private void endDeferral() {
        if (deferred) {
            deferred = false;
            context.deferredRequests--;
        }
    }

    /** Hands a request to core, complete or with its body still coming. */
    private void begin(HttpRequest request, boolean hasBody, Payload payload) throws BadRequestException {
        CheckedRequest checked = context.dialect.read(
                request, hasBody, requestRelay == null ? receivedAt : context.core.now(), context.core.now());
        endDeferral();
        if (!checked.name().isEmpty()) {
            registerName(checked.name());
        }
        version = checked.version();
        ReferenceCountUtil.retain(request);
        trace(TraceEvent.REQUEST, 0);
        Arrival arrival = checked.arrival();
        Exchange begun = requestRelay == null
                ? context.core.request(version, arrival, payload, this)
                : context.core.requestComing(version, arrival, payload, this);
        // The answer may have come already, and with it the next request.
        if (begun.isOpen()) {
            exchange = begun;
        }
    }

    private void registerName(String name) throws BadRequestException {
        CallerConnection first = context.byName.get(name);
        if (first != null) {
            // Its client may have left, and sent the request again here.
            context.sockets.readNow(first.channel);
        }
        if (context.byName.containsKey(name)) {
            throw new BadRequestException(HttpResponseStatus.CONFLICT, "X-Txn is at work");
        }
        requestName = name;
        context.byName.put(name, this);
    }

    /** An error is the last answer: what else comes from there may be no better. */
    private void reject(BadRequestException why) {
        if (why.isLast() || why == malformed) {
            closing = true;
            dropPipelined();
        }
        if (mayHaveRun) {
            // Its status must not promise that nothing has run.
            pendingAnswer = new Answer(Answer.Kind.FAILED, Payload.NONE, 0);
            write(context.dialect.status(pendingAnswer), Unpooled.EMPTY_BUFFER, 0);
            return;
        }
        write(why.status(), Unpooled.copiedBuffer(why.getMessage() + "\n", StandardCharsets.UTF_8), why.retryAfter());
    }

    @Override
    public void answer(Answer answer) {
        if (answer.payload() instanceof RelayedPayload passing) {
            startResponseRelay(passing, answer);
            return;
        }
        pendingAnswer = answer;
        write(context.dialect.status(answer), context.dialect.content(answer).retain(), answer.retryAfter());
    }

    @Override
    public String name() {
        return requestName == null ? "" : requestName;
    }

    /** Writes an answer and goes on to the next request; takes the content over. */
    private void write(HttpResponseStatus status, ByteBuf content, double retryAfter) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
        response.headers().set("Content-Length", content.readableBytes());
        if (retryAfter > 0) {
            response.headers().set("Retry-After", UpstreamClient.seconds(Math.ceil(retryAfter)));
        }
        setHeaders(response, pendingAnswer);
        pendingAnswer = null;
        writeLast(response);
    }

    private void setHeaders(HttpResponse response, Answer answer) {
        context.dialect.dress(response, answer, version, current);
        boolean wantsMore = current != null && HttpUtil.isKeepAlive(current);
        // What has come completely already was taken, and is still answered here.
        closing |= !wantsMore || context.draining && pipelined.isEmpty() && !decoder.receiving;
        if (closing) {
            response.headers().set("Connection", "close");
        }
    }

    /** Begins an answer whose body passes through. */
    private void startResponseRelay(RelayedPayload passing, Answer answer) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, context.dialect.status(answer));
        endIsMarked = true;
        if (passing.length() >= 0) {
            response.headers().set("Content-Length", passing.length());
        } else if (current.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            endIsMarked = false;
            closing = true;
        } else {
            response.headers().set("Transfer-Encoding", "chunked");
        }
        setHeaders(response, answer);
        exchange = null;
        lastActivityAt = context.core.now();
        responseRelay = passing.body();
        channel.write(response).addListener(this::onWritten);
        responseRelay.attach(this);
    }

    @Override
    public void part(ByteBuf part) {
        channel.write(new DefaultHttpContent(part)).addListener(written -> {
            lastActivityAt = context.core.now();
            onWritten(written);
        });
        if (!channel.isWritable()) {
            channel.flush();
        }
        if (responseRelay != null) {
            responseRelay.setWritable(channel.isWritable());
        }
    }

    @Override
    public void flush() {
        channel.flush();
    }

    @Override
    public void end() {
        responseRelay = null;
        writeLast(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /**
     * A part has been written, or could not be: for want of memory to encode it, say. The connection stays open then,
     * and its caller would wait for the rest of its answer, or take what follows for that.
     */
    private void onWritten(Future<? super Void> written) {
        if (!written.isSuccess() && channel.isOpen()) {
            closeAsTruncated();
        }
    }

    /** The caller must be able to see that its answer is incomplete. */
    @Override
    public void broke() {
        responseRelay = null;
        closeAsTruncated();
    }

    private void closeAsTruncated() {
        if (!endIsMarked) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        channel.close();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        trace(channel.isWritable() ? TraceEvent.WRITABLE : TraceEvent.FULL, ChannelOutlet.unwritten(channel));
        if (responseRelay != null) {
            responseRelay.setWritable(channel.isWritable());
        }
        ctx.fireChannelWritabilityChanged();
    }

    private void writeLast(Object last) {
        finish();
        served = true;
        lastActivityAt = context.core.now();
        bytesReceived = 0;
        // The longest idle come first.
        context.connections.remove(this);
        context.connections.add(this);
        unwrittenAnswers++;
        channel.writeAndFlush(last).addListener(written -> {
            unwrittenAnswers--;
            trace(TraceEvent.WRITTEN, written.isSuccess() ? 1 : 0);
            onWritten(written);
            // An answer ahead of it may be written out only now, while the last one passes through.
            if (isLingering() && written.isSuccess()) {
                linger();
            }
        });
        if (closing) {
            dropPipelined();
        } else {
            advance();
        }
        // A caller that rests now may give way to one that waits to be let in.
        context.resumeAccepting();
    }

    /** Nothing is at work any more. */
    private void finish() {
        endDeferral();
        if (requestName != null) {
            context.byName.remove(requestName);
            requestName = null;
        }
        if (current != null) {
            ReferenceCountUtil.release(current);
            current = null;
        }
        assembler.releaseReservation();
        exchange = null;
        version = null;
    }

    private void abandon() {
        Exchange left = exchange;
        finish();
        if (left != null) {
            context.core.clientGone(left);
        }
    }

    private void dropIncoming() {
        assembler.drop();
        if (current == null) {
            assembler.releaseReservation();
        }
    }

    private void dropPipelined() {
        pipelined.drop(context.core);
    }

    /**
     * Ends the sending, and closes once the caller has done so too or has had its time: to close on bytes that are
     * still coming in would reset the connection and could take the answer with it.
     */
    private void linger() {
        if (!channel.isActive()) {
            return;
        }
        ((DuplexChannel) channel).shutdownOutput();
        if (channel.pipeline().context(decoder) != null) {
            // What still comes is not looked at.
            channel.pipeline().remove(decoder);
            channel.config().setAutoRead(true);
            context.loop.schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        context.connections.remove(this);
        trace(TraceEvent.CALLER_CLOSED, 0);
        context.resumeAccepting();
        dropPipelined();
        dropIncoming();
        breakRequestRelay();
        abandon();
        if (responseRelay != null) {
            Relay rest = responseRelay;
            responseRelay = null;
            rest.abandon();
        }
        assembler.releaseReservation();
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
        closing = true;
        breakRequestRelay();
        dropIncoming();
        ctx.close();
    }
}

package sablehinge.dataplane.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.function.Consumer;
import sablehinge.dataplane.proxy.MonitoredRelay;
import sablehinge.dataplane.proxy.TraceEvent;

/**
 * Receives the requests of one caller's connection. A short body is kept until it is complete; a long one is sent on
 * while it comes, and read no faster than it can be sent. All of it runs on the connection's event loop.
 */
final class RequestReceiver implements Relay.Source {

    /** Bytes that a caller which was answered for the last time may go on sending. */
    private static final int LINGER_BYTES = 1024 * 1024;

    private final CallerConnection connection;
    private final FrontendContext context;
    private final Channel channel;
    private final RequestAssembler assembler;
    /** What came that is no request: answered after what came before it, and nothing after it is. */
    private BadRequestException malformed;
    /** The body that is sent on while it comes. */
    private Relay requestRelay;
    /** Whether the rest of a body is of no use. */
    private boolean discardingBody;
    /** Whether a body broke off that was sent on, and its request may have run for all that. */
    private boolean mayHaveRun;
    /** Bytes that came since it last began to wait. */
    private long bytesReceived;
    /** Bytes of the body that have been sent on. */
    private long forwardedBytes;
    /** Since when it is not read, ms. */
    private double pausedAt;
    /** Bytes that came after the last answer. */
    private int lingerBytes;

    RequestReceiver(CallerConnection connection, FrontendContext context, Channel channel) {
        this.connection = connection;
        this.context = context;
        this.channel = channel;
        assembler = new RequestAssembler(context, connection.number());
    }

    /** What came that is no request; null if all were. */
    BadRequestException malformed() {
        return malformed;
    }

    /** Whether a body is sent on while it comes. */
    boolean isRelaying() {
        return requestRelay != null;
    }

    /** Whether what comes is the rest of a body that is of no use. */
    boolean isDiscarding() {
        return discardingBody;
    }

    /** Whether a body broke off that was sent on, and its request may have run for all that. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Counts bytes by which a slow caller is distinguished from a long request. */
    void count(int bytes) {
        bytesReceived += bytes;
    }

    /** A new request is waited for. */
    void resetCount() {
        bytesReceived = 0;
    }

    /** Whether the request that is coming in takes too long; {@code age} in ms. */
    boolean isTooSlow(double age) {
        FrontTerms terms = context.dialect.terms();
        // One that is not read from now is not to blame.
        return (!connection.current().isAtWork() || requestRelay != null)
                && channel.config().isAutoRead()
                && age > terms.requestTimeoutMs() + bytesReceived / terms.bytesPerMs();
    }

    /** Drops bytes that come after the last answer. */
    void discard(ByteBuf bytes) {
        lingerBytes += bytes.readableBytes();
        if (lingerBytes > LINGER_BYTES) {
            // Whoever sends without end must not keep the loop busy.
            channel.config().setAutoRead(false);
        }
    }

    /**
     * Takes a decoded part of a request.
     *
     * @throws BadRequestException if it can't be one; nothing after it is read then
     */
    void receive(Object message) throws BadRequestException {
        if (discardingBody) {
            if (message instanceof LastHttpContent || !(message instanceof HttpContent)) {
                discardingBody = false;
                connection.touch();
            }
            if (message instanceof HttpContent) {
                return;
            }
        }
        if (message instanceof HttpRequest head) {
            receiveHead(head);
        }
        if (message instanceof HttpContent content && assembler.isReceiving()) {
            receiveContent(content);
        }
    }

    private void receiveHead(HttpRequest head) throws BadRequestException {
        RequestCheck.head(head, context.dialect.terms().bodyBytes());
        if (!connection.admitsIncoming() && hasBody(head)) {
            // That need not come; a request without one is refused in its turn.
            connection.logRefused(head);
            throw context.shutdownRefusal();
        }
        assembler.begin(head);
        // One that waits behind another will send its body without a 100.
        if (HttpUtil.is100ContinueExpected(head) && !connection.hasRequests()) {
            connection.responses().writeContinue();
        }
    }

    private static boolean hasBody(HttpRequest head) {
        return HttpUtil.isTransferEncodingChunked(head) || HttpUtil.getContentLength(head, 0L) > 0;
    }

    private void receiveContent(HttpContent content) throws BadRequestException {
        if (!content.decoderResult().isSuccess()) {
            throw new BadRequestException("malformed HTTP");
        }
        if (requestRelay == null && !assembler.append(content.content())) {
            startRequestRelay();
        }
        if (requestRelay != null) {
            forward(content);
        } else if (content instanceof LastHttpContent && assembler.isReceiving()) {
            connection.enqueue(assembler.complete());
        }
        if (content instanceof LastHttpContent) {
            discardingBody = false;
        }
    }

    /** Begins the request before it is complete: its body goes on as it comes. */
    private void startRequestRelay() throws BadRequestException {
        if (connection.hasRequests()) {
            // Nobody who sends ahead needs to send so much.
            throw RequestCheck.tooLarge();
        }
        HttpRequest head = assembler.head();
        Relay relay = new Relay(this);
        requestRelay = relay;
        forwardedBytes = assembler.handBodyTo(relay);
        try {
            connection
                    .current()
                    .beginRelayed(head, new RelayedPayload(head, HttpUtil.getContentLength(head, -1L), relay));
        } catch (BadRequestException e) {
            requestRelay = null;
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
            connection.current().onBodyOver();
        }
    }

    /** All that has come at once has been received. */
    void flush() {
        if (requestRelay != null) {
            requestRelay.flush();
        }
    }

    @Override
    public void read(boolean on) {
        double now = context.core.now();
        if (on && !channel.config().isAutoRead()) {
            // What its caller was not let do is not counted as slowness.
            connection.excuse(now - pausedAt);
        } else if (!on && channel.config().isAutoRead()) {
            pausedAt = now;
        }
        if (on != channel.config().isAutoRead()) {
            connection.trace(on ? TraceEvent.RESUMED : TraceEvent.PAUSED, 0);
        }
        channel.config().setAutoRead(on);
    }

    @Override
    public void readNow() {
        context.sockets.readNow(channel);
    }

    /** The rest of the body is of no use: it is read and dropped, so that its caller gets the answer. */
    @Override
    public void giveUp() {
        requestRelay = null;
        discardingBody = true;
        drop();
        connection.touch();
        bytesReceived = 0;
        channel.config().setAutoRead(true);
        connection.current().onBodyOver();
    }

    /** Nothing after this is read; a body that was sent on meanwhile won't be complete. */
    void rejectRest(BadRequestException why) {
        breakRequestRelay();
        malformed = why;
        drop();
        // While the front drains little more can come, and whether the caller leaves is worth knowing.
        if (connection.current().isAtWork() && context.shutdown == null) {
            channel.config().setAutoRead(false);
        }
    }

    /** The rest of a body that is sent on won't come, or won't be read. */
    void breakRequestRelay() {
        if (requestRelay != null) {
            Relay half = requestRelay;
            requestRelay = null;
            mayHaveRun = connection.current().mayHaveRun();
            // Reported to the module before the attempt's outcome.
            connection.current().abandon();
            half.broke();
        }
    }

    /** What has come of a request that is not complete is of no use. */
    void drop() {
        assembler.drop();
        if (!connection.current().isAtWork()) {
            assembler.releaseReservation();
        }
    }

    /** The request whose body was kept is answered, or gone. */
    void releaseReservation() {
        assembler.releaseReservation();
    }

    /** Shows a watch the body that is sent on while it comes. */
    void forEachRelay(Consumer<MonitoredRelay> each) {
        if (requestRelay != null && requestRelay.isTaken()) {
            each.accept(requestRelay);
        }
    }
}

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
 * Receives the requests of one client connection. A short body is buffered until it is complete; a long one is relayed
 * while it is received, and read no faster than it can be sent. All methods run on the connection's event loop.
 */
final class RequestReceiver implements Relay.Source {

    /** Bytes that are read and dropped after the last response. */
    private static final int LINGER_BYTES = 1024 * 1024;

    private final CallerConnection connection;
    private final FrontendContext context;
    private final Channel channel;
    private final RequestAssembler assembler;
    /**
     * The error of input that is not a valid request. It is answered after the requests before it; nothing after it is.
     */
    private BadRequestException malformed;
    /** The body that is being relayed. */
    private Relay requestRelay;
    /** Whether the rest of the body is read and dropped. */
    private boolean discardingBody;
    /** Whether a relayed body broke off although its request may have run. */
    private boolean mayHaveRun;
    /** Bytes received since it began to wait for a request. */
    private long bytesReceived;
    /** Bytes of the body that were relayed. */
    private long forwardedBytes;
    /** When reading was paused, ms. */
    private double pausedAt;
    /** Bytes received after the last response. */
    private int lingerBytes;

    RequestReceiver(CallerConnection connection, FrontendContext context, Channel channel) {
        this.connection = connection;
        this.context = context;
        this.channel = channel;
        assembler = new RequestAssembler(context, connection.number());
    }

    /** The error of input that is not a valid request; null if there is none. */
    BadRequestException malformed() {
        return malformed;
    }

    /** Whether a body is being relayed. */
    boolean isRelaying() {
        return requestRelay != null;
    }

    /** Whether the rest of a body is being read and dropped. */
    boolean isDiscarding() {
        return discardingBody;
    }

    /** Whether a relayed body broke off although its request may have run. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Counts received bytes, to tell a slow client from a long request. */
    void count(int bytes) {
        bytesReceived += bytes;
    }

    /** Resets the count, as the next request is awaited. */
    void resetCount() {
        bytesReceived = 0;
    }

    /** Whether the request that is being received takes too long; {@code age} in ms. */
    boolean isTooSlow(double age) {
        FrontTerms terms = context.dialect.terms();
        // The client is not at fault while its connection is not read.
        return (!connection.current().isInProgress() || requestRelay != null)
                && channel.config().isAutoRead()
                && age > terms.requestTimeoutMs() + bytesReceived / terms.bytesPerMs();
    }

    /** Drops bytes received after the last response. */
    void discard(ByteBuf bytes) {
        lingerBytes += bytes.readableBytes();
        if (lingerBytes > LINGER_BYTES) {
            // A client that keeps sending must not keep the event loop busy.
            channel.config().setAutoRead(false);
        }
    }

    /**
     * Handles a decoded part of a request.
     *
     * @throws BadRequestException if it is invalid; nothing after it is read then
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
        RequestCheck.checkHead(head, context.dialect.terms().bodyBytes());
        if (!connection.admitsIncoming() && hasBody(head)) {
            // The client need not send the body. A request without a body is refused when its turn comes.
            connection.logRefused(head);
            throw context.shutdownRefusal();
        }
        assembler.begin(head);
        // The client of a pipelined request sends the body without a 100 response.
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

    /** Starts the request before it is complete and relays its body while it is received. */
    private void startRequestRelay() throws BadRequestException {
        if (connection.hasRequests()) {
            // A pipelined request must not have a body of this size.
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
            connection.current().onBodyEnded();
        }
    }

    /** All bytes of one read were decoded. */
    void flush() {
        if (requestRelay != null) {
            requestRelay.flush();
        }
    }

    @Override
    public void setReading(boolean on) {
        double now = context.proxy.now();
        if (on && !channel.config().isAutoRead()) {
            // Time during which the client could not send does not count as slowness.
            connection.excludePause(now - pausedAt);
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

    /** The rest of the body is not needed. It is read and dropped, so that the client gets the response. */
    @Override
    public void cancel() {
        requestRelay = null;
        discardingBody = true;
        drop();
        connection.touch();
        bytesReceived = 0;
        channel.config().setAutoRead(true);
        connection.current().onBodyEnded();
    }

    /** Stops reading requests; a body that is being relayed will not be complete. */
    void rejectRest(BadRequestException why) {
        breakRequestRelay();
        malformed = why;
        drop();
        // During shutdown the client can send little more, and the connection is read to notice when the client closes
        // it.
        if (connection.current().isInProgress() && context.shutdown == null) {
            channel.config().setAutoRead(false);
        }
    }

    /** Fails the relayed body, whose rest will not be received or read. */
    void breakRequestRelay() {
        if (requestRelay != null) {
            Relay half = requestRelay;
            requestRelay = null;
            mayHaveRun = connection.current().mayHaveRun();
            // The load balancer must be notified of this before the attempt's outcome.
            connection.current().abandon();
            half.fail();
        }
    }

    /** Drops the received part of an incomplete request. */
    void drop() {
        assembler.drop();
        if (!connection.current().isInProgress()) {
            assembler.releaseReservation();
        }
    }

    /** Releases the reservation of a buffered body after its request was answered or cancelled. */
    void releaseReservation() {
        assembler.releaseReservation();
    }

    /** Passes the relayed body, if there is one, to the consumer. */
    void forEachRelay(Consumer<MonitoredRelay> each) {
        if (requestRelay != null && requestRelay.isTaken()) {
            each.accept(requestRelay);
        }
    }
}

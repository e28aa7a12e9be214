package sablehinge.dataplane.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sablehinge.dataplane.proxy.Answer;
import sablehinge.dataplane.proxy.MonitoredRelay;
import sablehinge.dataplane.proxy.TraceEvent;

/**
 * Writes the responses of one client connection: complete ones, and those whose body is relayed. After the last one it
 * shuts down the output and waits for the client to close. All methods run on the connection's event loop.
 */
final class ResponseWriter implements Relay.Sink {

    /** Time for which input is still read after the last response, ms. */
    private static final long LINGER_MS = 500;
    /** Time after which a response that the client does not read is aborted, ms. A silent upstream is not its fault. */
    private static final double WRITE_TIMEOUT_MS = 10_000;

    private final CallerConnection connection;
    private final FrontendContext context;
    private final Channel channel;
    /** Null until it is first used. */
    private ChannelOutlet outlet;
    /** The body that is being relayed, and whether the client can tell its end from a truncation. */
    private Relay responseRelay;

    private boolean endIsDelimited;
    /** Responses that are not yet fully written to the kernel. */
    private int unwrittenResponses;
    /** Whether the response that is being written, or was written last, is the connection's last. */
    private boolean closing;
    /** Whether the last sweep found the relay paused although the channel is writable; the next sweep resumes it. */
    private boolean stalledAtLastSweep;

    ResponseWriter(CallerConnection connection, FrontendContext context, Channel channel) {
        this.connection = connection;
        this.context = context;
        this.channel = channel;
    }

    /** Whether no further request is served on this connection. */
    boolean isClosing() {
        return closing;
    }

    /** No further request is served on this connection. */
    void close() {
        closing = true;
    }

    /** Whether a response is not yet fully written to the kernel. */
    boolean hasUnwritten() {
        return unwrittenResponses > 0;
    }

    /** Whether a response is being written or relayed. */
    boolean isWriting() {
        return unwrittenResponses > 0 || responseRelay != null;
    }

    /** Whether the last response was written. */
    boolean isLingering() {
        return closing && !isWriting();
    }

    /** Whether a response is being written, or the last one was written. */
    boolean isBusy() {
        return closing || isWriting();
    }

    /**
     * Closes the connection if the client has read nothing for too long.
     *
     * @param age time since the last part was written out or began to wait for the client, ms
     */
    void sweep(double age) {
        if (age > WRITE_TIMEOUT_MS && !isWaitingForUpstream()) {
            channel.close();
        } else if (responseRelay != null && responseRelay.isPaused() && channel.isWritable()) {
            wakeIfStalled();
        } else {
            stalledAtLastSweep = false;
        }
    }

    /** Whether the client has taken all of the relayed response that was received so far. */
    private boolean isWaitingForUpstream() {
        return responseRelay != null && ChannelOutlet.unwrittenBytes(channel) == 0;
    }

    /**
     * Resumes a relay that is paused although its channel is writable, for whatever reason. The wake-up may already be
     * pending in this iteration of the event loop, so the relay is resumed only when a second sweep finds it paused.
     */
    private void wakeIfStalled() {
        if (stalledAtLastSweep) {
            context.wokenBodies++;
            connection.trace(TraceEvent.WOKEN, 0);
            responseRelay.setWritable(true);
        }
        stalledAtLastSweep = !stalledAtLastSweep;
    }

    /** Passes the relay or the unwritten response to the consumer. */
    void forEachRelay(Consumer<MonitoredRelay> each) {
        if (responseRelay != null) {
            each.accept(responseRelay);
        } else if (unwrittenResponses > 0) {
            each.accept(outlet());
        }
    }

    @Override
    public ChannelOutlet outlet() {
        if (outlet == null) {
            outlet = new ChannelOutlet(channel, connection.number(), context.sockets);
        }
        return outlet;
    }

    /** Sends 100 Continue to a client that waits for it before it sends the body (RFC 9110, 10.1.1). */
    void writeContinue() {
        channel.writeAndFlush(new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER))
                .addListener(this::onWritten);
    }

    /**
     * Writes a complete response to the current request.
     *
     * @param content ownership passes to this method
     * @param retryAfter in s; 0 for none
     * @param answer the proxy's answer, or null if the request was not passed to the proxy
     */
    void write(HttpResponseStatus status, ByteBuf content, double retryAfter, Answer answer) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
        response.headers().set("Content-Length", content.readableBytes());
        if (retryAfter > 0) {
            response.headers().set("Retry-After", UpstreamClient.seconds(Math.ceil(retryAfter)));
        }
        setHeaders(response, answer);
        writeLast(response);
    }

    private void setHeaders(HttpResponse response, Answer answer) {
        HttpRequest request = connection.current().request();
        context.dialect.setHeaders(response, answer, connection.current().version(), request);
        boolean wantsMore = request != null && HttpUtil.isKeepAlive(request);
        closing |= !wantsMore || context.draining && !connection.mustStayOpenWhileDraining();
        if (closing) {
            response.headers().set("Connection", "close");
        }
    }

    /** Starts a response whose body is relayed. */
    void startRelay(RelayedPayload relayedPayload, Answer answer) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, context.dialect.status(answer));
        endIsDelimited = true;
        if (relayedPayload.length() >= 0) {
            response.headers().set("Content-Length", relayedPayload.length());
        } else if (connection.current().request().protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            endIsDelimited = false;
            closing = true;
        } else {
            response.headers().set("Transfer-Encoding", "chunked");
        }
        setHeaders(response, answer);
        connection.current().onResponseStarted();
        responseRelay = relayedPayload.body();
        channel.write(response).addListener(this::onWritten);
        responseRelay.attach(this);
    }

    @Override
    public void writePart(ByteBuf part) {
        if (ChannelOutlet.unwrittenBytes(channel) == 0) {
            // The time that the client has for it begins now, however long the upstream was silent before.
            connection.touch();
        }
        channel.write(new DefaultHttpContent(part)).addListener(written -> {
            connection.touch();
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
     * Handles the result of a write. If it failed, for lack of memory to encode it for example, Netty leaves the
     * connection open, and the client would wait for the rest of the response or take the next response for it; the
     * connection is therefore closed.
     */
    private void onWritten(Future<? super Void> written) {
        if (!written.isSuccess() && channel.isOpen()) {
            closeAsTruncated();
        }
    }

    /** Closes the connection so that the client can see that the response is incomplete. */
    @Override
    public void fail() {
        responseRelay = null;
        closeAsTruncated();
    }

    private void closeAsTruncated() {
        if (!endIsDelimited) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        channel.close();
    }

    /** The writability of the channel changed. */
    void onWritabilityChanged() {
        connection.trace(
                channel.isWritable() ? TraceEvent.WRITABLE : TraceEvent.FULL, ChannelOutlet.unwrittenBytes(channel));
        if (responseRelay != null) {
            responseRelay.setWritable(channel.isWritable());
        }
    }

    private void writeLast(Object last) {
        connection.onAnswered();
        unwrittenResponses++;
        channel.writeAndFlush(last).addListener(written -> {
            unwrittenResponses--;
            connection.trace(TraceEvent.WRITTEN, written.isSuccess() ? 1 : 0);
            onWritten(written);
            // An earlier response may be written out only now, while the last one is being relayed.
            if (isLingering() && written.isSuccess()) {
                linger();
            }
        });
        connection.afterResponse();
    }

    /**
     * Shuts down the output, and closes the connection once the client has closed it or the linger time is over.
     * Closing while bytes are still being received would reset the connection, which could destroy the response.
     */
    private void linger() {
        if (!channel.isActive()) {
            return;
        }
        ((DuplexChannel) channel).shutdownOutput();
        if (connection.stopDecoding()) {
            channel.config().setAutoRead(true);
            context.loop.schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** The client has closed the connection; the rest of a relayed body is not needed. */
    void abandon() {
        if (responseRelay != null) {
            Relay rest = responseRelay;
            responseRelay = null;
            rest.abandon();
        }
    }
}

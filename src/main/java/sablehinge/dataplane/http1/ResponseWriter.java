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
 * Writes the responses of one caller's connection: complete ones, and those whose body passes through as it comes.
 * After the last one it ends the sending and lets the caller close. All of it runs on the connection's event loop.
 */
final class ResponseWriter implements Relay.Sink {

    /** How long a caller that was answered for the last time may go on sending, ms. */
    private static final long LINGER_MS = 500;
    /** A response that its caller has not let in by then is given up, ms. */
    private static final double WRITE_TIMEOUT_MS = 10_000;

    private final CallerConnection connection;
    private final FrontendContext context;
    private final Channel channel;
    /** Null until a watch wants to see it. */
    private ChannelOutlet outlet;
    /** The body that is passed on as it comes, and whether its end can be distinguished from a break. */
    private Relay responseRelay;

    private boolean endIsMarked;
    /** Responses that are not yet written out. */
    private int unwrittenAnswers;
    /** Whether the response that is being written, or was written last, is the connection's last. */
    private boolean closing;
    /** Whether the last sweep found it held up though it could go on; the next one wakes it. */
    private boolean heldUpAtLastSweep;

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

    /** Whether a response is not yet written out. */
    boolean hasUnwritten() {
        return unwrittenAnswers > 0;
    }

    /** Whether a response is being written or passes through. */
    boolean isWriting() {
        return unwrittenAnswers > 0 || responseRelay != null;
    }

    /** Whether the caller has had its last response. */
    boolean isLingering() {
        return closing && !isWriting();
    }

    /** Whether a response is being written, or the caller has had its last. */
    boolean isBusy() {
        return closing || isWriting();
    }

    /** Closes the connection if its caller has let nothing in for too long; {@code age} in ms. */
    void sweep(double age) {
        if (age > WRITE_TIMEOUT_MS) {
            channel.close();
        } else if (responseRelay != null && responseRelay.isPaused() && channel.isWritable()) {
            wakeIfHeldUp();
        } else {
            heldUpAtLastSweep = false;
        }
    }

    /**
     * Whatever may have kept it from going on: what its caller can take is not held back. But the wake-up may be on its
     * way in this very turn, so the first sweep that sees it waits for the next.
     */
    private void wakeIfHeldUp() {
        if (heldUpAtLastSweep) {
            context.wokenBodies++;
            connection.trace(TraceEvent.WOKEN, 0);
            responseRelay.setWritable(true);
        }
        heldUpAtLastSweep = !heldUpAtLastSweep;
    }

    /** Shows a watch what is being written. */
    void forEachRelay(Consumer<MonitoredRelay> each) {
        if (responseRelay != null) {
            each.accept(responseRelay);
        } else if (unwrittenAnswers > 0) {
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

    /** Asks for the body of a request whose client waits for that (RFC 9110, 10.1.1). */
    void writeContinue() {
        channel.writeAndFlush(new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER))
                .addListener(this::onWritten);
    }

    /**
     * Writes a complete response to the current request.
     *
     * @param content taken over
     * @param retryAfter in s; 0 for none
     * @param answer what it says, or null if the request never came to be at work
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
        closing |= !wantsMore || context.draining && !connection.staysWhileDraining();
        if (closing) {
            response.headers().set("Connection", "close");
        }
    }

    /** Begins a response whose body passes through. */
    void startRelay(RelayedPayload passing, Answer answer) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, context.dialect.status(answer));
        endIsMarked = true;
        if (passing.length() >= 0) {
            response.headers().set("Content-Length", passing.length());
        } else if (connection.current().request().protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            endIsMarked = false;
            closing = true;
        } else {
            response.headers().set("Transfer-Encoding", "chunked");
        }
        setHeaders(response, answer);
        connection.current().onResponseStarted();
        responseRelay = passing.body();
        channel.write(response).addListener(this::onWritten);
        responseRelay.attach(this);
    }

    @Override
    public void part(ByteBuf part) {
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
     * A part has been written, or could not be: for want of memory to encode it, say. The connection stays open then,
     * and its caller would wait for the rest of its response, or take what follows for that.
     */
    private void onWritten(Future<? super Void> written) {
        if (!written.isSuccess() && channel.isOpen()) {
            closeAsTruncated();
        }
    }

    /** The caller must be able to see that its response is incomplete. */
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

    /** The channel can take more, or no more for now. */
    void onWritabilityChanged() {
        connection.trace(
                channel.isWritable() ? TraceEvent.WRITABLE : TraceEvent.FULL, ChannelOutlet.unwrittenBytes(channel));
        if (responseRelay != null) {
            responseRelay.setWritable(channel.isWritable());
        }
    }

    private void writeLast(Object last) {
        connection.onAnswered();
        unwrittenAnswers++;
        channel.writeAndFlush(last).addListener(written -> {
            unwrittenAnswers--;
            connection.trace(TraceEvent.WRITTEN, written.isSuccess() ? 1 : 0);
            onWritten(written);
            // An answer ahead of it may be written out only now, while the last one passes through.
            if (isLingering() && written.isSuccess()) {
                linger();
            }
        });
        connection.goOn();
    }

    /**
     * Ends the sending, and closes once the caller has done so too or has had its time: to close on bytes that are
     * still coming in would reset the connection and could take the response with it.
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

    /** The caller has left: the rest of a body that passes through is of no use. */
    void abandon() {
        if (responseRelay != null) {
            Relay rest = responseRelay;
            responseRelay = null;
            rest.abandon();
        }
    }
}

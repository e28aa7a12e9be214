package sablehinge.dataplane.http1;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;
import sablehinge.dataplane.proxy.Answer;
import sablehinge.dataplane.proxy.Arrival;
import sablehinge.dataplane.proxy.Caller;
import sablehinge.dataplane.proxy.Exchange;
import sablehinge.dataplane.proxy.Payload;
import sablehinge.dataplane.proxy.TraceEvent;
import sablehinge.dataplane.proxy.Version;

/**
 * The request in progress on one client connection, from its start until the last part of its response is about to be
 * written. It is parsed, passed to the proxy and answered once. Each connection has one such object, which is idle
 * while there is no request. All methods run on the connection's event loop.
 */
final class CurrentRequest implements Caller {

    /** Interval between the attempts to read a request that waits for a configuration, ms. */
    private static final long DEFER_INTERVAL_MS = 10;

    private final CallerConnection connection;
    private final FrontendContext context;
    private final RequestReceiver receiver;
    private final ResponseWriter responses;
    /** Null while no request is in progress. */
    private HttpRequest request;
    /** Set once the proxy has accepted the request, until its response begins. */
    private Exchange exchange;
    /** The configuration version that the request was read by; null before that. */
    private Version version;
    /** When the request was received completely, ms. */
    private double receivedAt;
    /** Whether the request waits for a configuration. */
    private boolean deferred;
    /** The client's name for the request (X-Txn); null if it has none. */
    private String requestName;

    CurrentRequest(
            CallerConnection connection, FrontendContext context, RequestReceiver receiver, ResponseWriter responses) {
        this.connection = connection;
        this.context = context;
        this.receiver = receiver;
        this.responses = responses;
    }

    boolean isInProgress() {
        return request != null;
    }

    /** The head of the request, or the complete request; null if none is in progress. */
    HttpRequest request() {
        return request;
    }

    /** The configuration version that the request was read by; null before that. */
    Version version() {
        return version;
    }

    /** Whether an upstream may have run the request. */
    boolean mayHaveRun() {
        return exchange != null && exchange.mayHaveRun();
    }

    // ---- Start -------------------------------------------------------------------------------------

    /** Starts a complete request that was received at the given time, ms; takes ownership of it. */
    void begin(FullHttpRequest complete, double completedAt) {
        request = complete;
        receivedAt = completedAt;
        begin(complete);
    }

    private void begin(FullHttpRequest complete) {
        if (context.dialect.isHealth(complete)) {
            responses.write(HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER, 0, null);
            return;
        }
        try {
            begin(complete, complete.content().isReadable(), new HttpPayload(complete));
        } catch (BadRequestException e) {
            boolean mayWait = deferred || context.deferredRequests < FrontendContext.MAX_DEFERRED;
            BadRequestException refusal = context.dialect.refusal(e, mayWait, receivedAt, context.proxy.now());
            if (refusal == null) {
                defer(complete);
            } else {
                endDeferral();
                connection.reject(refusal);
            }
        }
    }

    /** Starts a request whose body is relayed while it is received. */
    void beginRelayed(HttpRequest head, RelayedPayload payload) throws BadRequestException {
        request = head;
        connection.logIfLate(head, LateRequestLog.Outcome.TAKEN, 0);
        try {
            begin(head, true, payload);
        } catch (BadRequestException e) {
            request = null;
            throw e;
        }
    }

    /** Makes a request that was started early the current one. */
    void adopt(EarlyRequest started) {
        request = started.request;
        version = started.version;
        exchange = started.exchange();
        started.deliverTo(this::answer);
    }

    /** Answers a complete request with an error without passing it to the proxy; takes ownership of it. */
    void refuse(FullHttpRequest complete, BadRequestException why) {
        request = complete;
        connection.reject(why);
    }

    /** Reads the request again after a delay; the number of requests that wait like this is limited. */
    private void defer(FullHttpRequest complete) {
        if (!deferred) {
            deferred = true;
            context.deferredRequests++;
        }
        context.loop.schedule(
                () -> {
                    if (request == complete && exchange == null && connection.channel.isOpen()) {
                        begin(complete);
                    }
                },
                DEFER_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    /** The request no longer waits for a configuration. */
    private void endDeferral() {
        if (deferred) {
            deferred = false;
            context.deferredRequests--;
        }
    }

    /** Passes the request to the proxy, either complete or with its body still being received. */
    private void begin(HttpRequest head, boolean hasBody, Payload payload) throws BadRequestException {
        boolean coming = receiver.isRelaying();
        double now = context.proxy.now();
        CheckedRequest checked = context.dialect.read(head, hasBody, coming ? now : receivedAt, now);
        endDeferral();
        if (!checked.name().isEmpty()) {
            register(checked.name());
        }
        version = checked.version();
        ReferenceCountUtil.retain(head);
        connection.trace(TraceEvent.REQUEST, 0);
        Arrival arrival = checked.arrival();
        Exchange started = coming
                ? context.proxy.requestStreaming(version, arrival, payload, this)
                : context.proxy.request(version, arrival, payload, this);
        // The response may have been written already, and the next request started.
        if (started.isOpen()) {
            exchange = started;
        }
    }

    private void register(String checkedName) throws BadRequestException {
        CallerConnection currentOwner = context.connectionsByRequestName.get(checkedName);
        if (currentOwner != null) {
            // The client may have closed that connection and retried the request on this one.
            context.sockets.readNow(currentOwner.channel);
        }
        if (context.connectionsByRequestName.containsKey(checkedName)) {
            throw new BadRequestException(HttpResponseStatus.CONFLICT, "X-Txn is at work");
        }
        requestName = checkedName;
        context.connectionsByRequestName.put(checkedName, connection);
    }

    // ---- End ---------------------------------------------------------------------------------------

    /** The relayed body is complete, or its rest is no longer needed. */
    void onBodyEnded() {
        if (exchange != null) {
            context.proxy.requestComplete(exchange);
        }
    }

    @Override
    public void answer(Answer answer) {
        if (answer.payload() instanceof RelayedPayload relayedPayload) {
            responses.startRelay(relayedPayload, answer);
            return;
        }
        responses.write(
                context.dialect.status(answer), context.dialect.content(answer).retain(), answer.retryAfter(), answer);
    }

    @Override
    public String requestName() {
        return requestName == null ? "" : requestName;
    }

    /** The head of a response with a relayed body was written. */
    void onResponseStarted() {
        exchange = null;
        connection.touch();
    }

    /** The client no longer waits for the response. */
    void abandon() {
        Exchange abandoned = exchange;
        finish();
        if (abandoned != null) {
            context.proxy.clientGone(abandoned);
        }
    }

    /** Ends the request; none is in progress afterwards. */
    void finish() {
        endDeferral();
        if (requestName != null) {
            context.connectionsByRequestName.remove(requestName);
            requestName = null;
        }
        if (request != null) {
            ReferenceCountUtil.release(request);
            request = null;
        }
        receiver.releaseReservation();
        exchange = null;
        version = null;
    }
}

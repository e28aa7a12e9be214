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
 * The request at work on one caller's connection, from its turn until the last of its answer is about to be written: it
 * is read, handed on, and answered once. There is one object a connection; without a request it is idle. All of it runs
 * on the connection's event loop.
 */
final class CurrentRequest implements Caller {

    /** How long a request that waits for a configuration is put off each time, ms. */
    private static final long DEFER_MS = 10;

    private final CallerConnection connection;
    private final FrontendContext context;
    private final RequestReceiver receiver;
    private final ResponseWriter responses;
    /** Null while none is at work. */
    private HttpRequest request;
    /** Known once the proxy has the request, and until its answer has begun. */
    private Exchange exchange;
    /** The version under which it came; null before it is read. */
    private Version version;
    /** When it was complete, ms. */
    private double receivedAt;
    /** Whether it waits for a configuration. */
    private boolean deferred;
    /** What its caller calls it (X-Txn); null where it has no name. */
    private String name;

    CurrentRequest(
            CallerConnection connection, FrontendContext context, RequestReceiver receiver, ResponseWriter responses) {
        this.connection = connection;
        this.context = context;
        this.receiver = receiver;
        this.responses = responses;
    }

    boolean isAtWork() {
        return request != null;
    }

    /** Its head, or all of it; null if none is at work. */
    HttpRequest request() {
        return request;
    }

    /** The version under which it came; null before it is read. */
    Version version() {
        return version;
    }

    /** Whether it may have run. */
    boolean mayHaveRun() {
        return exchange != null && exchange.mayHaveRun();
    }

    // ---- How it begins -----------------------------------------------------------------------------

    /** Begins a complete request, which came at the given time, ms; taken over. */
    void begin(FullHttpRequest complete, double cameAt) {
        request = complete;
        receivedAt = cameAt;
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
            BadRequestException refusal = context.dialect.refusal(e, mayWait, receivedAt, context.core.now());
            if (refusal == null) {
                defer(complete);
            } else {
                endDeferral();
                connection.reject(refusal);
            }
        }
    }

    /** Begins a request whose body is sent on while it comes. */
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

    /** Takes over a request that was begun before its turn, which has come. */
    void takeTurn(EarlyRequest begun) {
        request = begun.request;
        version = begun.version;
        exchange = begun.exchange();
        begun.turns(this::answer);
    }

    /** Answers a complete request, taken over, by an error without handing it on. */
    void refuse(FullHttpRequest complete, BadRequestException why) {
        request = complete;
        connection.reject(why);
    }

    /** Reads it again a little later; it is bounded how many wait so. */
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
                DEFER_MS,
                TimeUnit.MILLISECONDS);
    }

    /** It waits for a configuration no more. */
    private void endDeferral() {
        if (deferred) {
            deferred = false;
            context.deferredRequests--;
        }
    }

    /** Hands it to the proxy, complete or with its body still coming. */
    private void begin(HttpRequest head, boolean hasBody, Payload payload) throws BadRequestException {
        boolean coming = receiver.isRelaying();
        double now = context.core.now();
        CheckedRequest checked = context.dialect.read(head, hasBody, coming ? now : receivedAt, now);
        endDeferral();
        if (!checked.name().isEmpty()) {
            register(checked.name());
        }
        version = checked.version();
        ReferenceCountUtil.retain(head);
        connection.trace(TraceEvent.REQUEST, 0);
        Arrival arrival = checked.arrival();
        Exchange begun = coming
                ? context.core.requestStreaming(version, arrival, payload, this)
                : context.core.request(version, arrival, payload, this);
        // The answer may have come already, and with it the next request.
        if (begun.isOpen()) {
            exchange = begun;
        }
    }

    private void register(String given) throws BadRequestException {
        CallerConnection first = context.byName.get(given);
        if (first != null) {
            // Its client may have left, and sent the request again here.
            context.sockets.readNow(first.channel);
        }
        if (context.byName.containsKey(given)) {
            throw new BadRequestException(HttpResponseStatus.CONFLICT, "X-Txn is at work");
        }
        name = given;
        context.byName.put(given, connection);
    }

    // ---- How it ends -------------------------------------------------------------------------------

    /** The body that was sent on while it came is complete, or nobody wants the rest. */
    void onBodyOver() {
        if (exchange != null) {
            context.core.requestComplete(exchange);
        }
    }

    @Override
    public void answer(Answer answer) {
        if (answer.payload() instanceof RelayedPayload passing) {
            responses.startRelay(passing, answer);
            return;
        }
        responses.write(
                context.dialect.status(answer), context.dialect.content(answer).retain(), answer.retryAfter(), answer);
    }

    @Override
    public String requestName() {
        return name == null ? "" : name;
    }

    /** The head of an answer has been given whose body passes through. */
    void onResponseStarted() {
        exchange = null;
        connection.touch();
    }

    /** Nobody waits for it any more. */
    void abandon() {
        Exchange left = exchange;
        finish();
        if (left != null) {
            context.core.clientGone(left);
        }
    }

    /** Nothing is at work any more. */
    void finish() {
        endDeferral();
        if (name != null) {
            context.byName.remove(name);
            name = null;
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

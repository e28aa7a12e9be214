package sablehinge.dataplane.http1;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.function.Consumer;
import sablehinge.dataplane.proxy.Answer;
import sablehinge.dataplane.proxy.Caller;
import sablehinge.dataplane.proxy.Exchange;
import sablehinge.dataplane.proxy.Payload;
import sablehinge.dataplane.proxy.RequestProxy;
import sablehinge.dataplane.proxy.Version;

/**
 * A request that was begun before its turn on its connection: its answer is kept until then. Only what may be repeated
 * is begun so, as what comes ahead of it may close the connection.
 */
final class EarlyRequest implements Caller {

    final FullHttpRequest request;
    final Version version;
    private Exchange exchange;
    private Answer kept;
    private boolean over;
    private Consumer<Answer> turn;

    EarlyRequest(FullHttpRequest request, Version version) {
        this.request = request;
        this.version = version;
    }

    /** It is on its way. */
    void begun(Exchange with) {
        exchange = with;
    }

    /** Its turn has come: the answer goes there, at once if it is here. */
    void turns(Consumer<Answer> to) {
        turn = to;
        if (kept != null) {
            Answer answer = kept;
            kept = null;
            over = true;
            to.accept(answer);
            answer.payload().release();
        }
    }

    /** The exchange, while its answer is out. */
    Exchange exchange() {
        return exchange != null && exchange.isOpen() ? exchange : null;
    }

    @Override
    public void answer(Answer answer) {
        if (over) {
            return;
        }
        if (turn != null) {
            over = true;
            turn.accept(answer);
        } else if (answer.payload() instanceof RelayedPayload) {
            // What passes through as it comes can't be held back; its client may ask again.
            kept = new Answer(Answer.Kind.FAILED, Payload.NONE, 0);
        } else {
            Payload payload = answer.payload() == Payload.NONE
                    ? Payload.NONE
                    : answer.payload().retain();
            kept = new Answer(answer.kind(), payload, answer.retryAfter(), answer.spent(), answer.path());
        }
    }

    /** Nobody wants it any more. */
    void drop(RequestProxy core) {
        over = true;
        if (kept != null) {
            kept.payload().release();
            kept = null;
        }
        if (exchange() != null) {
            core.clientGone(exchange);
        }
    }
}

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
 * A pipelined request that was started before those ahead of it were answered; its answer is kept until then. Of a
 * relayed answer only the part that was read already is buffered, and its upstream is read on when its turn has come.
 * Only requests that may be repeated are started early, as a response ahead of them may close the connection.
 */
final class EarlyRequest implements Caller {

    final FullHttpRequest request;
    final Version version;
    private Exchange exchange;
    private Answer bufferedAnswer;
    private boolean finished;
    private Consumer<Answer> recipient;

    EarlyRequest(FullHttpRequest request, Version version) {
        this.request = request;
        this.version = version;
    }

    /** Sets the exchange of the request with the proxy. */
    void setExchange(Exchange assigned) {
        exchange = assigned;
    }

    /** Delivers the answer to the recipient, at once if it has been received, otherwise when it is. */
    void deliverTo(Consumer<Answer> to) {
        recipient = to;
        if (bufferedAnswer != null) {
            Answer answer = bufferedAnswer;
            bufferedAnswer = null;
            finished = true;
            deliver(answer, to);
        }
    }

    private static void deliver(Answer answer, Consumer<Answer> to) {
        if (!(answer.payload() instanceof RelayedPayload relayed)) {
            to.accept(answer);
            answer.payload().release();
        } else if (relayed.body().hasFailed()) {
            relayed.release();
            to.accept(new Answer(Answer.Kind.FAILED, Payload.NONE, 0));
        } else {
            // Its sink is attached now, and takes it over.
            to.accept(answer);
        }
    }

    /** The exchange while it is open, otherwise null. */
    Exchange exchange() {
        return exchange != null && exchange.isOpen() ? exchange : null;
    }

    @Override
    public void answer(Answer answer) {
        if (finished) {
            return;
        }
        if (recipient != null) {
            finished = true;
            recipient.accept(answer);
        } else if (answer.payload() instanceof RelayedPayload relayed) {
            relayed.body().hold();
            bufferedAnswer = answer;
        } else {
            Payload payload = answer.payload() == Payload.NONE
                    ? Payload.NONE
                    : answer.payload().retain();
            bufferedAnswer = new Answer(answer.kind(), payload, answer.retryAfter(), answer.spent(), answer.path());
        }
    }

    /** Cancels the request; its client no longer waits for it. */
    void drop(RequestProxy proxy) {
        finished = true;
        if (bufferedAnswer != null) {
            bufferedAnswer.payload().release();
            bufferedAnswer = null;
        }
        if (exchange() != null) {
            proxy.clientGone(exchange);
        }
    }
}

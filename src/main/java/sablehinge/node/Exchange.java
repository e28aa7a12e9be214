package sablehinge.node;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;

/** A request from its arrival until it has its one answer and none of its attempts is out. */
final class Exchange {

    /** Who waits for the answer. */
    interface Caller {

        /**
         * Writes the answer; called once at most. The body is not to be kept; {@code retryAfter} in ms is
         * when to come back, 0 for no advice.
         */
        void answer(HttpResponseStatus status, ByteBuf body, double retryAfter);
    }

    final long id;
    final FullHttpRequest request;
    final double deadline;
    final List<UpstreamClient.Attempt> attempts = new ArrayList<>(2);
    /** How many attempts were asked for, and how many of them are out; one not sent is null in the list. */
    int sends;
    int running;
    Future<?> overdue;
    private Caller caller;

    Exchange(long id, FullHttpRequest request, double deadline, Caller caller) {
        this.id = id;
        this.request = request;
        this.deadline = deadline;
        this.caller = caller;
    }

    boolean isOpen() {
        return caller != null;
    }

    /** Answers unless that is done already or nobody waits any more; tells whether it did. */
    boolean answer(HttpResponseStatus status, ByteBuf body, double retryAfter) {
        Caller waiting = caller;
        if (waiting == null) {
            return false;
        }
        close();
        waiting.answer(status, body, retryAfter);
        return true;
    }

    /** Nobody waits for an answer any more. */
    void close() {
        caller = null;
        if (overdue != null) {
            overdue.cancel(false);
        }
    }
}

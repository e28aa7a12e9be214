package sablehinge.dataplane.proxy;

import java.util.ArrayDeque;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Calls the decision module, one call at a time. An action of the module may cause an event immediately, such as a
 * refused connection; that event is queued until the current call of the module has returned. Owned by the thread of
 * its {@link RequestProxy}.
 */
final class DecisionQueue {

    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private final Consumer<Exchange> afterCall;
    private final BiConsumer<Exchange, Throwable> onFailure;
    private boolean deciding;
    /** The request that the current module call concerns; null if there is none. */
    private Exchange subject;

    /** A module call and the request that it concerns, or null. */
    private record Event(Exchange exchange, Runnable call) {}

    /**
     * Creates an empty queue.
     *
     * @param afterCall called after each call with the request that it concerned, or null
     * @param onFailure called when a call threw an exception, with the request or null and the exception
     */
    DecisionQueue(Consumer<Exchange> afterCall, BiConsumer<Exchange, Throwable> onFailure) {
        this.afterCall = afterCall;
        this.onFailure = onFailure;
    }

    /** The request that the current module call concerns; null if there is none. */
    Exchange subject() {
        return subject;
    }

    /** Runs a call now, or after the calls that are queued already. */
    void call(Exchange exchange, Runnable call) {
        events.add(new Event(exchange, call));
        if (deciding) {
            return;
        }
        deciding = true;
        try {
            for (Event event = events.poll(); event != null; event = events.poll()) {
                subject = event.exchange();
                try {
                    event.call().run();
                } catch (Throwable e) {
                    onFailure.accept(event.exchange(), e);
                }
                afterCall.accept(subject);
            }
        } finally {
            subject = null;
            deciding = false;
        }
    }
}

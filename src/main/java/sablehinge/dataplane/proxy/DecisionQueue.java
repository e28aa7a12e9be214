package sablehinge.dataplane.proxy;

import java.util.ArrayDeque;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Calls the decision module, one call at a time. An action may cause an event at once, such as a connection that is
 * refused; its call waits here until the module has returned from the one in which it acted. It belongs to the thread
 * of its {@link RequestProxy}.
 */
final class DecisionQueue {

    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private final Consumer<Exchange> afterCall;
    private final BiConsumer<Exchange, Throwable> onFailure;
    private boolean deciding;
    /** The request that the module's present call is about; null if it is about none. */
    private Exchange subject;

    /** A call, and the request that it is about or null. */
    private record Event(Exchange about, Runnable call) {}

    /**
     * A queue without calls.
     *
     * @param afterCall called after each call with the request that it was about, or null
     * @param onFailure called with the same where a call broke off, and with the cause
     */
    DecisionQueue(Consumer<Exchange> afterCall, BiConsumer<Exchange, Throwable> onFailure) {
        this.afterCall = afterCall;
        this.onFailure = onFailure;
    }

    /** The request that the module's present call is about; null if it is about none. */
    Exchange subject() {
        return subject;
    }

    /** Makes a call now, or after those before it. */
    void call(Exchange about, Runnable call) {
        events.add(new Event(about, call));
        if (deciding) {
            return;
        }
        deciding = true;
        try {
            for (Event event = events.poll(); event != null; event = events.poll()) {
                subject = event.about();
                try {
                    event.call().run();
                } catch (Throwable e) {
                    onFailure.accept(event.about(), e);
                }
                afterCall.accept(subject);
            }
        } finally {
            subject = null;
            deciding = false;
        }
    }
}

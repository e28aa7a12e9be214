package sablehinge.policy;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Rule 5: requests of a key, in a class that is served in order, run one after the other as they came. A request leaves
 * its queue once it is over, no attempt is out and none that was given up may still be running.
 */
final class KeyQueues {

    /** The requests of each key that are not settled; looked up by key only, dropped when empty. */
    private final Map<Long, ArrayDeque<Call>> queues = new HashMap<>();

    /** Adds a request that arrives, if order matters for it. */
    void add(Call call) {
        if (call.type.inOrder() && call.request.key() != 0) {
            call.queue = queues.computeIfAbsent(call.request.key(), key -> new ArrayDeque<>());
            call.queue.addLast(call);
        }
    }

    /** Whether a request may run now. */
    static boolean isFirst(Call call) {
        return call.queue == null || call.queue.peekFirst() == call;
    }

    /** The time in ms that the requests before it in its queue are expected to take. */
    static double waitBefore(Call call) {
        return call.queue == null
                ? 0
                : call.queue.stream()
                        .takeWhile(other -> other != call)
                        .mapToDouble(LatencyEstimate::expected)
                        .sum();
    }

    /**
     * Removes a request from its queue.
     *
     * @return the request that may run now because of it; null if there is none, as where one leaves before its turn
     */
    Call remove(Call call) {
        boolean first = call.queue.peekFirst() == call;
        call.queue.remove(call);
        if (call.queue.isEmpty()) {
            queues.remove(call.request.key());
            return null;
        }
        return first ? call.queue.peekFirst() : null;
    }
}

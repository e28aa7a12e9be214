package sablehinge.policy;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Rule 5: requests with the same key, in classes that are served in order, run one at a time in order of arrival. A
 * request leaves its queue when it has its final answer, no attempt is in flight and no abandoned attempt may still be
 * running.
 */
final class KeyQueues {

    /** The unsettled requests of each key. Empty queues are removed; the map is never iterated. */
    private final Map<Long, ArrayDeque<Call>> queues = new HashMap<>();

    /** Appends an arriving request to the queue of its key, if its class is served in order. */
    void add(Call call) {
        if (call.type.inOrder() && call.request.key() != 0) {
            call.queue = queues.computeIfAbsent(call.request.key(), key -> new ArrayDeque<>());
            call.queue.addLast(call);
        }
    }

    /** Whether a request is at the head of its queue or needs no queue. */
    static boolean isFirst(Call call) {
        return call.queue == null || call.queue.peekFirst() == call;
    }

    /** The expected total latency, in ms, of the requests ahead of this one in its queue. */
    static double expectedWait(Call call) {
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
     * @return the request that may run now; null if the queue is empty or the removed request was not its head
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

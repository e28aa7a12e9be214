package sablehinge.dataplane.http1;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import sablehinge.dataplane.proxy.RequestProxy;

/**
 * Complete pipelined requests that wait for the responses before theirs, and those of them that were started early.
 * Owns a reference to each request in it.
 */
final class PipelinedRequests {

    /** Pipelined requests that may wait on one connection. */
    private static final int MAX_REQUESTS = 16;
    /** How many of them may be started early. */
    private static final int MAX_EARLY_STARTS = 8;
    /** Bytes of waiting bodies above which the connection is not read. */
    private static final int MAX_BYTES = UpstreamClient.MAX_BUFFERED_BODY_BYTES;

    /**
     * A complete request.
     *
     * @param startedAt when its first byte was received, ms
     * @param completedAt when its last byte was received, ms
     */
    record Arrived(FullHttpRequest request, double startedAt, double completedAt) {}

    private final ArrayDeque<Arrived> waiting = new ArrayDeque<>();
    /** The requests that were started early, in the same order. */
    private final ArrayDeque<EarlyRequest> started = new ArrayDeque<>(0);

    private int bytes;

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** Whether more requests wait than a client may pipeline. */
    boolean hasTooManyRequests() {
        return waiting.size() > MAX_REQUESTS;
    }

    boolean hasTooManyBytes() {
        return bytes > MAX_BYTES;
    }

    int size() {
        return waiting.size();
    }

    int startedCount() {
        return started.size();
    }

    boolean areAllStarted() {
        return started.size() == waiting.size();
    }

    boolean isEarlyStartLimitReached() {
        return started.size() >= MAX_EARLY_STARTS;
    }

    void add(FullHttpRequest request, double startedAt, double now) {
        bytes += request.content().readableBytes();
        waiting.addLast(new Arrived(request, startedAt, now));
    }

    /** Removes and returns the next request; null if there is none. */
    Arrived poll() {
        Arrived next = waiting.pollFirst();
        if (next != null) {
            bytes -= next.request().content().readableBytes();
        }
        return next;
    }

    /** Removes and returns the started form of a polled request; null if it was not started early. */
    EarlyRequest pollStarted(Arrived arrived) {
        boolean early = !started.isEmpty() && started.peekFirst().request == arrived.request();
        return early ? started.pollFirst() : null;
    }

    /** The requests that were not started, in their order; a copy. */
    List<Arrived> notStarted() {
        return new ArrayList<>(waiting).subList(started.size(), waiting.size());
    }

    /** Adds the first request that was not started as a started one. */
    void addStarted(EarlyRequest request) {
        started.addLast(request);
    }

    /** Drops all requests; their client no longer waits for them. */
    void drop(RequestProxy proxy) {
        started.forEach(request -> request.drop(proxy));
        started.clear();
        waiting.forEach(arrived -> arrived.request().release());
        waiting.clear();
        bytes = 0;
    }
}

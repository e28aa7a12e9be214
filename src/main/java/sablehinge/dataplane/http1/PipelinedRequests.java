package sablehinge.dataplane.http1;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import sablehinge.dataplane.proxy.RequestProxy;

/**
 * Complete requests that wait for their turn on a connection (HTTP/1.1 pipelining), and those of them that were begun
 * before it. It owns a reference to each request in it.
 */
final class PipelinedRequests {

    /** Requests that a connection may send ahead of their turn. */
    private static final int MAX_REQUESTS = 16;
    /** Of those, how many are begun before their turn. */
    private static final int MAX_BEGUN = 8;
    /** Bytes of bodies above which the connection is read no more. */
    private static final int MAX_BYTES = UpstreamClient.MAX_BODY;

    /**
     * A complete request.
     *
     * @param startedAt when its first byte came, ms
     * @param at when its last byte came, ms
     */
    record Arrived(FullHttpRequest request, double startedAt, double at) {}

    private final ArrayDeque<Arrived> waiting = new ArrayDeque<>();
    /** Those that are begun already, in the same order. */
    private final ArrayDeque<EarlyRequest> begun = new ArrayDeque<>(0);

    private int bytes;

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** Whether there are more than a caller may send ahead. */
    boolean isTooLong() {
        return waiting.size() > MAX_REQUESTS;
    }

    boolean holdsTooManyBytes() {
        return bytes > MAX_BYTES;
    }

    int size() {
        return waiting.size();
    }

    int begunCount() {
        return begun.size();
    }

    boolean areAllBegun() {
        return begun.size() == waiting.size();
    }

    boolean areEnoughBegun() {
        return begun.size() >= MAX_BEGUN;
    }

    void add(FullHttpRequest request, double startedAt, double now) {
        bytes += request.content().readableBytes();
        waiting.addLast(new Arrived(request, startedAt, now));
    }

    /** The next in turn; null if there is none. */
    Arrived poll() {
        Arrived next = waiting.pollFirst();
        if (next != null) {
            bytes -= next.request().content().readableBytes();
        }
        return next;
    }

    /** What has become of a request that was polled, if it was begun before its turn; else null. */
    EarlyRequest pollBegun(Arrived arrived) {
        boolean early = !begun.isEmpty() && begun.peekFirst().request == arrived.request();
        return early ? begun.pollFirst() : null;
    }

    /** Those that are not begun, in their order; a copy. */
    List<Arrived> notBegun() {
        return new ArrayList<>(waiting).subList(begun.size(), waiting.size());
    }

    /** The first that was not begun is. */
    void addBegun(EarlyRequest request) {
        begun.addLast(request);
    }

    /** Nobody wants any of them. */
    void drop(RequestProxy core) {
        begun.forEach(request -> request.drop(core));
        begun.clear();
        waiting.forEach(arrived -> arrived.request().release());
        waiting.clear();
        bytes = 0;
    }
}

package sablehinge.dataplane.http1;

import java.util.ArrayDeque;

/**
 * The requests that a connection has carried and that may still be sent again. An upstream may send a response twice,
 * the second copy at any later time. The copy names its request, but not which sending of it was meant, so a connection
 * must not carry the same request again: the copy would be taken for the response to the new sending.
 */
final class CarriedRequests {

    /** With more requests the connection is closed, to limit memory and the time of a look-up. */
    private static final int MAX_REQUESTS = 512;

    /** A request by the hash of its id: if two ids share a hash, a connection is avoided without need. */
    private record Carried(int idHash, double expiresAt) {}

    private final ArrayDeque<Carried> requests = new ArrayDeque<>(2);

    /**
     * Adds a request.
     *
     * @param expiresAt when the request can't be sent any more, in ms of the clock
     */
    void add(String id, double now, double expiresAt) {
        while (!requests.isEmpty() && requests.peekFirst().expiresAt() <= now) {
            requests.pollFirst();
        }
        requests.addLast(new Carried(id.hashCode(), expiresAt));
    }

    /** Whether the connection has carried a request that may still be sent again. */
    boolean contains(String id, double now) {
        int idHash = id.hashCode();
        for (Carried carried : requests) {
            if (carried.idHash() == idHash && carried.expiresAt() > now) {
                return true;
            }
        }
        return false;
    }

    /** Whether the connection may carry further requests. */
    boolean hasRoom() {
        return requests.size() < MAX_REQUESTS;
    }
}

package sablehinge.controlplane.raft;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the bytes of entries in flight to a peer to what the peer acknowledges within some tenths of a second, so that
 * heartbeats and their answers do not wait long behind entries on a slow link. One message of any size may always be in
 * flight.
 */
final class SendWindow {

    /** Limits of the window size, bytes. */
    static final int MIN_BYTES = 16 << 10;

    static final int INITIAL_BYTES = 64 << 10;
    static final int MAX_BYTES = 4 << 20;
    /** Maximum number of messages in flight. */
    static final int MAX_MESSAGES = 256;
    /** The window grows if a message is acknowledged faster than this, ms. */
    private static final double FAST_RESPONSE_MS = 100;

    /** The window shrinks if a message is acknowledged slower than this, ms. */
    private static final double SLOW_RESPONSE_MS = 300;
    /**
     * Limits of the time, in ms, after which unacknowledged messages count as lost. The timeout is twice the latest
     * response time, and doubles each time it expires.
     */
    static final double INITIAL_TIMEOUT_MS = 1000;

    static final double MAX_TIMEOUT_MS = 16_000;

    private record InFlight(long round, long lastIndex, long bytes, double sentAt) {}

    private final Deque<InFlight> inFlight = new ArrayDeque<>();
    private long bytes;
    private int limit = INITIAL_BYTES;
    private double timeoutMs = INITIAL_TIMEOUT_MS;

    /** Whether entries may be sent. */
    boolean isOpen() {
        return inFlight.isEmpty() || bytes < limit && inFlight.size() < MAX_MESSAGES;
    }

    /** Maximum bytes in flight, which is also the target size of one message. */
    int limit() {
        return limit;
    }

    /** Whether nothing is in flight. */
    boolean isEmpty() {
        return inFlight.isEmpty();
    }

    /** Records a message with entries up to an index, sent during a heartbeat round. */
    void onSent(double now, long round, long lastIndex, long sentBytes) {
        inFlight.addLast(new InFlight(round, lastIndex, sentBytes, now));
        bytes += sentBytes;
    }

    /**
     * The peer has acknowledged the entries up to an index, and has seen a heartbeat round. Messages that were sent
     * before that round and are not acknowledged count as lost, even if they were only overtaken.
     */
    void onAcknowledged(double now, long index, long round) {
        InFlight newest = null;
        while (!inFlight.isEmpty() && inFlight.peekFirst().lastIndex <= index) {
            newest = inFlight.removeFirst();
            bytes -= newest.bytes;
        }
        if (newest != null) {
            adapt(now - newest.sentAt);
        }
        onRoundSeen(round);
    }

    /** The peer has seen a heartbeat round: unacknowledged messages that were sent before it count as lost. */
    void onRoundSeen(long round) {
        if (!inFlight.isEmpty() && inFlight.peekFirst().round < round) {
            clear();
        }
    }

    private void adapt(double responseMs) {
        timeoutMs = Math.max(INITIAL_TIMEOUT_MS, Math.min(MAX_TIMEOUT_MS, 2 * responseMs));
        if (responseMs > SLOW_RESPONSE_MS) {
            limit = Math.max(MIN_BYTES, limit / 2);
        } else if (responseMs < FAST_RESPONSE_MS) {
            limit = Math.min(MAX_BYTES, limit * 2);
        }
    }

    /** Discards the messages in flight after a timeout. */
    void expire(double now) {
        if (!inFlight.isEmpty() && now - inFlight.peekFirst().sentAt >= timeoutMs) {
            clear();
            limit = MIN_BYTES;
            timeoutMs = Math.min(MAX_TIMEOUT_MS, timeoutMs * 2);
        }
    }

    /** Discards the messages in flight, as they were lost or do not follow on from the peer's log. */
    void clear() {
        inFlight.clear();
        bytes = 0;
    }
}

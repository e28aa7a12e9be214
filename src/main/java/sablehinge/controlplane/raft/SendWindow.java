package sablehinge.controlplane.raft;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * How many bytes of entries may be on their way to a peer: as many as it answers within some tenths of a second, so
 * that on a slow link neither heartbeats nor their answers wait long behind entries. One message may always be on its
 * way, however large it is.
 */
final class SendWindow {

    /** Bounds of the window, bytes. */
    static final int MIN_BYTES = 16 << 10;

    static final int INITIAL_BYTES = 64 << 10;
    static final int MAX_BYTES = 4 << 20;
    /** Messages that are on their way at most. */
    static final int MAX_MESSAGES = 256;
    /** Answered sooner, the window grows; answered later, it shrinks, ms. */
    private static final double FAST_RESPONSE_MS = 100;

    private static final double SLOW_RESPONSE_MS = 300;
    /**
     * Bounds of the time, in ms, after which what has no answer is taken for lost: twice what the last answer took, and
     * twice as long after each time that none came.
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

    /** How many bytes may be on their way, and so how many a message is to have if it can. */
    int limit() {
        return limit;
    }

    /** Whether nothing is on its way. */
    boolean isEmpty() {
        return inFlight.isEmpty();
    }

    /** Entries up to an index were sent, in a round of the leader's questions. */
    void sent(double now, long round, long lastIndex, long sentBytes) {
        inFlight.addLast(new InFlight(round, lastIndex, sentBytes, now));
        bytes += sentBytes;
    }

    /**
     * The peer holds the entries up to an index, and has heard a round. What was sent before that round and is not
     * there is lost, or was overtaken, which is as good.
     */
    void received(double now, long index, long round) {
        InFlight newest = null;
        while (!inFlight.isEmpty() && inFlight.peekFirst().lastIndex <= index) {
            newest = inFlight.removeFirst();
            bytes -= newest.bytes;
        }
        if (newest != null) {
            adapt(now - newest.sentAt);
        }
        passed(round);
    }

    /** The peer has heard a round: what was sent before it and has not been answered is lost. */
    void passed(long round) {
        if (!inFlight.isEmpty() && inFlight.peekFirst().round < round) {
            clear();
        }
    }

    private void adapt(double took) {
        timeoutMs = Math.max(INITIAL_TIMEOUT_MS, Math.min(MAX_TIMEOUT_MS, 2 * took));
        if (took > SLOW_RESPONSE_MS) {
            limit = Math.max(MIN_BYTES, limit / 2);
        } else if (took < FAST_RESPONSE_MS) {
            limit = Math.min(MAX_BYTES, limit * 2);
        }
    }

    /** Gives up what has been on its way for too long. */
    void expire(double now) {
        if (!inFlight.isEmpty() && now - inFlight.peekFirst().sentAt >= timeoutMs) {
            clear();
            limit = MIN_BYTES;
            timeoutMs = Math.min(MAX_TIMEOUT_MS, timeoutMs * 2);
        }
    }

    /** What was on its way did not arrive, or does not follow on what the peer holds. */
    void clear() {
        inFlight.clear();
        bytes = 0;
    }
}

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
    static final int LEAST = 16 << 10;

    static final int FIRST = 64 << 10;
    static final int MOST = 4 << 20;
    /** Messages that are on their way at most. */
    static final int MOST_MESSAGES = 256;
    /** Answered sooner, the window grows; answered later, it shrinks, ms. */
    private static final double SOON = 100;

    private static final double LATE = 300;
    /**
     * Bounds of the time, in ms, after which what has no answer is taken for lost: twice what the last answer took, and
     * twice as long after each time that none came.
     */
    static final double FIRST_PATIENCE = 1000;

    static final double MOST_PATIENCE = 16_000;

    private record InFlight(long round, long lastIndex, long bytes, double sentAt) {}

    private final Deque<InFlight> onTheirWay = new ArrayDeque<>();
    private long bytes;
    private int limit = FIRST;
    private double patience = FIRST_PATIENCE;

    /** Whether entries may be sent. */
    boolean isOpen() {
        return onTheirWay.isEmpty() || bytes < limit && onTheirWay.size() < MOST_MESSAGES;
    }

    /** How many bytes may be on their way, and so how many a message is to have if it can. */
    int limit() {
        return limit;
    }

    /** Whether nothing is on its way. */
    boolean isEmpty() {
        return onTheirWay.isEmpty();
    }

    /** Entries up to an index were sent, in a round of the leader's questions. */
    void sent(double now, long round, long lastIndex, long sentBytes) {
        onTheirWay.addLast(new InFlight(round, lastIndex, sentBytes, now));
        bytes += sentBytes;
    }

    /**
     * The peer holds the entries up to an index, and has heard a round. What was sent before that round and is not
     * there is lost, or was overtaken, which is as good.
     */
    void received(double now, long index, long round) {
        InFlight newest = null;
        while (!onTheirWay.isEmpty() && onTheirWay.peekFirst().lastIndex <= index) {
            newest = onTheirWay.removeFirst();
            bytes -= newest.bytes;
        }
        if (newest != null) {
            adapt(now - newest.sentAt);
        }
        passed(round);
    }

    /** The peer has heard a round: what was sent before it and has not been answered is lost. */
    void passed(long round) {
        if (!onTheirWay.isEmpty() && onTheirWay.peekFirst().round < round) {
            clear();
        }
    }

    private void adapt(double took) {
        patience = Math.max(FIRST_PATIENCE, Math.min(MOST_PATIENCE, 2 * took));
        if (took > LATE) {
            limit = Math.max(LEAST, limit / 2);
        } else if (took < SOON) {
            limit = Math.min(MOST, limit * 2);
        }
    }

    /** Gives up what has been on its way for too long. */
    void expire(double now) {
        if (!onTheirWay.isEmpty() && now - onTheirWay.peekFirst().sentAt >= patience) {
            clear();
            limit = LEAST;
            patience = Math.min(MOST_PATIENCE, patience * 2);
        }
    }

    /** What was on its way did not arrive, or does not follow on what the peer holds. */
    void clear() {
        onTheirWay.clear();
        bytes = 0;
    }
}

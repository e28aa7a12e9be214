package sablehinge.controlplane.raft;

import java.util.Arrays;

/**
 * Sends one snapshot to one peer in chunks, one at a time: the next leaves when the peer has acknowledged up to which
 * byte it holds the state, so that at most one chunk lies before a heartbeat. A chunk is as large as the link and the
 * peer carry in some tenths of a second. Once the peer holds some of it, the snapshot stays the same to its end,
 * whatever the leader compacts meanwhile; whoever lost what it had names a lower offset and gets it from there.
 */
final class SnapshotSender {

    /** Sizes of a chunk, bytes. */
    static final int MIN_CHUNK_BYTES = 16 << 10;

    static final int INITIAL_CHUNK_BYTES = 64 << 10;
    static final int MAX_CHUNK_BYTES = 1 << 20;
    /** A chunk that was answered sooner may be followed by a larger one, ms. */
    private static final double FAST_RESPONSE_MS = 100;
    /** One that was answered later is followed by a smaller one, ms: heartbeats wait behind it. */
    private static final double SLOW_RESPONSE_MS = 300;
    /**
     * Bounds of the time, in ms, after which a chunk that has no answer is sent again: twice what the last answer took,
     * and twice as long after each time that none came.
     */
    static final double INITIAL_TIMEOUT_MS = 500;

    static final double MAX_TIMEOUT_MS = 2000;

    private Snapshot snapshot;
    private int offset;
    private int chunkBytes = INITIAL_CHUNK_BYTES;
    private boolean waiting;
    private double sentAt;
    private long sentRound;
    private double timeoutMs = INITIAL_TIMEOUT_MS;

    SnapshotSender(Snapshot snapshot) {
        this.snapshot = snapshot;
    }

    /** Index of the last entry that is in the snapshot. */
    long index() {
        return snapshot.index();
    }

    /** Whether a chunk is to be sent: none is on its way, or the last one is taken for lost. */
    boolean isDue(double now) {
        return !waiting || now - sentAt >= timeoutMs;
    }

    /** Takes the leader's newest snapshot, unless the peer holds some of the one before, or may soon. */
    void renew(double now, Snapshot newest) {
        if (offset == 0 && isDue(now)) {
            snapshot = newest;
        }
    }

    /** The chunk to send, which counts as sent now. */
    Message.InstallSnapshotRequest next(double now, long term, long round) {
        if (waiting) {
            chunkBytes = Math.max(MIN_CHUNK_BYTES, chunkBytes / 2);
            timeoutMs = Math.min(MAX_TIMEOUT_MS, timeoutMs * 2);
        }
        waiting = true;
        sentAt = now;
        sentRound = round;
        int total = snapshot.state().length;
        int end = Math.min(total, offset + chunkBytes);
        Snapshot chunk = new Snapshot(
                snapshot.index(),
                snapshot.term(),
                snapshot.members(),
                Arrays.copyOfRange(snapshot.state(), offset, end));
        return new Message.InstallSnapshotRequest(term, chunk, offset, total, round);
    }

    /**
     * The peer holds the state up to an offset.
     *
     * @param index of the snapshot that it tells of
     * @return whether that was not known, so that the next chunk is due
     */
    boolean received(double now, long index, int receivedBytes) {
        if (index != snapshot.index()
                || receivedBytes == offset
                || receivedBytes < 0
                || receivedBytes > snapshot.state().length) {
            return false;
        }
        if (receivedBytes > offset) {
            adapt(now - sentAt);
        }
        offset = receivedBytes;
        waiting = false;
        return true;
    }

    /**
     * The peer has answered a round and not mentioned the chunk.
     *
     * @return whether the chunk left before that round, so that it is lost and due again
     */
    boolean passed(long round) {
        if (!waiting || round <= sentRound) {
            return false;
        }
        waiting = false;
        timeoutMs = INITIAL_TIMEOUT_MS;
        return true;
    }

    private void adapt(double took) {
        timeoutMs = Math.max(INITIAL_TIMEOUT_MS, Math.min(MAX_TIMEOUT_MS, 2 * took));
        if (took > SLOW_RESPONSE_MS) {
            chunkBytes = Math.max(MIN_CHUNK_BYTES, chunkBytes / 2);
        } else if (took < FAST_RESPONSE_MS) {
            chunkBytes = Math.min(MAX_CHUNK_BYTES, chunkBytes * 2);
        }
    }
}

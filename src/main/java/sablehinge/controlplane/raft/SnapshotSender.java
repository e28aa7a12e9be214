package sablehinge.controlplane.raft;

import java.util.Arrays;

/**
 * Sends one snapshot to one peer in chunks. The next chunk is sent after the peer has acknowledged the bytes that it
 * has received, so that a heartbeat waits behind one chunk at most. The size of a chunk adapts to what the link and the
 * peer process in some tenths of a second. Once the peer has received a part, the transfer continues with the same
 * snapshot even if the leader compacts its log again. A peer that has lost its part acknowledges a lower offset, and
 * the transfer resumes there.
 */
final class SnapshotSender {

    /** Limits of the chunk size, bytes. */
    static final int MIN_CHUNK_BYTES = 16 << 10;

    static final int INITIAL_CHUNK_BYTES = 64 << 10;
    static final int MAX_CHUNK_BYTES = 1 << 20;
    /** The chunk size grows if a chunk is acknowledged faster than this, ms. */
    private static final double FAST_RESPONSE_MS = 100;
    /** The chunk size shrinks if a chunk is acknowledged slower than this, ms, as heartbeats wait behind chunks. */
    private static final double SLOW_RESPONSE_MS = 300;
    /**
     * Limits of the time, in ms, after which an unacknowledged chunk is sent again. The timeout is twice the latest
     * response time, and doubles each time it expires.
     */
    static final double INITIAL_TIMEOUT_MS = 500;

    static final double MAX_TIMEOUT_MS = 2000;

    private Snapshot snapshot;
    private int offset;
    private int chunkBytes = INITIAL_CHUNK_BYTES;
    private boolean chunkInFlight;
    private double sentAt;
    private long sentRound;
    private double timeoutMs = INITIAL_TIMEOUT_MS;

    SnapshotSender(Snapshot snapshot) {
        this.snapshot = snapshot;
    }

    /** Index of the last entry that the snapshot covers. */
    long index() {
        return snapshot.index();
    }

    /** Whether a chunk is due: none is in flight, or the last one counts as lost. */
    boolean isDue(double now) {
        return !chunkInFlight || now - sentAt >= timeoutMs;
    }

    /**
     * Switches to the leader's latest snapshot, unless the peer has a part of the current one or a chunk is in flight.
     */
    void switchTo(double now, Snapshot latest) {
        if (offset == 0 && isDue(now)) {
            snapshot = latest;
        }
    }

    /** Returns the next chunk and records it as sent. */
    Message.InstallSnapshotRequest nextChunk(double now, long term, long round) {
        if (chunkInFlight) {
            chunkBytes = Math.max(MIN_CHUNK_BYTES, chunkBytes / 2);
            timeoutMs = Math.min(MAX_TIMEOUT_MS, timeoutMs * 2);
        }
        chunkInFlight = true;
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
     * The peer has acknowledged the state up to an offset.
     *
     * @param index index of the snapshot that the peer acknowledges
     * @return whether the acknowledgement is new, so that the next chunk is due
     */
    boolean onAcknowledged(double now, long index, int receivedBytes) {
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
        chunkInFlight = false;
        return true;
    }

    /**
     * The peer has answered a heartbeat round without acknowledging the chunk in flight.
     *
     * @return whether the chunk was sent before that round, so that it counts as lost and is due again
     */
    boolean onRoundSeen(long round) {
        if (!chunkInFlight || round <= sentRound) {
            return false;
        }
        chunkInFlight = false;
        timeoutMs = INITIAL_TIMEOUT_MS;
        return true;
    }

    private void adapt(double responseMs) {
        timeoutMs = Math.max(INITIAL_TIMEOUT_MS, Math.min(MAX_TIMEOUT_MS, 2 * responseMs));
        if (responseMs > SLOW_RESPONSE_MS) {
            chunkBytes = Math.max(MIN_CHUNK_BYTES, chunkBytes / 2);
        } else if (responseMs < FAST_RESPONSE_MS) {
            chunkBytes = Math.min(MAX_CHUNK_BYTES, chunkBytes * 2);
        }
    }
}

package sablehinge.controlplane.raft;

import java.util.Arrays;
import java.util.List;

/**
 * Assembles the chunks of a leader's snapshot, in memory: nothing of it counts before it is complete, so nothing of it
 * is on disk either. It holds one snapshot at a time, that of the latest leader that sent one; its memory grows with
 * the bytes that came, not with the length that was named.
 */
final class SnapshotReceiver {

    /** The largest state that is put together, bytes. */
    static final int MAX_BYTES = 64 << 20;

    private static final byte[] NOTHING = {};

    private long leaderTerm;
    private long index;
    private long term;
    private int total;
    private byte[] bytes = NOTHING;
    private int receivedBytes;

    /**
     * Takes a chunk.
     *
     * @return the snapshot if this chunk completes it, else null
     */
    Snapshot receive(Message.InstallSnapshotRequest request) {
        Snapshot chunk = request.chunk();
        if (request.isComplete()) {
            clear();
            return chunk;
        }
        if (request.total() > MAX_BYTES || request.offset() + chunk.state().length > request.total()) {
            return null;
        }
        if (!isOf(request)) {
            begin(request);
        }
        // One that comes twice, or before the one that it follows, brings nothing.
        if (request.offset() == receivedBytes) {
            append(chunk.state());
        }
        if (receivedBytes < total) {
            return null;
        }
        List<Member> members = chunk.members();
        Snapshot complete = new Snapshot(index, term, members, Arrays.copyOf(bytes, receivedBytes));
        clear();
        return complete;
    }

    /** Up to which byte the state of this chunk's snapshot is here. */
    int receivedBytes(Message.InstallSnapshotRequest request) {
        return isOf(request) ? receivedBytes : 0;
    }

    /** Forgets what came so far. */
    void clear() {
        leaderTerm = 0;
        index = 0;
        total = 0;
        bytes = NOTHING;
        receivedBytes = 0;
    }

    private boolean isOf(Message.InstallSnapshotRequest request) {
        return leaderTerm == request.term() && index == request.chunk().index() && total == request.total();
    }

    private void begin(Message.InstallSnapshotRequest request) {
        clear();
        leaderTerm = request.term();
        index = request.chunk().index();
        term = request.chunk().term();
        total = request.total();
    }

    private void append(byte[] more) {
        if (receivedBytes + more.length > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.min(total, Math.max(2 * bytes.length, receivedBytes + more.length)));
        }
        System.arraycopy(more, 0, bytes, receivedBytes, more.length);
        receivedBytes += more.length;
    }
}

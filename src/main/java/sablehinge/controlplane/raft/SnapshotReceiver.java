package sablehinge.controlplane.raft;

import java.util.Arrays;
import java.util.List;

/**
 * Assembles the chunks of a leader's snapshot in memory; an incomplete snapshot is neither used nor written to disk. It
 * assembles one snapshot at a time, of the latest leader that sent one. The buffer grows with the received bytes and
 * not by the announced length.
 */
final class SnapshotReceiver {

    /** Maximum size of a state that is assembled, bytes. */
    static final int MAX_BYTES = 64 << 20;

    private static final byte[] EMPTY = {};

    private long leaderTerm;
    private long index;
    private long term;
    private int total;
    private byte[] bytes = EMPTY;
    private int receivedBytes;

    /**
     * Receives a chunk.
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
        if (!isPartOfCurrent(request)) {
            begin(request);
        }
        // A duplicate chunk, or one that arrives before its predecessor, is ignored.
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

    /** Number of bytes received so far of the snapshot that this chunk belongs to. */
    int receivedBytes(Message.InstallSnapshotRequest request) {
        return isPartOfCurrent(request) ? receivedBytes : 0;
    }

    /** Discards the chunks received so far. */
    void clear() {
        leaderTerm = 0;
        index = 0;
        total = 0;
        bytes = EMPTY;
        receivedBytes = 0;
    }

    private boolean isPartOfCurrent(Message.InstallSnapshotRequest request) {
        return leaderTerm == request.term() && index == request.chunk().index() && total == request.total();
    }

    private void begin(Message.InstallSnapshotRequest request) {
        clear();
        leaderTerm = request.term();
        index = request.chunk().index();
        term = request.chunk().term();
        total = request.total();
    }

    private void append(byte[] data) {
        if (receivedBytes + data.length > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.min(total, Math.max(2 * bytes.length, receivedBytes + data.length)));
        }
        System.arraycopy(data, 0, bytes, receivedBytes, data.length);
        receivedBytes += data.length;
    }
}

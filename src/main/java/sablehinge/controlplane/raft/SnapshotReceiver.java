package sablehinge.controlplane.raft;

import java.util.Arrays;
import java.util.List;

/**
 * Puts the chunks of a leader's snapshot together, in memory: nothing of it counts before it is whole, so nothing of it
 * is on disk either. It holds one snapshot at a time, that of the latest leader that sent one; its memory grows with
 * the bytes that came, not with the length that was named.
 */
final class SnapshotReceiver {

    /** The largest state that is put together, bytes. */
    static final int MOST_BYTES = 64 << 20;

    private static final byte[] NOTHING = {};

    private long leaderTerm;
    private long index;
    private long term;
    private int total;
    private byte[] bytes = NOTHING;
    private int held;

    /**
     * Takes a chunk.
     *
     * @return the snapshot if this chunk makes it whole, else null
     */
    Snapshot take(Message.InstallSnapshotRequest install) {
        Snapshot part = install.part();
        if (install.isComplete()) {
            clear();
            return part;
        }
        if (install.total() > MOST_BYTES || install.offset() + part.state().length > install.total()) {
            return null;
        }
        if (!isOf(install)) {
            begin(install);
        }
        // One that comes twice, or before the one that it follows, brings nothing.
        if (install.offset() == held) {
            append(part.state());
        }
        if (held < total) {
            return null;
        }
        List<Member> members = part.members();
        Snapshot whole = new Snapshot(index, term, members, Arrays.copyOf(bytes, held));
        clear();
        return whole;
    }

    /** Up to which byte the state of this chunk's snapshot is here. */
    int held(Message.InstallSnapshotRequest install) {
        return isOf(install) ? held : 0;
    }

    /** Forgets what came so far. */
    void clear() {
        leaderTerm = 0;
        index = 0;
        total = 0;
        bytes = NOTHING;
        held = 0;
    }

    private boolean isOf(Message.InstallSnapshotRequest install) {
        return leaderTerm == install.term() && index == install.part().index() && total == install.total();
    }

    private void begin(Message.InstallSnapshotRequest install) {
        clear();
        leaderTerm = install.term();
        index = install.part().index();
        term = install.part().term();
        total = install.total();
    }

    private void append(byte[] more) {
        if (held + more.length > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.min(total, Math.max(2 * bytes.length, held + more.length)));
        }
        System.arraycopy(more, 0, bytes, held, more.length);
        held += more.length;
    }
}

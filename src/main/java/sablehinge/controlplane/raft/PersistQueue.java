package sablehinge.controlplane.raft;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** What goes to the disk, what has arrived there, and the messages that wait for it. */
final class PersistQueue {

    /** Changes that the disk is given at a time; what is decided while it has them goes in one after them. */
    private static final int MAX_BATCHES = 8;
    /** Bytes of entries and states that wait for the disk, above which no more are to be taken. */
    private static final long MAX_PENDING_BYTES = 8 << 20;
    /** Messages that wait for the disk; of more, the oldest is lost, as any message may be. */
    private static final int MAX_PENDING_MESSAGES = 256;

    private static final class PendingBatch {
        final long number;
        final long term;
        final double since;
        final long bytes;
        long end;

        PendingBatch(long number, long term, long end, double since, long bytes) {
            this.number = number;
            this.term = term;
            this.end = end;
            this.since = since;
            this.bytes = bytes;
        }
    }

    private record PendingMessage(long number, Member to, Message message) {}

    private final Deque<PendingBatch> pendingBatches = new ArrayDeque<>();
    private final Deque<PendingMessage> pendingMessages = new ArrayDeque<>();
    private final List<PendingMessage> newMessages = new ArrayList<>();
    private final List<Entry> append = new ArrayList<>();
    private long truncateFrom;
    private Snapshot snapshot;
    private boolean dirty;
    private long number;
    /** Up to here the disk holds what the log in memory holds. */
    private long syncedIndex;
    /** The term that the disk knows. */
    private long syncedTerm;

    void begin(long index, long term) {
        syncedIndex = index;
        syncedTerm = term;
    }

    long syncedIndex() {
        return syncedIndex;
    }

    long syncedTerm() {
        return syncedTerm;
    }

    /** Since when the oldest change is under way; infinity if none is, ms. */
    double busySince() {
        return pendingBatches.isEmpty() ? Double.POSITIVE_INFINITY : pendingBatches.peekFirst().since;
    }

    /** Whether so much waits for the disk that no more is to be taken. */
    boolean isFull() {
        long bytes = bytes();
        for (PendingBatch one : pendingBatches) {
            bytes += one.bytes;
        }
        return bytes > MAX_PENDING_BYTES;
    }

    /** Of what goes into the next change. */
    private long bytes() {
        long bytes = snapshot == null ? 0 : snapshot.state().length;
        for (Entry entry : append) {
            bytes += entry.data().length;
        }
        return bytes;
    }

    /** The term or the vote has changed. */
    void markDirty() {
        dirty = true;
    }

    void append(Entry entry) {
        dirty = true;
        append.add(entry);
    }

    void truncate(long from) {
        dirty = true;
        truncateFrom = truncateFrom == 0 ? from : Math.min(truncateFrom, from);
        append.removeIf(entry -> entry.index() >= from);
        limitSyncedTo(from);
    }

    /** What is on the way to the disk from an index on, or there, does not count any more. */
    private void limitSyncedTo(long from) {
        syncedIndex = Math.min(syncedIndex, from - 1);
        for (PendingBatch one : pendingBatches) {
            one.end = Math.min(one.end, from - 1);
        }
    }

    void snapshot(Snapshot taken) {
        dirty = true;
        snapshot = taken;
        append.removeIf(entry -> entry.index() <= taken.index());
    }

    /** A message that may not leave before all that was decided up to now is synced. */
    void sendWhenSynced(Member to, Message message) {
        newMessages.add(new PendingMessage(0, to, message));
    }

    /** Makes the next change, if there is any, and sends what need not wait. */
    void flush(double now, long term, long votedFor, long lastIndex, RaftActions actions) {
        WriteBatch batch = null;
        if (dirty && pendingBatches.size() < MAX_BATCHES) {
            batch = new WriteBatch(++number, term, votedFor, truncateFrom, append, snapshot);
            pendingBatches.addLast(new PendingBatch(number, term, lastIndex, now, bytes()));
            append.clear();
            truncateFrom = 0;
            snapshot = null;
            dirty = false;
        }
        for (PendingMessage one : newMessages) {
            pendingMessages.addLast(new PendingMessage(dirty ? number + 1 : number, one.to, one.message));
            if (pendingMessages.size() > MAX_PENDING_MESSAGES) {
                pendingMessages.removeFirst();
            }
        }
        newMessages.clear();
        if (batch != null) {
            actions.persist(batch);
        }
        release(actions);
    }

    /** The disk holds all changes up to a number. */
    void persisted(long upTo, RaftActions actions) {
        while (!pendingBatches.isEmpty() && pendingBatches.peekFirst().number <= upTo) {
            PendingBatch one = pendingBatches.removeFirst();
            syncedIndex = Math.max(syncedIndex, one.end);
            syncedTerm = one.term;
        }
        release(actions);
    }

    private void release(RaftActions actions) {
        long done = pendingBatches.isEmpty() ? number : pendingBatches.peekFirst().number - 1;
        while (!pendingMessages.isEmpty() && pendingMessages.peekFirst().number <= done) {
            PendingMessage one = pendingMessages.removeFirst();
            actions.send(one.to, one.message);
        }
    }
}

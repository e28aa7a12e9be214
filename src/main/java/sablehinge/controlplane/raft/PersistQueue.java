package sablehinge.controlplane.raft;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Passes changes to the disk in batches, tracks what is synced, and delays messages until the changes that they depend
 * on are synced.
 */
final class PersistQueue {

    /** Maximum number of outstanding batches; changes that arrive in the meantime are combined into the next batch. */
    private static final int MAX_BATCHES = 8;
    /** Pending bytes of entries and snapshots above which the queue is full. */
    private static final long MAX_PENDING_BYTES = 8 << 20;
    /**
     * Maximum number of messages that wait for the disk; beyond it the oldest is dropped, as any message may be lost.
     */
    private static final int MAX_PENDING_MESSAGES = 256;

    private static final class PendingBatch {
        final long number;
        final long term;
        final double queuedAt;
        final long bytes;
        long lastIndex;

        PendingBatch(long number, long term, long lastIndex, double queuedAt, long bytes) {
            this.number = number;
            this.term = term;
            this.lastIndex = lastIndex;
            this.queuedAt = queuedAt;
            this.bytes = bytes;
        }
    }

    private record PendingMessage(long number, Member to, Message message) {}

    private final Deque<PendingBatch> pendingBatches = new ArrayDeque<>();
    private final Deque<PendingMessage> pendingMessages = new ArrayDeque<>();
    private final List<PendingMessage> newMessages = new ArrayList<>();
    private final List<Entry> newEntries = new ArrayList<>();
    private long truncateFrom;
    private Snapshot snapshot;
    private boolean dirty;
    private long lastNumber;
    /** The index up to which the disk matches the log in memory. */
    private long syncedIndex;
    /** The latest term that is on disk. */
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

    /** When the oldest outstanding batch was passed to the disk, ms; infinite if there is none. */
    double busySince() {
        return pendingBatches.isEmpty() ? Double.POSITIVE_INFINITY : pendingBatches.peekFirst().queuedAt;
    }

    /** Whether so many bytes are pending that no more entries should be added. */
    boolean isFull() {
        long bytes = nextBatchBytes();
        for (PendingBatch batch : pendingBatches) {
            bytes += batch.bytes;
        }
        return bytes > MAX_PENDING_BYTES;
    }

    /** Size of the entries and the snapshot for the next batch. */
    private long nextBatchBytes() {
        long bytes = snapshot == null ? 0 : snapshot.state().length;
        for (Entry entry : newEntries) {
            bytes += entry.data().length;
        }
        return bytes;
    }

    /** Notes that the term or the vote has changed. */
    void markDirty() {
        dirty = true;
    }

    void append(Entry entry) {
        dirty = true;
        newEntries.add(entry);
    }

    void truncate(long from) {
        dirty = true;
        truncateFrom = truncateFrom == 0 ? from : Math.min(truncateFrom, from);
        newEntries.removeIf(entry -> entry.index() >= from);
        limitSyncedTo(from);
    }

    /** Entries from an index on no longer count, whether on disk or in outstanding batches. */
    private void limitSyncedTo(long from) {
        syncedIndex = Math.min(syncedIndex, from - 1);
        for (PendingBatch batch : pendingBatches) {
            batch.lastIndex = Math.min(batch.lastIndex, from - 1);
        }
    }

    void snapshot(Snapshot newSnapshot) {
        dirty = true;
        snapshot = newSnapshot;
        newEntries.removeIf(entry -> entry.index() <= newSnapshot.index());
    }

    /** Sends a message once all changes up to now are synced. */
    void sendWhenSynced(Member to, Message message) {
        newMessages.add(new PendingMessage(0, to, message));
    }

    /** Passes the next batch to the disk, if there are changes, and sends the messages that need not wait. */
    void flush(double now, long term, long votedFor, long lastIndex, RaftActions actions) {
        WriteBatch batch = null;
        if (dirty && pendingBatches.size() < MAX_BATCHES) {
            batch = new WriteBatch(++lastNumber, term, votedFor, truncateFrom, newEntries, snapshot);
            pendingBatches.addLast(new PendingBatch(lastNumber, term, lastIndex, now, nextBatchBytes()));
            newEntries.clear();
            truncateFrom = 0;
            snapshot = null;
            dirty = false;
        }
        for (PendingMessage pending : newMessages) {
            pendingMessages.addLast(
                    new PendingMessage(dirty ? lastNumber + 1 : lastNumber, pending.to, pending.message));
            if (pendingMessages.size() > MAX_PENDING_MESSAGES) {
                pendingMessages.removeFirst();
            }
        }
        newMessages.clear();
        if (batch != null) {
            actions.persist(batch);
        }
        sendReady(actions);
    }

    /** All batches up to a number are on disk. */
    void persisted(long upTo, RaftActions actions) {
        while (!pendingBatches.isEmpty() && pendingBatches.peekFirst().number <= upTo) {
            PendingBatch batch = pendingBatches.removeFirst();
            syncedIndex = Math.max(syncedIndex, batch.lastIndex);
            syncedTerm = batch.term;
        }
        sendReady(actions);
    }

    private void sendReady(RaftActions actions) {
        long syncedNumber = pendingBatches.isEmpty() ? lastNumber : pendingBatches.peekFirst().number - 1;
        while (!pendingMessages.isEmpty() && pendingMessages.peekFirst().number <= syncedNumber) {
            PendingMessage pending = pendingMessages.removeFirst();
            actions.send(pending.to, pending.message);
        }
    }
}

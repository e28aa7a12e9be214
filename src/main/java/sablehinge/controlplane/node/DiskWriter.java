package sablehinge.controlplane.node;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.logging.Log;
import sablehinge.controlplane.raft.Member;
import sablehinge.controlplane.raft.PersistedState;
import sablehinge.controlplane.raft.WriteBatch;

/**
 * Writes batches in order and retries failed writes without limit; callers see a failing disk as a slow one. After a
 * failure the store is closed, and after a backoff it is reopened from the disk's content: the batch that was in flight
 * is either there or is written again. No batch is reported before it is synced, and none twice. All calls are made on
 * one thread; the caller bounds the number of pending batches.
 */
final class DiskWriter {

    /** The owner of the writer; all methods are called on the disk's thread. */
    interface Callbacks {
        /** The monotonic clock in ms. */
        double now();

        /** Runs {@code writePending} on the disk's thread after a delay. */
        void schedule(double delayMs, Runnable writePending);

        /** The member that this node becomes, as its disk holds none; called once. */
        Member memberForEmptyDisk(boolean isCorrupt);

        /**
         * Whether a member that is not on disk yet is a founder of the core. A founder's identity is written together
         * with its first batch, in one commit; any other member's is written before everything else.
         */
        boolean isFounder(Member self);

        /** The store is open. {@code stored} is null if the disk held no member before. */
        void opened(Member self, PersistedState stored);

        /** All batches up to a number are on disk. */
        void persisted(long number);

        /** Reported data is missing, or a batch doesn't follow the stored state: the member can't continue. */
        void stateLost(StoreException error);
    }

    private static final Logger LOG = LoggerFactory.getLogger(DiskWriter.class);

    private final Supplier<RaftStore> opener;
    private final Callbacks callbacks;
    private final RetryBackoff backoff = new RetryBackoff();
    private final Deque<WriteBatch> pendingBatches = new ArrayDeque<>();
    private RaftStore store;
    private Member self;
    private boolean initialized;
    /** Whether the member's identity is to be written with the next batch. */
    private boolean bootstrapPending;

    private boolean waitingForRetry;
    private boolean closed;
    /** The store's version after the last batch that was reported. */
    private long version;

    private volatile double busySince = Double.POSITIVE_INFINITY;

    /** A writer to the stores that {@code opener} opens, which throws a {@link StoreException} on failure. */
    DiskWriter(Supplier<RaftStore> opener, Callbacks callbacks) {
        this.opener = opener;
        this.callbacks = callbacks;
    }

    /** Opens the store, and retries until that succeeds. */
    void open() {
        writePending();
    }

    /** Writes a batch, and retries until that succeeds. */
    void write(WriteBatch batch) {
        pendingBatches.addLast(batch);
        writePending();
    }

    /** Closes the store; no batch is written any more. */
    void close() {
        closed = true;
        if (store != null) {
            store.close();
            store = null;
        }
    }

    /** When the current opening or write began, in ms; infinity if there is none. May be called on any thread. */
    double busySince() {
        return busySince;
    }

    private void writePending() {
        if (waitingForRetry || closed) {
            return;
        }
        try {
            busySince = callbacks.now();
            if (store == null) {
                RaftStore opened = opener.get();
                store = opened;
                verifyOpened(opened);
            }
            while (!pendingBatches.isEmpty()) {
                busySince = callbacks.now();
                write();
                batchPersisted();
            }
            logRecovery();
        } catch (StoreException e) {
            handleFailure(e);
        } finally {
            busySince = Double.POSITIVE_INFINITY;
        }
    }

    private void write() {
        if (bootstrapPending) {
            store.bootstrap(self, pendingBatches.peekFirst());
        } else {
            store.write(pendingBatches.peekFirst());
        }
    }

    /** Compares the content of a reopened store with what was reported. */
    private void verifyOpened(RaftStore opened) {
        if (!initialized) {
            initialize(opened);
            return;
        }
        boolean inFlightPersisted = opened.version() == version + 1 && !pendingBatches.isEmpty();
        Member expected = bootstrapPending && !inFlightPersisted ? null : self;
        if (!Objects.equals(expected, opened.self()) || opened.version() != version && !inFlightPersisted) {
            throw new StoreException(
                    StoreException.Code.LOST,
                    "the disk holds commit " + opened.version() + " of " + opened.self() + "; commit " + version
                            + " of " + expected + " was reported",
                    null);
        }
        if (inFlightPersisted) {
            batchPersisted();
        }
    }

    private void initialize(RaftStore opened) {
        PersistedState stored = opened.load();
        if (stored == null) {
            if (self == null) {
                self = callbacks.memberForEmptyDisk(opened.isCorrupt());
            }
            bootstrapPending = callbacks.isFounder(self);
            if (!bootstrapPending) {
                opened.initialize(self);
            }
        } else if (stored.self().equals(self)) {
            // The write of the identity was reported as failed, but reached the disk.
            stored = null;
        } else {
            self = stored.self();
        }
        initialized = true;
        version = opened.version();
        callbacks.opened(self, stored);
    }

    private void batchPersisted() {
        bootstrapPending = false;
        version = store.version();
        callbacks.persisted(pendingBatches.removeFirst().number());
    }

    private void logRecovery() {
        int failures = backoff.failures();
        long failingForMs = Math.round(backoff.failingForMs(callbacks.now()));
        if (backoff.recordRecovery()) {
            Log.info(LOG, "disk-well")
                    .addKeyValue("refusals", failures)
                    .addKeyValue("ms", failingForMs)
                    .log("the disk accepts writes again");
        }
    }

    private void handleFailure(StoreException e) {
        if (store != null) {
            store.close();
            store = null;
        }
        if (e.code() == StoreException.Code.ORDER || e.code() == StoreException.Code.LOST) {
            closed = true;
            callbacks.stateLost(e);
            return;
        }
        double now = callbacks.now();
        if (backoff.recordFailure(now, e.code())) {
            Log.warn(LOG, "disk-refuses")
                    .addKeyValue("code", e.code())
                    .addKeyValue("refusals", backoff.failures())
                    .addKeyValue("ms", Math.round(backoff.failingForMs(now)))
                    .addKeyValue("waiting", pendingBatches.size())
                    .log("the disk failed; retries: {}", e.getMessage());
        }
        waitingForRetry = true;
        callbacks.schedule(backoff.delayMs(), () -> {
            waitingForRetry = false;
            writePending();
        });
    }
}

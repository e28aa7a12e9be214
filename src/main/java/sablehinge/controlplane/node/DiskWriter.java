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
 * Writes batches, in order, however often the disk refuses: to whoever waits for them a disk that refuses is one that
 * stalls. After a refusal the store is closed, and after a pause opened from what is on disk; the change that was under
 * way is there, or it is written again. None is reported before it is synced, and none twice. All calls are made on one
 * thread; how many changes wait is bounded by who makes them.
 */
final class DiskWriter {

    /** Whom it works for; all of it is called on the disk's thread. */
    interface Callbacks {
        /** A steady clock, ms. */
        double now();

        /** Calls back after some ms. */
        void later(double ms, Runnable writePending);

        /** Who this machine is to be, as the disk holds nobody; called once. */
        Member memberForEmptyDisk(boolean isCorrupt);

        /**
         * Whether a member that the disk does not hold yet is one of those that found the core. Its name goes to the
         * disk with its first change, in one commit; that of any other before all else.
         */
        boolean isFounder(Member self);

        /** The disk is open and holds who this is; {@code stored} is null if it held nobody before. */
        void opened(Member self, PersistedState stored);

        /** The disk holds all changes up to a number. */
        void persisted(long number);

        /** What was reported is gone, or a change doesn't follow: this one can't go on as who it was. */
        void stateLost(StoreException why);
    }

    private static final Logger LOG = LoggerFactory.getLogger(DiskWriter.class);

    private final Supplier<RaftStore> opener;
    private final Callbacks callbacks;
    private final RetryBackoff backoff = new RetryBackoff();
    private final Deque<WriteBatch> waiting = new ArrayDeque<>();
    private RaftStore store;
    private Member self;
    private boolean initialized;
    /** Whether the disk is to get the name with the next change. */
    private boolean foundingPending;

    private boolean waitingForRetry;
    private boolean closed;
    /** The store's version with all changes that were reported. */
    private long version;

    private volatile double busySince = Double.POSITIVE_INFINITY;

    /** Opens the store with each call of {@code opener}; that throws a {@link StoreException} if it can't. */
    DiskWriter(Supplier<RaftStore> opener, Callbacks callbacks) {
        this.opener = opener;
        this.callbacks = callbacks;
    }

    /** Opens the store, now or when the disk lets it. */
    void open() {
        writePending();
    }

    /** Writes a change, now or when the disk takes it. */
    void write(WriteBatch change) {
        waiting.addLast(change);
        writePending();
    }

    /** Writes nothing any more. */
    void close() {
        closed = true;
        if (store != null) {
            store.close();
            store = null;
        }
    }

    /** Since when the disk has been at one opening or change, ms; infinity if at none. For any thread. */
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
                verifyReopened(opened);
            }
            while (!waiting.isEmpty()) {
                busySince = callbacks.now();
                write();
                completed();
            }
            recovered();
        } catch (StoreException e) {
            refused(e);
        } finally {
            busySince = Double.POSITIVE_INFINITY;
        }
    }

    private void write() {
        if (foundingPending) {
            store.found(self, waiting.peekFirst());
        } else {
            store.write(waiting.peekFirst());
        }
    }

    /** Finds out what is on disk. */
    private void verifyReopened(RaftStore opened) {
        if (!initialized) {
            begin(opened);
            return;
        }
        boolean landed = opened.version() == version + 1 && !waiting.isEmpty();
        Member expected = foundingPending && !landed ? null : self;
        if (!Objects.equals(expected, opened.self()) || opened.version() != version && !landed) {
            throw new StoreException(
                    StoreException.Code.LOST,
                    "it holds commit " + opened.version() + " of " + opened.self() + "; commit " + version + " of "
                            + expected + " was reported",
                    null);
        }
        if (landed) {
            completed();
        }
    }

    private void begin(RaftStore opened) {
        PersistedState stored = opened.load();
        if (stored == null) {
            if (self == null) {
                self = callbacks.memberForEmptyDisk(opened.isCorrupt());
            }
            foundingPending = callbacks.isFounder(self);
            if (!foundingPending) {
                opened.begin(self);
            }
        } else if (stored.self().equals(self)) {
            // Its beginning was refused, and has arrived all the same.
            stored = null;
        } else {
            self = stored.self();
        }
        initialized = true;
        version = opened.version();
        callbacks.opened(self, stored);
    }

    private void completed() {
        foundingPending = false;
        version = store.version();
        callbacks.persisted(waiting.removeFirst().number());
    }

    private void recovered() {
        int refusals = backoff.refusals();
        long ms = Math.round(backoff.failingForMs(callbacks.now()));
        if (backoff.recovered()) {
            Log.info(LOG, "disk-well")
                    .addKeyValue("refusals", refusals)
                    .addKeyValue("ms", ms)
                    .log("the disk takes writes again");
        }
    }

    private void refused(StoreException e) {
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
        if (backoff.refused(now, e.code())) {
            Log.warn(LOG, "disk-refuses")
                    .addKeyValue("code", e.code())
                    .addKeyValue("refusals", backoff.refusals())
                    .addKeyValue("ms", Math.round(backoff.failingForMs(now)))
                    .addKeyValue("waiting", waiting.size())
                    .log("the disk refuses, and is tried again: {}", e.getMessage());
        }
        waitingForRetry = true;
        callbacks.later(backoff.pause(), () -> {
            waitingForRetry = false;
            writePending();
        });
    }
}

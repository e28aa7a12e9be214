package sablehinge.controlplane.node;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.type.ByteArrayDataType;
import org.h2.mvstore.type.LongDataType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.logging.Log;
import sablehinge.controlplane.raft.Entry;
import sablehinge.controlplane.raft.Member;
import sablehinge.controlplane.raft.PersistedState;
import sablehinge.controlplane.raft.Snapshot;
import sablehinge.controlplane.raft.WriteBatch;

/**
 * The persistent state of a member of the core: its identity, its vote and its log. The store is a single file,
 * {@code log.mv.db}, of H2's MVStore. Calls must not overlap; no call leaves a thread behind.
 *
 * <p>When {@link #initialize}, {@link #bootstrap} or {@link #write} returns, the written data survives a power loss;
 * until then the disk holds either the previous state or all of the change. A failed write closes the store. Opening it
 * again finds one of the two states, rewrites and syncs it, and {@link #version} tells which one it is. A new file is
 * created under a temporary name, so {@code log.mv.db} is always complete. A corrupt file is kept as
 * {@code log.mv.db.damaged}; while that file exists and no member has been stored after it, {@link #isCorrupt} is true,
 * also in later processes.
 */
public final class RaftStore implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(RaftStore.class);

    static final String FILE = "log.mv.db";
    static final String NEW_FILE = FILE + ".new";
    static final String CORRUPT_FILE = FILE + ".damaged";

    private static final long SELF = 1;
    private static final long VOTE = 2;
    private static final long SNAPSHOT = 1;
    /** Writes compact the file only while it is larger than this. */
    private static final long COMPACTION_MIN_FILE_BYTES = 64L << 20;
    /** The percentage of live bytes in the chunks below which some chunks are rewritten. */
    private static final int COMPACTION_FILL_PERCENT = 50;
    /** The maximum number of bytes that one write rewrites. */
    private static final int COMPACTION_BYTES_PER_WRITE = 1 << 20;

    private final MVStore store;
    private final MVMap<Long, byte[]> state;
    private final MVMap<Long, byte[]> snapshots;
    private final MVMap<Long, byte[]> entries;
    private final boolean isCorrupt;
    private Member self;
    private long term;
    private long votedFor;
    private Snapshot snapshot;
    /** The index of the last entry, or of the snapshot if no entry follows it. */
    private long lastIndex;

    private boolean closed;

    /**
     * Opens the store in a directory, and creates both if they don't exist.
     *
     * @throws StoreException {@code LOCKED} if another process has the store open, {@code UNREADABLE} if it can't be
     *     read, {@code REFUSED} if it can't be created or recovered
     */
    public static RaftStore open(Path directory) {
        try {
            return open(new SystemDisk(directory));
        } catch (IOException e) {
            throw new StoreException(
                    StoreException.Code.REFUSED, "can't create directory " + directory + ": " + e.getMessage(), e);
        }
    }

    static RaftStore open(Disk disk) {
        try {
            if (disk.has(FILE)) {
                // The rename may not be on disk yet: the process ended, or the sync failed, right after it.
                disk.sync();
                try {
                    return new RaftStore(disk, FILE, disk.has(CORRUPT_FILE));
                } catch (CorruptStoreException e) {
                    Log.error(LOG, "disk-damaged")
                            .addKeyValue("file", disk.file(FILE))
                            .addKeyValue("cause", e.getMessage())
                            .log(
                                    "the log is corrupt; it is kept as {}, and the state of this member is lost",
                                    CORRUPT_FILE);
                    disk.rename(FILE, CORRUPT_FILE);
                    disk.sync();
                }
            }
            disk.delete(NEW_FILE);
            new RaftStore(disk, NEW_FILE, false).close();
            disk.rename(NEW_FILE, FILE);
            disk.sync();
            return new RaftStore(disk, FILE, disk.has(CORRUPT_FILE));
        } catch (IOException e) {
            throw new StoreException(StoreException.Code.REFUSED, e.getMessage(), e);
        }
    }

    private RaftStore(Disk disk, String name, boolean corruptFileExists) throws CorruptStoreException {
        String file = VerifyingFilePath.h2Name(disk.file(name));
        MVStore opened = null;
        VerifyingFileChannel channel = null;
        try {
            // No background thread, no automatic commit and no compression. The cache is small because nothing
            // of the log is read twice.
            opened = new MVStore.Builder()
                    .fileName(file)
                    .autoCommitDisabled()
                    .autoCommitBufferSize(0)
                    .autoCompactFillRate(0)
                    .cacheSize(1)
                    .cacheConcurrency(1)
                    .open();
            channel = VerifyingFilePath.removeChannel(file);
            // A negative retention time makes MVStore reuse space by commits and not by the wall clock: space
            // that commit N no longer needs is reused from the third commit after it on. Only the last commit
            // can be torn, so the commit before it is always complete, whatever the wall clock did.
            opened.setRetentionTime(-1);
            opened.setVersionsToKeep(2);
            if (name.equals(FILE) && channel.version() < 0) {
                throw new CorruptStoreException("the file is empty");
            }
            RaftStoreRecovery.check(opened, channel);
            state = map(opened, "state");
            snapshots = map(opened, "snapshots");
            entries = map(opened, "entries");
            store = opened;
            if (channel.version() < 0) {
                opened.commit();
                opened.sync();
            }
            readState();
        } catch (RuntimeException | IOException e) {
            VerifyingFileChannel openedChannel = channel == null ? VerifyingFilePath.removeChannel(file) : channel;
            closeAfterFailure(opened, openedChannel);
            throw RaftStoreRecovery.classify(file, openedChannel != null && openedChannel.isRecovering(), e);
        }
        isCorrupt = corruptFileExists && self == null;
    }

    private static MVMap<Long, byte[]> map(MVStore store, String name) {
        return store.openMap(
                name,
                new MVMap.Builder<Long, byte[]>().keyType(LongDataType.INSTANCE).valueType(ByteArrayDataType.INSTANCE));
    }

    private static void closeAfterFailure(MVStore store, VerifyingFileChannel channel) {
        if (store != null) {
            closeQuietly(store);
        }
        if (channel != null) {
            try {
                channel.close();
            } catch (IOException e) {
                LOG.debug("failed to close after an error", e);
            }
        }
    }

    private void readState() throws IOException {
        byte[] selfBytes = state.get(SELF);
        self = selfBytes == null ? null : RaftStoreCodec.readSelf(selfBytes);
        byte[] voteBytes = state.get(VOTE);
        if (voteBytes != null) {
            RaftStoreCodec.Vote stored = RaftStoreCodec.readVote(voteBytes);
            term = stored.term();
            votedFor = stored.votedFor();
        }
        byte[] snapshotBytes = snapshots.get(SNAPSHOT);
        if (snapshotBytes != null) {
            snapshot = RaftStoreCodec.readSnapshot(snapshotBytes);
        }
        long first = snapshot == null ? 1 : snapshot.index() + 1;
        lastIndex = first - 1 + entries.sizeAsLong();
        if (!entries.isEmpty() && (entries.firstKey() != first || entries.lastKey() != lastIndex)) {
            throw new CorruptStoreException("found entries " + entries.firstKey() + " to " + entries.lastKey()
                    + ", but " + first + " to " + lastIndex + " are expected");
        }
    }

    /** The member that is stored on this disk; null if there is none. */
    Member self() {
        return self;
    }

    /** The number of commits on disk, which each write increments by one, also across processes. */
    long version() {
        return store.getCurrentVersion();
    }

    /** Whether this node's state was lost; the node must then join as a new member. */
    public boolean isCorrupt() {
        return isCorrupt;
    }

    /**
     * The stored state; null if no member is stored yet.
     *
     * @throws StoreException {@code CLOSED}, or {@code UNREADABLE} if the disk fails
     */
    public PersistedState load() {
        requireOpen();
        if (self == null) {
            return null;
        }
        try {
            List<Entry> loaded = new ArrayList<>();
            for (Map.Entry<Long, byte[]> stored : entries.entrySet()) {
                loaded.add(RaftStoreCodec.readEntry(stored.getKey(), stored.getValue()));
            }
            return new PersistedState(self, term, votedFor, snapshot, loaded);
        } catch (RuntimeException e) {
            throw new StoreException(StoreException.Code.UNREADABLE, e.getMessage(), e);
        }
    }

    /**
     * Writes the member's identity, once.
     *
     * @throws StoreException {@code ORDER} if a member is stored already, {@code CLOSED}, {@code REFUSED}
     */
    public void initialize(Member member) {
        requireOpen();
        requireUninitialized();
        commit(() -> {
            state.put(SELF, RaftStoreCodec.writeSelf(member));
            self = member;
        });
    }

    /**
     * Writes a founder's identity and its first batch atomically: a founder whose identity is on disk also has its
     * bootstrap batch there, even after a power loss.
     *
     * @throws StoreException {@code ORDER} if a member is stored already, or if the batch doesn't fit an empty log;
     *     {@code CLOSED}, {@code REFUSED}
     */
    public void bootstrap(Member member, WriteBatch firstBatch) {
        requireOpen();
        requireUninitialized();
        long newLastIndex = lastIndexAfter(firstBatch);
        commit(() -> {
            state.put(SELF, RaftStoreCodec.writeSelf(member));
            self = member;
            apply(firstBatch);
            lastIndex = newLastIndex;
        });
    }

    private void requireUninitialized() {
        if (self != null) {
            throw orderException("member " + self.id() + " is stored already");
        }
    }

    /**
     * Writes a batch atomically.
     *
     * @throws StoreException {@code ORDER} if the batch doesn't follow the stored state, {@code CLOSED},
     *     {@code REFUSED}
     */
    public void write(WriteBatch batch) {
        requireOpen();
        if (self == null) {
            throw orderException("no member is stored");
        }
        long newLastIndex = lastIndexAfter(batch);
        commit(() -> {
            apply(batch);
            lastIndex = newLastIndex;
        });
    }

    /** The last index after a batch; fails if the batch doesn't follow the stored state. */
    private long lastIndexAfter(WriteBatch batch) {
        long base = snapshot == null ? 0 : snapshot.index();
        if (batch.truncateFrom() != 0 && batch.truncateFrom() <= base && batch.snapshot() == null) {
            throw orderException(
                    "can't truncate from " + batch.truncateFrom() + ": the snapshot covers entries up to " + base);
        }
        long endIndex =
                batch.truncateFrom() == 0 ? lastIndex : Math.max(base, Math.min(lastIndex, batch.truncateFrom() - 1));
        if (batch.snapshot() != null) {
            if (batch.snapshot().index() < base) {
                throw orderException(
                        "snapshot " + batch.snapshot().index() + " is older than the stored snapshot " + base);
            }
            boolean continuesLog =
                    !batch.append().isEmpty() && batch.append().get(0).index() == endIndex + 1;
            if (!continuesLog) {
                endIndex = Math.max(endIndex, batch.snapshot().index());
            }
        }
        for (Entry entry : batch.append()) {
            if (entry.index() != endIndex + 1) {
                throw orderException("entry " + entry.index() + " doesn't follow entry " + endIndex);
            }
            endIndex++;
        }
        return batch.snapshot() == null
                ? endIndex
                : Math.max(endIndex, batch.snapshot().index());
    }

    private static StoreException orderException(String message) {
        return new StoreException(StoreException.Code.ORDER, message, null);
    }

    private void apply(WriteBatch batch) {
        if (batch.term() != term || batch.votedFor() != votedFor) {
            state.put(VOTE, RaftStoreCodec.writeVote(batch.term(), batch.votedFor()));
            term = batch.term();
            votedFor = batch.votedFor();
        }
        if (batch.truncateFrom() != 0) {
            removeEntries(batch.truncateFrom(), lastIndex);
        }
        long base = snapshot == null ? 0 : snapshot.index();
        if (batch.snapshot() != null) {
            removeEntries(base + 1, batch.snapshot().index());
            snapshots.put(SNAPSHOT, RaftStoreCodec.writeSnapshot(batch.snapshot()));
            snapshot = batch.snapshot();
            base = snapshot.index();
        }
        for (Entry entry : batch.append()) {
            if (entry.index() > base) {
                entries.put(entry.index(), RaftStoreCodec.writeEntry(entry));
            }
        }
    }

    private void removeEntries(long from, long to) {
        if (entries.isEmpty()) {
            return;
        }
        long first = Math.max(from, entries.firstKey());
        long endIndex = Math.min(to, entries.lastKey());
        if (first == entries.firstKey() && endIndex == entries.lastKey()) {
            entries.clear();
            return;
        }
        for (long index = first; index <= endIndex; index++) {
            entries.remove(index);
        }
    }

    private void commit(Runnable writes) {
        try {
            writes.run();
            if (store.getFileStore().size() > COMPACTION_MIN_FILE_BYTES
                    && store.getFileStore().getChunksFillRate() < COMPACTION_FILL_PERCENT) {
                store.compact(COMPACTION_FILL_PERCENT, COMPACTION_BYTES_PER_WRITE);
            }
            if (store.hasUnsavedChanges()) {
                // commit writes the chunk on this thread before it returns; sync forces the file to disk.
                store.commit();
                store.sync();
            }
        } catch (RuntimeException | Error e) {
            // The state in memory may have half of the change, and after a failed sync a second one may falsely
            // succeed: only reopening the file shows what is on disk.
            close();
            throw new StoreException(StoreException.Code.REFUSED, e.getMessage(), e);
        }
    }

    private void requireOpen() {
        if (closed) {
            throw new StoreException(StoreException.Code.CLOSED, "the store is closed", null);
        }
    }

    /** Closes the file without a write: every completed write is on disk already. */
    @Override
    public void close() {
        if (!closed) {
            closed = true;
            closeQuietly(store);
        }
    }

    private static void closeQuietly(MVStore store) {
        try {
            store.closeImmediately();
        } catch (RuntimeException e) {
            LOG.debug("failed to close after an error", e);
        }
    }
}

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
 * What a member of the core has on its disk: who it is, its vote, its log. One file, {@code log.mv.db}, of H2's
 * MVStore. All calls are one thread's, at least not at the same time; none leaves a thread behind.
 *
 * <p>When {@link #begin} or {@link #write} returns, what it was given survives a loss of power; until then the disk
 * holds what it did before or all of the change. After a refusal the store is closed; who opens it again finds the one
 * or the other, written anew, and {@link #version} tells which. An empty file is made under another name, so a file
 * {@code log.mv.db} is always complete. One that is corrupt is kept as {@code log.mv.db.damaged}; as long as that is
 * there and nothing was begun after it, {@link #isCorrupt} says so, in later processes also.
 */
public final class RaftStore implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(RaftStore.class);

    static final String FILE = "log.mv.db";
    static final String NEW_FILE = FILE + ".new";
    static final String CORRUPT_FILE = FILE + ".damaged";

    private static final long SELF = 1;
    private static final long VOTE = 2;
    private static final long SNAPSHOT = 1;
    /** A file longer than this, in bytes, is made less sparse as it is written. */
    private static final long COMPACTION_MIN_FILE_BYTES = 64L << 20;
    /** Of the chunks' bytes, those still in use in percent under which some are written anew. */
    private static final int COMPACTION_FILL_PERCENT = 50;
    /** How much is written anew with one change, at most, in bytes. */
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
    /** The last entry's index, or the snapshot's where none follows it. */
    private long last;

    private boolean closed;

    /**
     * Opens the store in a folder, and makes both if need be.
     *
     * @throws StoreException {@code LOCKED} if another process has it, {@code UNREADABLE} if the disk doesn't let it be
     *     read, {@code REFUSED} if it doesn't let it be made or mended
     */
    public static RaftStore open(Path folder) {
        try {
            return open(new SystemDisk(folder));
        } catch (IOException e) {
            throw new StoreException(
                    StoreException.Code.REFUSED, "folder " + folder + " can't be made: " + e.getMessage(), e);
        }
    }

    static RaftStore open(Disk disk) {
        try {
            if (disk.has(FILE)) {
                // It may have got its name just before an end, or before a sync that was refused.
                disk.sync();
                try {
                    return new RaftStore(disk, FILE, disk.has(CORRUPT_FILE));
                } catch (CorruptStoreException e) {
                    Log.error(LOG, "disk-damaged")
                            .addKeyValue("file", disk.file(FILE))
                            .addKeyValue("cause", e.getMessage())
                            .log(
                                    "the log is damaged; it is kept as {}, and what this member had is lost",
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
        String file = VerifyingFilePath.name(disk.file(name));
        MVStore opened = null;
        VerifyingFileChannel channel = null;
        try {
            // No thread, no commit but this class's, no compression; nothing of the log is read twice, so the
            // cache is small.
            opened = new MVStore.Builder()
                    .fileName(file)
                    .autoCommitDisabled()
                    .autoCommitBufferSize(0)
                    .autoCompactFillRate(0)
                    .cacheSize(1)
                    .cacheConcurrency(1)
                    .open();
            channel = VerifyingFilePath.taken(file);
            // Space is used again by commits, not by time: below zero, MVStore asks no clock, and what
            // commit N no longer needs is free from the third after it on. A torn commit is always the
            // last, so the one before it has lost nothing of its own, whatever the time of day did between
            // the two.
            opened.setRetentionTime(-1);
            opened.setVersionsToKeep(2);
            if (name.equals(FILE) && channel.version() < 0) {
                throw new CorruptStoreException("it is empty");
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
            read();
        } catch (RuntimeException | IOException e) {
            VerifyingFileChannel left = channel == null ? VerifyingFilePath.taken(file) : channel;
            abandon(opened, left);
            throw RaftStoreRecovery.classify(file, left != null && left.isRecovering(), e);
        }
        isCorrupt = corruptFileExists && self == null;
    }

    private static MVMap<Long, byte[]> map(MVStore store, String name) {
        return store.openMap(
                name,
                new MVMap.Builder<Long, byte[]>().keyType(LongDataType.INSTANCE).valueType(ByteArrayDataType.INSTANCE));
    }

    private static void abandon(MVStore store, VerifyingFileChannel channel) {
        if (store != null) {
            shut(store);
        }
        if (channel != null) {
            try {
                channel.close();
            } catch (IOException e) {
                LOG.debug("closing after an error", e);
            }
        }
    }

    private void read() throws IOException {
        byte[] who = state.get(SELF);
        self = who == null ? null : RaftStoreCodec.readSelf(who);
        byte[] vote = state.get(VOTE);
        if (vote != null) {
            RaftStoreCodec.Vote stored = RaftStoreCodec.readVote(vote);
            term = stored.term();
            votedFor = stored.votedFor();
        }
        byte[] image = snapshots.get(SNAPSHOT);
        if (image != null) {
            snapshot = RaftStoreCodec.readSnapshot(image);
        }
        long first = snapshot == null ? 1 : snapshot.index() + 1;
        last = first - 1 + entries.sizeAsLong();
        if (!entries.isEmpty() && (entries.firstKey() != first || entries.lastKey() != last)) {
            throw new CorruptStoreException("entries " + entries.firstKey() + " to " + entries.lastKey() + " where "
                    + first + " to " + last + " are expected");
        }
    }

    /** Who began on this disk; null if nobody has. */
    Member self() {
        return self;
    }

    /** Counts up by one with each change that is on disk, in this process and over all of them. */
    long version() {
        return store.getCurrentVersion();
    }

    /** Whether what this machine had was lost; it then has to come back as another member. */
    public boolean isCorrupt() {
        return isCorrupt;
    }

    /**
     * What the disk holds; null if it holds nothing yet.
     *
     * @throws StoreException {@code CLOSED}, or {@code UNREADABLE} if the disk fails
     */
    public PersistedState load() {
        open();
        if (self == null) {
            return null;
        }
        try {
            List<Entry> all = new ArrayList<>();
            for (Map.Entry<Long, byte[]> one : entries.entrySet()) {
                all.add(RaftStoreCodec.readEntry(one.getKey(), one.getValue()));
            }
            return new PersistedState(self, term, votedFor, snapshot, all);
        } catch (RuntimeException e) {
            throw new StoreException(StoreException.Code.UNREADABLE, e.getMessage(), e);
        }
    }

    /**
     * Writes who this member is, once.
     *
     * @throws StoreException {@code ORDER} if it is someone already, {@code CLOSED}, {@code REFUSED}
     */
    public void begin(Member member) {
        open();
        requireNobody();
        commit(() -> {
            state.put(SELF, RaftStoreCodec.writeSelf(member));
            self = member;
        });
    }

    /**
     * Writes who this member is together with its first change, both or neither: a founder that has its name has its
     * founding, whenever power is lost.
     *
     * @throws StoreException {@code ORDER} if it is someone already, or the change doesn't follow on an empty log;
     *     {@code CLOSED}, {@code REFUSED}
     */
    public void found(Member member, WriteBatch founding) {
        open();
        requireNobody();
        long next = follows(founding);
        commit(() -> {
            state.put(SELF, RaftStoreCodec.writeSelf(member));
            self = member;
            apply(founding);
            last = next;
        });
    }

    private void requireNobody() {
        if (self != null) {
            throw order("it is member " + self.id() + " already");
        }
    }

    /**
     * Writes a batch, all of it or nothing.
     *
     * @throws StoreException {@code ORDER} if it doesn't follow on what is held, {@code CLOSED}, {@code REFUSED}
     */
    public void write(WriteBatch change) {
        open();
        if (self == null) {
            throw order("nobody has begun");
        }
        long next = follows(change);
        commit(() -> {
            apply(change);
            last = next;
        });
    }

    /** The last index after a change. */
    private long follows(WriteBatch change) {
        long base = snapshot == null ? 0 : snapshot.index();
        if (change.truncateFrom() != 0 && change.truncateFrom() <= base && change.snapshot() == null) {
            throw order("entries from " + change.truncateFrom() + " are in the snapshot to " + base);
        }
        long end = change.truncateFrom() == 0 ? last : Math.max(base, Math.min(last, change.truncateFrom() - 1));
        if (change.snapshot() != null) {
            if (change.snapshot().index() < base) {
                throw order("a snapshot to " + change.snapshot().index() + " after one to " + base);
            }
            boolean joins = !change.append().isEmpty() && change.append().get(0).index() == end + 1;
            if (!joins) {
                end = Math.max(end, change.snapshot().index());
            }
        }
        for (Entry entry : change.append()) {
            if (entry.index() != end + 1) {
                throw order("entry " + entry.index() + " after " + end);
            }
            end++;
        }
        return change.snapshot() == null ? end : Math.max(end, change.snapshot().index());
    }

    private static StoreException order(String message) {
        return new StoreException(StoreException.Code.ORDER, message, null);
    }

    private void apply(WriteBatch change) {
        if (change.term() != term || change.votedFor() != votedFor) {
            state.put(VOTE, RaftStoreCodec.writeVote(change.term(), change.votedFor()));
            term = change.term();
            votedFor = change.votedFor();
        }
        if (change.truncateFrom() != 0) {
            drop(change.truncateFrom(), last);
        }
        long base = snapshot == null ? 0 : snapshot.index();
        if (change.snapshot() != null) {
            drop(base + 1, change.snapshot().index());
            snapshots.put(SNAPSHOT, RaftStoreCodec.writeSnapshot(change.snapshot()));
            snapshot = change.snapshot();
            base = snapshot.index();
        }
        for (Entry entry : change.append()) {
            if (entry.index() > base) {
                entries.put(entry.index(), RaftStoreCodec.writeEntry(entry));
            }
        }
    }

    private void drop(long from, long to) {
        if (entries.isEmpty()) {
            return;
        }
        long first = Math.max(from, entries.firstKey());
        long end = Math.min(to, entries.lastKey());
        if (first == entries.firstKey() && end == entries.lastKey()) {
            entries.clear();
            return;
        }
        for (long index = first; index <= end; index++) {
            entries.remove(index);
        }
    }

    private void commit(Runnable changes) {
        try {
            changes.run();
            if (store.getFileStore().size() > COMPACTION_MIN_FILE_BYTES
                    && store.getFileStore().getChunksFillRate() < COMPACTION_FILL_PERCENT) {
                store.compact(COMPACTION_FILL_PERCENT, COMPACTION_BYTES_PER_WRITE);
            }
            if (store.hasUnsavedChanges()) {
                // The chunk is written by this thread when commit returns; sync is the file's force.
                store.commit();
                store.sync();
            }
        } catch (RuntimeException | Error e) {
            // What is in memory may be half of the change, and a sync that failed once may say nothing when
            // called again: only the disk knows, when it is opened anew.
            close();
            throw new StoreException(StoreException.Code.REFUSED, e.getMessage(), e);
        }
    }

    private void open() {
        if (closed) {
            throw new StoreException(StoreException.Code.CLOSED, "the store is closed", null);
        }
    }

    /** Closes the file and writes nothing: all that was written is on disk already. */
    @Override
    public void close() {
        if (!closed) {
            closed = true;
            shut(store);
        }
    }

    private static void shut(MVStore store) {
        try {
            store.closeImmediately();
        } catch (RuntimeException e) {
            LOG.debug("closing after an error", e);
        }
    }
}

package sablehinge.controlplane.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sablehinge.controlplane.raft.Entry;
import sablehinge.controlplane.raft.Member;
import sablehinge.controlplane.raft.PersistedState;
import sablehinge.controlplane.raft.Snapshot;
import sablehinge.controlplane.raft.WriteBatch;

class RaftStoreTest {

    private static final Member SELF = Member.founder("10.0.0.1:7000", "10.0.0.1:7001");

    @TempDir
    Path directory;

    private static Entry entry(long index, int size) {
        byte[] data = new byte[size];
        Arrays.fill(data, (byte) index);
        return new Entry(index, 1, Entry.Kind.COMMAND, data);
    }

    private static WriteBatch append(long... indexes) {
        return new WriteBatch(
                1, 1, 0, 0, Arrays.stream(indexes).mapToObj(i -> entry(i, 100)).toList(), null);
    }

    private static List<Long> indexes(RaftStore store) {
        return store.load().entries().stream().map(Entry::index).toList();
    }

    @Test
    void keepsStateAcrossReopening() {
        try (RaftStore store = RaftStore.open(directory.resolve("a/b"))) {
            assertNull(store.load());
            assertFalse(store.isCorrupt());
            store.initialize(SELF);
            store.write(new WriteBatch(1, 7, 42, 0, List.of(entry(1, 10), entry(2, 300_000)), null));
        }
        try (RaftStore store = RaftStore.open(directory.resolve("a/b"))) {
            PersistedState stored = store.load();
            assertEquals(SELF, stored.self());
            assertEquals(7, stored.term());
            assertEquals(42, stored.votedFor());
            assertArrayEquals(entry(2, 300_000).data(), stored.entries().get(1).data());
            assertEquals(
                    StoreException.Code.LOCKED,
                    assertThrows(StoreException.class, () -> RaftStore.open(directory.resolve("a/b")))
                            .code());
        }
    }

    @Test
    void truncatesAndReplacesEntriesBySnapshot() {
        CrashDisk disk = new CrashDisk(1);
        try (RaftStore store = RaftStore.open(disk)) {
            store.initialize(SELF);
            store.write(append(1, 2, 3, 4, 5));
            store.write(new WriteBatch(2, 1, 0, 4, List.of(entry(4, 9)), null));
            assertEquals(List.of(1L, 2L, 3L, 4L), indexes(store));
            store.write(new WriteBatch(3, 1, 0, 0, List.of(), new Snapshot(2, 1, List.of(SELF), new byte[] {1})));
            assertEquals(List.of(3L, 4L), indexes(store));
            // A snapshot beyond the end of the log, with an entry after it.
            store.write(new WriteBatch(
                    4, 1, 0, 3, List.of(entry(11, 5)), new Snapshot(10, 1, List.of(SELF), new byte[] {2})));
        }
        try (RaftStore store = RaftStore.open(disk)) {
            assertEquals(List.of(11L), indexes(store));
            assertEquals(10, store.load().snapshot().index());
            assertThrows(StoreException.class, () -> store.write(new WriteBatch(1, 1, 0, 5, List.of(), null)));
            store.write(new WriteBatch(
                    2, 1, 0, 1, List.of(entry(21, 5)), new Snapshot(20, 1, List.of(SELF), new byte[] {3})));
            assertEquals(List.of(21L), indexes(store));
        }
    }

    @Test
    void rejectsBatchOutOfOrderAndStaysOpen() {
        try (RaftStore store = RaftStore.open(new CrashDisk(1))) {
            assertEquals(
                    StoreException.Code.ORDER,
                    assertThrows(StoreException.class, () -> store.write(append(1)))
                            .code());
            store.initialize(SELF);
            store.write(append(1, 2));
            assertThrows(StoreException.class, () -> store.initialize(SELF));
            assertThrows(StoreException.class, () -> store.write(append(4)));
            assertThrows(StoreException.class, () -> store.write(append(2)));
            store.write(append(3));
            assertEquals(List.of(1L, 2L, 3L), indexes(store));
        }
    }

    @Test
    void corruptFileIsRenamedAndReportedUntilMemberIsStored() {
        for (int kind = 0; kind < 4; kind++) {
            CrashDisk disk = new CrashDisk(kind);
            try (RaftStore store = RaftStore.open(disk)) {
                store.initialize(SELF);
                store.write(new WriteBatch(1, 1, 0, 0, List.of(entry(1, 20_000)), null));
                store.write(append(2));
                store.write(append(3));
                store.write(append(4));
            }
            byte[] bytes = disk.bytes(RaftStore.FILE).clone();
            if (kind == 0) {
                bytes = new byte[0];
            } else if (kind == 1) {
                bytes = new byte[100_000];
            } else if (kind == 2) {
                bytes = Arrays.copyOf(bytes, 9000);
            } else {
                for (int position = 0; position < bytes.length; position++) {
                    bytes[position] ^= position % 4096 == 2000 ? 1 : 0;
                }
            }
            disk.bytes(RaftStore.FILE, bytes);
            for (int attempt = 0; attempt < 2; attempt++) {
                try (RaftStore store = RaftStore.open(disk)) {
                    assertTrue(store.isCorrupt(), "kind " + kind);
                    assertNull(store.load());
                    assertTrue(disk.has(RaftStore.CORRUPT_FILE));
                }
            }
            try (RaftStore store = RaftStore.open(disk)) {
                store.initialize(Member.nonFounder(8, "10.0.0.1:7000", "10.0.0.1:7001"));
            }
            try (RaftStore store = RaftStore.open(disk)) {
                assertFalse(store.isCorrupt());
            }
        }
    }

    /** The header may be lost in a power loss, or point to a missing chunk; the store rewrites it. */
    @Test
    void recoversFromLostHeader() {
        CrashDisk disk = new CrashDisk(1);
        try (RaftStore store = RaftStore.open(disk)) {
            store.initialize(SELF);
            store.write(append(1, 2));
        }
        Arrays.fill(disk.bytes(RaftStore.FILE), 0, 8192, (byte) 0);
        try (RaftStore store = RaftStore.open(disk)) {
            assertFalse(store.isCorrupt());
            assertEquals(List.of(1L, 2L), indexes(store));
        }
    }

    @Test
    void failedWriteClosesStorePermanently() {
        CrashDisk disk = new CrashDisk(1);
        RaftStore store = RaftStore.open(disk);
        store.initialize(SELF);
        store.write(append(1, 2));
        disk.capacityBytes = disk.bytes(RaftStore.FILE).length + 20_000;
        StoreException full = assertThrows(
                StoreException.class, () -> store.write(new WriteBatch(2, 9, 9, 2, List.of(entry(2, 90_000)), null)));
        assertEquals(StoreException.Code.REFUSED, full.code());
        assertEquals(
                StoreException.Code.CLOSED,
                assertThrows(StoreException.class, () -> store.write(append(3))).code());
        disk.capacityBytes = Long.MAX_VALUE;
        try (RaftStore reopened = RaftStore.open(disk)) {
            assertEquals(List.of(1L, 2L), indexes(reopened));
            assertEquals(1, reopened.load().term());
        }
    }

    /** A failed or torn write may end at any byte, with older bytes after it. */
    @Test
    void commitThatEndsInOlderBytesIsTorn() {
        CrashDisk disk = new CrashDisk(1);
        RaftStore store = RaftStore.open(disk);
        store.initialize(SELF);
        store.write(append(1));
        byte[] before = disk.bytes(RaftStore.FILE).clone();
        store.write(append(2));
        byte[] after = disk.bytes(RaftStore.FILE).clone();
        store.close();
        int end = after.length;
        assertEquals(before.length + ChunkFooter.BLOCK_BYTES, end, "the last commit is the last block");
        for (int olderBytes = 1; olderBytes <= ChunkFooter.LENGTH_BYTES; olderBytes++) {
            byte[] torn = after.clone();
            Arrays.fill(torn, end - olderBytes, end, (byte) 'x');
            disk.bytes(RaftStore.FILE, torn);
            try (RaftStore recovered = RaftStore.open(disk)) {
                assertFalse(recovered.isCorrupt(), olderBytes + " bytes");
                assertEquals(List.of(1L), indexes(recovered), olderBytes + " bytes");
            }
        }
    }

    @Test
    void reusesFileSpace() throws Exception {
        int count = 2000;
        CrashDisk disk = new CrashDisk(1);
        long maxFileLength = 0;
        try (RaftStore store = RaftStore.open(disk)) {
            store.initialize(SELF);
            int forces = disk.forces;
            for (int i = 1; i <= count; i++) {
                Snapshot snapshot = i % 64 == 0 ? new Snapshot(i - 8, 1, List.of(SELF), new byte[200_000]) : null;
                store.write(new WriteBatch(i, 1, 0, 0, List.of(entry(i, 50_000)), snapshot));
                maxFileLength = Math.max(maxFileLength, disk.bytes(RaftStore.FILE).length);
            }
            assertTrue(disk.forces - forces <= count * 5 / 4, "syncs: " + (disk.forces - forces));
        }
        assertTrue(maxFileLength < 16L << 20, "longest file: " + maxFileLength);
    }

    @Test
    void newStoreLeavesNoThreadBehind() {
        RaftStore.open(directory).close();
        assertTrue(Files.exists(directory.resolve(RaftStore.FILE)));
        assertFalse(Files.exists(directory.resolve(RaftStore.NEW_FILE)));
        assertTrue(Thread.getAllStackTraces().keySet().stream()
                .noneMatch(t -> t.getName().contains("MVStore")));
    }
}

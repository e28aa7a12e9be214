package sablehinge.controlplane.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sablehinge.controlplane.raft.Entry;
import sablehinge.controlplane.raft.Member;
import sablehinge.controlplane.raft.MemberListCodec;
import sablehinge.controlplane.raft.PersistedState;
import sablehinge.controlplane.raft.WriteBatch;
import sablehinge.controlplane.state.ConfigurationState;

/**
 * Reads a store that an earlier version wrote (commit 8d0919f), before its classes were renamed: the stored format must
 * not depend on the names of classes or of their members.
 */
class StoredDataTest {

    private static final String STORE = "written-by-0.1.0/log.mv.db";
    private static final Member ONE = Member.founder("10.0.0.1:7780", "10.0.0.1:8367");
    private static final Member TWO = Member.founder("10.0.0.2:7780", "10.0.0.2:8367");
    private static final Member THREE = Member.founder("10.0.0.3:7780", "10.0.0.3:8367");
    private static final Member FOUR = Member.nonFounder(42, "10.0.0.4:7780", "10.0.0.4:8367");

    @TempDir
    Path directory;

    private RaftStore open() throws Exception {
        Path file = directory.resolve("log.mv.db");
        if (!Files.exists(file)) {
            try (InputStream in = StoredDataTest.class.getResourceAsStream(STORE)) {
                Files.copy(in, file);
            }
        }
        return RaftStore.open(directory);
    }

    @Test
    void readsStoreOfEarlierVersion() throws Exception {
        try (RaftStore store = open()) {
            assertFalse(store.isCorrupt());
            PersistedState stored = store.load();
            assertEquals(ONE, stored.self());
            assertEquals(5, stored.term());
            assertEquals(THREE.id(), stored.votedFor());
            assertEquals(20, stored.snapshot().index());
            assertEquals(2, stored.snapshot().term());
            assertEquals(List.of(ONE, TWO, THREE), stored.snapshot().members());
            List<Entry> entries = stored.entries();
            assertEquals(
                    List.of(21L, 22L, 23L), entries.stream().map(Entry::index).toList());
            assertEquals(List.of(3L, 3L, 4L), entries.stream().map(Entry::term).toList());
            assertEquals(
                    List.of(Entry.Kind.NOOP, Entry.Kind.COMMAND, Entry.Kind.MEMBERS),
                    entries.stream().map(Entry::kind).toList());
            assertEquals(
                    List.of(ONE, TWO, THREE, FOUR),
                    MemberListCodec.read(entries.get(2).data()));
        }
    }

    @Test
    void appliesSnapshotAndCommandsOfEarlierVersionWithHistory() throws Exception {
        try (RaftStore store = open()) {
            PersistedState stored = store.load();
            ConfigurationState state = new ConfigurationState();
            state.restore(stored.snapshot().state());
            assertEquals(9, state.edition());
            assertEquals(
                    ConfigurationState.Outcome.TAKEN,
                    state.apply(stored.entries().get(1).data()));
            assertEquals(12, state.edition());
            assertArrayEquals("{\"edition\":12}".getBytes(StandardCharsets.UTF_8), state.body());
            List<String> history = new ArrayList<>();
            state.read((edition, basedOn, at, length, digest) -> history.add(edition + " on " + basedOn + " at " + at));
            assertEquals(
                    List.of("7 on 0 at 1700000000000", "9 on 7 at 1700000001000", "12 on 9 at 1700000002000"), history);
        }
    }

    @Test
    void writesToStoreOfEarlierVersionSurviveReopening() throws Exception {
        Entry next = new Entry(24, 6, Entry.Kind.NOOP, new byte[0]);
        try (RaftStore store = open()) {
            store.write(new WriteBatch(1, 6, ONE.id(), 0, List.of(next), null));
        }
        try (RaftStore store = open()) {
            assertEquals(6, store.load().term());
            assertEquals(next.index(), store.load().entries().get(3).index());
        }
    }
}

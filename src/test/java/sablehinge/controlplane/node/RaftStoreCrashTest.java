package sablehinge.controlplane.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import sablehinge.controlplane.raft.Entry;
import sablehinge.controlplane.raft.Member;
import sablehinge.controlplane.raft.PersistedState;
import sablehinge.controlplane.raft.Snapshot;
import sablehinge.controlplane.raft.WriteBatch;

/** Loses power at each disk operation: the recovered state must be that before or after the write in flight. */
class RaftStoreCrashTest {

    static final Member SELF = Member.founder("10.0.0.1:7000", "10.0.0.1:7001");
    private static final int CHANGES = 24;

    /** A reference model of the store. */
    static final class Model {
        private final List<Entry> entries = new ArrayList<>();
        private Snapshot snapshot;
        private long term;
        private long votedFor;
        boolean initialized;

        private long lastIndex() {
            return entries.isEmpty()
                    ? snapshot == null ? 0 : snapshot.index()
                    : entries.get(entries.size() - 1).index();
        }

        void apply(WriteBatch batch) {
            term = batch.term();
            votedFor = batch.votedFor();
            if (batch.truncateFrom() != 0) {
                entries.removeIf(e -> e.index() >= batch.truncateFrom());
            }
            entries.addAll(batch.append());
            if (batch.snapshot() != null) {
                snapshot = batch.snapshot();
                entries.removeIf(e -> e.index() <= snapshot.index());
            }
        }

        String text() {
            return initialized
                    ? RaftStoreCrashTest.text(new PersistedState(SELF, term, votedFor, snapshot, entries))
                    : "nothing";
        }
    }

    static String text(PersistedState stored) {
        if (stored == null) {
            return "nothing";
        }
        StringBuilder text = new StringBuilder();
        text.append(stored.self()).append(' ').append(stored.term()).append(' ').append(stored.votedFor());
        if (stored.snapshot() != null) {
            text.append(" snapshot ")
                    .append(stored.snapshot().index())
                    .append(' ')
                    .append(stored.snapshot().term())
                    .append(stored.snapshot().members())
                    .append(Arrays.hashCode(stored.snapshot().state()));
        }
        for (Entry e : stored.entries()) {
            text.append(' ')
                    .append(e.index())
                    .append('/')
                    .append(e.term())
                    .append(e.kind())
                    .append(Arrays.hashCode(e.data()));
        }
        return text.toString();
    }

    /** The snapshot of another member, beyond the end of the log, with entries after it. */
    private static WriteBatch randomSnapshotInstall(Model model, int number, Random random) {
        long base = model.snapshot == null ? 0 : model.snapshot.index();
        long index = model.lastIndex() + 1 + random.nextInt(30);
        byte[] state = new byte[random.nextInt(200_000)];
        random.nextBytes(state);
        List<Entry> append = new ArrayList<>();
        for (int i = random.nextInt(3); i > 0; i--) {
            append.add(0, new Entry(index + i, number, Entry.Kind.NOOP, new byte[i]));
        }
        return new WriteBatch(
                number,
                number / 5,
                random.nextInt(2),
                model.entries.isEmpty() ? 0 : base + 1,
                append,
                new Snapshot(index, number, List.of(SELF), state));
    }

    static WriteBatch randomBatch(Model model, int number, Random random) {
        if (random.nextInt(8) == 0) {
            return randomSnapshotInstall(model, number, random);
        }
        long from = 0;
        long base = model.snapshot == null ? 0 : model.snapshot.index();
        long end = model.lastIndex();
        if (random.nextInt(6) == 0 && !model.entries.isEmpty()) {
            from = base + 1 + random.nextInt(model.entries.size());
            end = from - 1;
        }
        List<Entry> append = new ArrayList<>();
        for (int i = random.nextInt(4); i > 0; i--) {
            byte[] data = new byte[random.nextInt(4) == 0 ? random.nextInt(40_000) : random.nextInt(300)];
            random.nextBytes(data);
            append.add(new Entry(++end, number, Entry.Kind.values()[random.nextInt(3)], data));
        }
        Snapshot snapshot = null;
        if (random.nextInt(8) == 0 && end > base) {
            byte[] state = new byte[random.nextInt(60_000)];
            random.nextBytes(state);
            long index = base + 1 + random.nextInt((int) (end - base));
            snapshot = new Snapshot(index, number, List.of(SELF), state);
        }
        return new WriteBatch(number, number / 5, random.nextInt(2), from, append, snapshot);
    }

    /** Runs until the power loss; returns the states that recovery may find. */
    private static List<String> run(CrashDisk disk, Model model, Random random, int batchCount) {
        String before = model.text();
        try {
            RaftStore store = RaftStore.open(disk);
            assertFalse(store.isCorrupt());
            assertEquals(model.text(), text(store.load()));
            if (!model.initialized) {
                model.initialized = true;
                store.initialize(SELF);
            }
            for (int i = 1; i <= batchCount; i++) {
                before = model.text();
                WriteBatch batch = randomBatch(model, i, random);
                model.apply(batch);
                store.write(batch);
            }
            before = model.text();
            store.close();
        } catch (StoreException e) {
            assertTrue(disk.powerLost, e::toString);
        }
        return List.of(before, model.text());
    }

    private static int countSteps(long seed) {
        CrashDisk disk = new CrashDisk(seed);
        run(disk, new Model(), new Random(seed), CHANGES);
        return disk.steps;
    }

    @Test
    void recoversFromPowerLossAtEachStep() {
        for (long seed = 1; seed <= 2; seed++) {
            int steps = countSteps(seed);
            for (int at = 1; at <= steps; at++) {
                for (int fate = 0; fate < 2; fate++) {
                    crash(seed, at, fate);
                }
            }
        }
    }

    /** After a power loss during the first start, a founder has its identity and its bootstrap batch, or neither. */
    @Test
    void bootstrapIsAtomicUnderPowerLoss() {
        WriteBatch firstBatch = new WriteBatch(1, 0, 0, 0, List.of(), new Snapshot(0, 0, List.of(SELF), new byte[0]));
        int bootstrapped = 0;
        int empty = 0;
        boolean powerLost = true;
        for (int at = 1; powerLost; at++) {
            CrashDisk disk = new CrashDisk(at);
            disk.powerLossAt = at;
            try (RaftStore store = RaftStore.open(disk)) {
                store.bootstrap(SELF, firstBatch);
            } catch (StoreException e) {
                assertTrue(disk.powerLost, e::toString);
            }
            powerLost = disk.powerLost;
            disk.powerUp();
            try (RaftStore store = RaftStore.open(disk)) {
                PersistedState stored = store.load();
                empty += stored == null ? 1 : 0;
                bootstrapped += stored != null ? 1 : 0;
                assertTrue(
                        stored == null
                                || stored.self().equals(SELF)
                                        && stored.snapshot() != null
                                        && stored.snapshot().members().equals(List.of(SELF)),
                        "step " + at);
            }
        }
        assertTrue(bootstrapped > 1 && empty > 1, bootstrapped + " bootstrapped, " + empty + " empty");
    }

    private static void crash(long seed, int at, int fate) {
        String context = "seed " + seed + ", step " + at + ", fate " + fate;
        CrashDisk disk = new CrashDisk(seed * 1000_003 + at * 31L + fate);
        disk.powerLossAt = at;
        List<String> allowed = run(disk, new Model(), new Random(seed), CHANGES);
        disk.powerUp();
        // Loses power again during the recovery of the file.
        disk.powerLossAt = disk.steps + 1 + at % 3;
        try {
            RaftStore.open(disk).close();
        } catch (StoreException e) {
            assertTrue(disk.powerLost, context);
        }
        disk.powerUp();
        try (RaftStore store = RaftStore.open(disk)) {
            assertFalse(store.isCorrupt(), context);
            String recovered = text(store.load());
            assertTrue(allowed.contains(recovered), () -> context + ": found " + recovered + " of " + allowed);
        }
        // Reopening finds the same state, and further writes continue from it.
        try (RaftStore store = RaftStore.open(disk)) {
            PersistedState stored = store.load();
            assertTrue(allowed.contains(text(stored)), context);
            if (stored == null) {
                assertNull(stored);
                store.initialize(SELF);
                return;
            }
            Model model = new Model();
            model.initialized = true;
            model.snapshot = stored.snapshot();
            model.entries.addAll(stored.entries());
            for (int i = 1; i <= 4; i++) {
                WriteBatch batch = randomBatch(model, i, new Random(at + i));
                model.apply(batch);
                store.write(batch);
            }
            assertEquals(model.text(), text(store.load()), context);
        }
    }
}

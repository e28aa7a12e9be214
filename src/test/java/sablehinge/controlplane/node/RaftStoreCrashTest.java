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

/** The power goes at each step; what is read back is the state before or after the change in flight. */
class RaftStoreCrashTest {

    static final Member SELF = Member.founder("10.0.0.1:7000", "10.0.0.1:7001");
    private static final int CHANGES = 24;

    /** What a store should hold, kept in the simplest way. */
    static final class Model {
        private final List<Entry> entries = new ArrayList<>();
        private Snapshot snapshot;
        private long term;
        private long vote;
        boolean begun;

        private long last() {
            return entries.isEmpty()
                    ? snapshot == null ? 0 : snapshot.index()
                    : entries.get(entries.size() - 1).index();
        }

        void apply(WriteBatch change) {
            term = change.term();
            vote = change.votedFor();
            if (change.truncateFrom() != 0) {
                entries.removeIf(e -> e.index() >= change.truncateFrom());
            }
            entries.addAll(change.append());
            if (change.snapshot() != null) {
                snapshot = change.snapshot();
                entries.removeIf(e -> e.index() <= snapshot.index());
            }
        }

        String text() {
            return begun ? RaftStoreCrashTest.text(new PersistedState(SELF, term, vote, snapshot, entries)) : "nothing";
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

    /** Another's snapshot, further than the log is, and entries after it. */
    private static WriteBatch install(Model model, int number, Random random) {
        long base = model.snapshot == null ? 0 : model.snapshot.index();
        long index = model.last() + 1 + random.nextInt(30);
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

    static WriteBatch next(Model model, int number, Random random) {
        if (random.nextInt(8) == 0) {
            return install(model, number, random);
        }
        long from = 0;
        long base = model.snapshot == null ? 0 : model.snapshot.index();
        long end = model.last();
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

    /** Runs until the power goes; gives the texts of the states that may be found then. */
    private static List<String> run(CrashDisk disk, Model model, Random random, int changes) {
        String before = model.text();
        try {
            RaftStore store = RaftStore.open(disk);
            assertFalse(store.isCorrupt());
            assertEquals(model.text(), text(store.load()));
            if (!model.begun) {
                model.begun = true;
                store.initialize(SELF);
            }
            for (int i = 1; i <= changes; i++) {
                before = model.text();
                WriteBatch change = next(model, i, random);
                model.apply(change);
                store.write(change);
            }
            before = model.text();
            store.close();
        } catch (StoreException e) {
            assertTrue(disk.dead, e::toString);
        }
        return List.of(before, model.text());
    }

    private static int length(long seed) {
        CrashDisk disk = new CrashDisk(seed);
        run(disk, new Model(), new Random(seed), CHANGES);
        return disk.steps;
    }

    @Test
    void eachStepMayBeTheLast() {
        for (long seed = 1; seed <= 2; seed++) {
            int steps = length(seed);
            for (int at = 1; at <= steps; at++) {
                for (int fate = 0; fate < 2; fate++) {
                    crash(seed, at, fate);
                }
            }
        }
    }

    /** Whenever power is lost at the first start, a founder has its name and its founding, or nothing. */
    @Test
    void aFounderHasItsNameWithItsFoundingOrNeither() {
        WriteBatch founding = new WriteBatch(1, 0, 0, 0, List.of(), new Snapshot(0, 0, List.of(SELF), new byte[0]));
        int found = 0;
        int nothing = 0;
        boolean died = true;
        for (int at = 1; died; at++) {
            CrashDisk disk = new CrashDisk(at);
            disk.dieAt = at;
            try (RaftStore store = RaftStore.open(disk)) {
                store.bootstrap(SELF, founding);
            } catch (StoreException e) {
                assertTrue(disk.dead, e::toString);
            }
            died = disk.dead;
            disk.powerUp();
            try (RaftStore store = RaftStore.open(disk)) {
                PersistedState stored = store.load();
                nothing += stored == null ? 1 : 0;
                found += stored != null ? 1 : 0;
                assertTrue(
                        stored == null
                                || stored.self().equals(SELF)
                                        && stored.snapshot() != null
                                        && stored.snapshot().members().equals(List.of(SELF)),
                        "step " + at);
            }
        }
        assertTrue(found > 1 && nothing > 1, found + " found, " + nothing + " nothing");
    }

    private static void crash(long seed, int at, int fate) {
        String place = "seed " + seed + ", step " + at + ", fate " + fate;
        CrashDisk disk = new CrashDisk(seed * 1000_003 + at * 31L + fate);
        disk.dieAt = at;
        List<String> allowed = run(disk, new Model(), new Random(seed), CHANGES);
        disk.powerUp();
        // The power goes once more while the file is mended.
        disk.dieAt = disk.steps + 1 + at % 3;
        try {
            RaftStore.open(disk).close();
        } catch (StoreException e) {
            assertTrue(disk.dead, place);
        }
        disk.powerUp();
        try (RaftStore store = RaftStore.open(disk)) {
            assertFalse(store.isCorrupt(), place);
            String found = text(store.load());
            assertTrue(allowed.contains(found), () -> place + ": found " + found + " of " + allowed);
        }
        // What was found is found again, and goes on from there.
        try (RaftStore store = RaftStore.open(disk)) {
            PersistedState stored = store.load();
            assertTrue(allowed.contains(text(stored)), place);
            if (stored == null) {
                assertNull(stored);
                store.initialize(SELF);
                return;
            }
            Model model = new Model();
            model.begun = true;
            model.snapshot = stored.snapshot();
            model.entries.addAll(stored.entries());
            for (int i = 1; i <= 4; i++) {
                WriteBatch change = next(model, i, new Random(at + i));
                model.apply(change);
                store.write(change);
            }
            assertEquals(model.text(), text(store.load()), place);
        }
    }
}

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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sablehinge.controlplane.raft.Entry;
import sablehinge.controlplane.raft.Member;
import sablehinge.controlplane.raft.PersistedState;
import sablehinge.controlplane.raft.WriteBatch;

/** A disk that refuses for a while, at each of its steps in turn, on a made-up clock. */
class DiskWriterTest implements DiskWriter.Callbacks {

    private static final int CHANGES = 14;

    private CrashDisk disk;
    private DiskWriter diskWriter;
    private double now;
    private double wakesAt;
    private Runnable wakes;
    private int pauses;
    /** Whether the member's name goes to the disk with its first change. */
    private boolean isFounder;

    private int opened;
    private PersistedState found;
    private final List<Long> reported = new ArrayList<>();
    private StoreException stateLost;

    @Override
    public double now() {
        return now;
    }

    @Override
    public void schedule(double ms, Runnable writePending) {
        assertNull(wakes, "it waits already");
        pauses++;
        wakesAt = now + ms;
        wakes = writePending;
    }

    @Override
    public Member memberForEmptyDisk(boolean isCorrupt) {
        return RaftStoreCrashTest.SELF;
    }

    @Override
    public boolean isFounder(Member self) {
        return isFounder;
    }

    @Override
    public void opened(Member self, PersistedState stored) {
        assertEquals(RaftStoreCrashTest.SELF, self);
        opened++;
        found = stored;
    }

    @Override
    public void persisted(long number) {
        assertEquals(reported.size() + 1, number, "out of order, or twice");
        assertFalse(disk.dead || disk.refusing, "reported while the disk fails");
        reported.add(number);
    }

    @Override
    public void stateLost(StoreException why) {
        stateLost = why;
    }

    private void begins(long seed) {
        disk = new CrashDisk(seed);
        wakes = null;
        opened = 0;
        pauses = 0;
        reported.clear();
        diskWriter = new DiskWriter(() -> RaftStore.open(disk), this);
    }

    private boolean wake() {
        if (wakes == null || disk.dead) {
            return false;
        }
        Runnable next = wakes;
        wakes = null;
        now = wakesAt;
        next.run();
        return true;
    }

    /** The states after none, one, two and so on of all changes, which come while earlier ones wait. */
    private List<String> run(long seed) {
        Random random = new Random(seed);
        RaftStoreCrashTest.Model model = new RaftStoreCrashTest.Model();
        List<String> states = new ArrayList<>();
        diskWriter.open();
        model.begun = !isFounder;
        states.add(model.text());
        for (int i = 1; i <= CHANGES; i++) {
            WriteBatch change = RaftStoreCrashTest.next(model, i, random);
            model.begun = true;
            model.apply(change);
            states.add(model.text());
            if (!disk.dead) {
                diskWriter.write(change);
            }
            if (i % 3 == 0) {
                wake();
            }
        }
        for (int i = 0; i < 200 && wake(); i++) {
            assertNull(stateLost);
        }
        return states;
    }

    private String onDisk(String place) {
        try (RaftStore store = RaftStore.open(disk)) {
            assertFalse(store.isCorrupt(), place);
            return RaftStoreCrashTest.text(store.load());
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void whatWasReportedStaysAndTheRestFollowsInOrderWhereverTheDiskRefuses(boolean founder) {
        isFounder = founder;
        for (long seed = 1; seed <= 2; seed++) {
            begins(seed);
            run(seed);
            int steps = disk.steps;
            for (int at = 1; at <= steps; at++) {
                for (int length : new int[] {1, 2, 9, 40}) {
                    String place = "seed " + seed + ", steps " + at + " and on, " + length;
                    begins(seed * 7919 + at * 31L + length);
                    disk.refuseFrom = at;
                    disk.refuseTo = at + length;
                    List<String> states = run(seed);
                    // A file that can't be shortened at once is as good.
                    assertTrue(pauses > 0 || disk.refusedTruncations == length, place);
                    assertNull(stateLost, place);
                    assertEquals(CHANGES, reported.size(), place);
                    assertEquals(1, opened, place);
                    assertNull(found, place + ": it had begun in this life");
                    diskWriter.close();
                    assertEquals(states.get(CHANGES), onDisk(place), place);
                }
            }
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void whatWasReportedOutlivesALossOfPowerAtEachStepAfterARefusal(boolean founder) {
        isFounder = founder;
        for (long seed = 1; seed <= 2; seed++) {
            begins(seed);
            run(seed);
            int steps = disk.steps;
            for (int at = 1; at <= steps; at++) {
                for (int later = 0; later < 14; later++) {
                    int length = 1 + at % 3;
                    String place = "seed " + seed + ", step " + at + ", power " + later;
                    begins(seed * 104_729 + at * 31L + later);
                    disk.refuseFrom = at;
                    disk.refuseTo = at + length;
                    disk.dieAt = at + length + later;
                    List<String> states = run(seed);
                    int count = reported.size();
                    boolean had = opened > 0;
                    disk.powerUp();
                    String is = onDisk(place);
                    assertTrue(
                            is.equals(states.get(count))
                                    || count < CHANGES && had && is.equals(states.get(count + 1))
                                    || !had && is.equals("nothing"),
                            () -> place + ": after " + count + " " + is);
                }
            }
        }
    }

    @Test
    void aFullDiskIsWaitedForWithPausesThatGrowToABound() {
        begins(5);
        diskWriter.open();
        disk.room = disk.bytes(RaftStore.FILE).length;
        byte[] data = new byte[300_000];
        diskWriter.write(new WriteBatch(1, 1, 0, 0, List.of(new Entry(1, 1, Entry.Kind.COMMAND, data)), null));
        diskWriter.write(new WriteBatch(2, 2, 7, 0, List.of(), null));
        double start = now;
        double longest = 0;
        for (int i = 0; i < 100; i++) {
            double before = now;
            assertTrue(wake());
            longest = Math.max(longest, now - before);
        }
        assertEquals(RetryBackoff.MAX_DELAY_MS, longest);
        assertTrue(now - start > 90 * RetryBackoff.MAX_DELAY_MS, "paused for " + (now - start));
        assertEquals(List.of(), reported);
        disk.room = Long.MAX_VALUE;
        assertTrue(wake());
        assertEquals(List.of(1L, 2L), reported);
        assertNull(wakes);
    }

    @Test
    void aStoreThatIsFoundOlderThanWhatWasReportedIsNotGoneOnWith() {
        begins(6);
        diskWriter.open();
        diskWriter.write(new WriteBatch(1, 1, 7, 0, List.of(), null));
        byte[] older = Arrays.copyOf(disk.bytes(RaftStore.FILE), disk.bytes(RaftStore.FILE).length);
        diskWriter.write(new WriteBatch(2, 2, 8, 0, List.of(), null));
        disk.refuseFrom = disk.steps + 1;
        disk.refuseTo = disk.steps + 2;
        diskWriter.write(new WriteBatch(3, 3, 9, 0, List.of(), null));
        disk.bytes(RaftStore.FILE, older);
        wake();
        assertEquals(StoreException.Code.LOST, stateLost.code());
        assertEquals(List.of(1L, 2L), reported);
        assertFalse(wake());
    }

    @Test
    void aLineIsWorthItAtFirstAndForAnotherCodeAndOnceAMinute() {
        RetryBackoff backoff = new RetryBackoff();
        int lines = 0;
        for (int ms = 0; ms < 600_000; ms += 500) {
            lines += backoff.recordFailure(
                            ms, ms < 300_000 ? StoreException.Code.REFUSED : StoreException.Code.UNREADABLE)
                    ? 1
                    : 0;
        }
        assertEquals(10, lines);
        assertEquals(1200, backoff.failures());
        assertEquals(600_000, backoff.failingForMs(600_000));
        assertTrue(backoff.recordRecovery());
        assertTrue(backoff.recordFailure(600_001, StoreException.Code.UNREADABLE));
        assertEquals(RetryBackoff.INITIAL_DELAY_MS, backoff.delayMs());
        // A disk that is well in between, again and again, fills no log either.
        lines = 0;
        for (int ms = 600_001; ms < 660_001; ms += 10) {
            lines += backoff.recordRecovery() ? 1 : 0;
            lines += backoff.recordFailure(ms, StoreException.Code.REFUSED) ? 1 : 0;
        }
        assertEquals(23, lines);
    }
}

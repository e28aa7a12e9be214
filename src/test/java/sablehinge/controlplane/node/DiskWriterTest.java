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

/** A disk that fails for a while, at each of its operations in turn, on a simulated clock. */
class DiskWriterTest implements DiskWriter.Callbacks {

    private static final int BATCHES = 14;

    private CrashDisk disk;
    private DiskWriter diskWriter;
    private double now;
    private double retryAtMs;
    private Runnable retry;
    private int retries;
    /** Whether the member's identity is written with its first batch. */
    private boolean isFounder;

    private int opened;
    private PersistedState storedAtOpening;
    private final List<Long> reported = new ArrayList<>();
    private StoreException stateLost;

    @Override
    public double now() {
        return now;
    }

    @Override
    public void schedule(double delayMs, Runnable writePending) {
        assertNull(retry, "a retry is already scheduled");
        retries++;
        retryAtMs = now + delayMs;
        retry = writePending;
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
        storedAtOpening = stored;
    }

    @Override
    public void persisted(long number) {
        assertEquals(reported.size() + 1, number, "out of order, or twice");
        assertFalse(disk.powerLost || disk.failing, "reported while the disk fails");
        reported.add(number);
    }

    @Override
    public void stateLost(StoreException error) {
        stateLost = error;
    }

    private void reset(long seed) {
        disk = new CrashDisk(seed);
        retry = null;
        opened = 0;
        retries = 0;
        reported.clear();
        diskWriter = new DiskWriter(() -> RaftStore.open(disk), this);
    }

    private boolean runRetry() {
        if (retry == null || disk.powerLost) {
            return false;
        }
        Runnable task = retry;
        retry = null;
        now = retryAtMs;
        task.run();
        return true;
    }

    /** Writes all batches, some while earlier ones are pending; returns the state after each number of batches. */
    private List<String> run(long seed) {
        Random random = new Random(seed);
        RaftStoreCrashTest.Model model = new RaftStoreCrashTest.Model();
        List<String> states = new ArrayList<>();
        diskWriter.open();
        model.initialized = !isFounder;
        states.add(model.text());
        for (int i = 1; i <= BATCHES; i++) {
            WriteBatch batch = RaftStoreCrashTest.randomBatch(model, i, random);
            model.initialized = true;
            model.apply(batch);
            states.add(model.text());
            if (!disk.powerLost) {
                diskWriter.write(batch);
            }
            if (i % 3 == 0) {
                runRetry();
            }
        }
        for (int i = 0; i < 200 && runRetry(); i++) {
            assertNull(stateLost);
        }
        return states;
    }

    private String readDisk(String context) {
        try (RaftStore store = RaftStore.open(disk)) {
            assertFalse(store.isCorrupt(), context);
            return RaftStoreCrashTest.text(store.load());
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void writesAllBatchesInOrderDespiteDiskFailures(boolean founder) {
        isFounder = founder;
        for (long seed = 1; seed <= 2; seed++) {
            reset(seed);
            run(seed);
            int steps = disk.steps;
            for (int at = 1; at <= steps; at++) {
                for (int length : new int[] {1, 2, 9, 40}) {
                    String context = "seed " + seed + ", steps " + at + " and on, " + length;
                    reset(seed * 7919 + at * 31L + length);
                    disk.failFrom = at;
                    disk.failTo = at + length;
                    List<String> states = run(seed);
                    // A failed truncation alone needs no retry: a file that isn't shortened at once is valid, too.
                    assertTrue(retries > 0 || disk.failedTruncations == length, context);
                    assertNull(stateLost, context);
                    assertEquals(BATCHES, reported.size(), context);
                    assertEquals(1, opened, context);
                    assertNull(storedAtOpening, context + ": the member was initialized by this process");
                    diskWriter.close();
                    assertEquals(states.get(BATCHES), readDisk(context), context);
                }
            }
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void reportedBatchesSurvivePowerLossAfterDiskFailure(boolean founder) {
        isFounder = founder;
        for (long seed = 1; seed <= 2; seed++) {
            reset(seed);
            run(seed);
            int steps = disk.steps;
            for (int at = 1; at <= steps; at++) {
                for (int operationsUntilPowerLoss = 0; operationsUntilPowerLoss < 14; operationsUntilPowerLoss++) {
                    int length = 1 + at % 3;
                    String context = "seed " + seed + ", step " + at + ", power " + operationsUntilPowerLoss;
                    reset(seed * 104_729 + at * 31L + operationsUntilPowerLoss);
                    disk.failFrom = at;
                    disk.failTo = at + length;
                    disk.powerLossAt = at + length + operationsUntilPowerLoss;
                    List<String> states = run(seed);
                    int count = reported.size();
                    boolean wasOpened = opened > 0;
                    disk.powerUp();
                    String stored = readDisk(context);
                    assertTrue(
                            stored.equals(states.get(count))
                                    || count < BATCHES && wasOpened && stored.equals(states.get(count + 1))
                                    || !wasOpened && stored.equals("nothing"),
                            () -> context + ": after " + count + " " + stored);
                }
            }
        }
    }

    @Test
    void retriesFullDiskWithBoundedBackoff() {
        reset(5);
        diskWriter.open();
        disk.capacityBytes = disk.bytes(RaftStore.FILE).length;
        byte[] data = new byte[300_000];
        diskWriter.write(new WriteBatch(1, 1, 0, 0, List.of(new Entry(1, 1, Entry.Kind.COMMAND, data)), null));
        diskWriter.write(new WriteBatch(2, 2, 7, 0, List.of(), null));
        double start = now;
        double longestDelay = 0;
        for (int i = 0; i < 100; i++) {
            double before = now;
            assertTrue(runRetry());
            longestDelay = Math.max(longestDelay, now - before);
        }
        assertEquals(RetryBackoff.MAX_DELAY_MS, longestDelay);
        assertTrue(now - start > 90 * RetryBackoff.MAX_DELAY_MS, "paused for " + (now - start));
        assertEquals(List.of(), reported);
        disk.capacityBytes = Long.MAX_VALUE;
        assertTrue(runRetry());
        assertEquals(List.of(1L, 2L), reported);
        assertNull(retry);
    }

    @Test
    void stopsIfReopenedStoreIsOlderThanReported() {
        reset(6);
        diskWriter.open();
        diskWriter.write(new WriteBatch(1, 1, 7, 0, List.of(), null));
        byte[] older = Arrays.copyOf(disk.bytes(RaftStore.FILE), disk.bytes(RaftStore.FILE).length);
        diskWriter.write(new WriteBatch(2, 2, 8, 0, List.of(), null));
        disk.failFrom = disk.steps + 1;
        disk.failTo = disk.steps + 2;
        diskWriter.write(new WriteBatch(3, 3, 9, 0, List.of(), null));
        disk.bytes(RaftStore.FILE, older);
        runRetry();
        assertEquals(StoreException.Code.LOST, stateLost.code());
        assertEquals(List.of(1L, 2L), reported);
        assertFalse(runRetry());
    }

    @Test
    void logsFirstFailureEachNewCodeAndOncePerMinute() {
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
        // A disk that fails and recovers in turn must not flood the log either.
        lines = 0;
        for (int ms = 600_001; ms < 660_001; ms += 10) {
            lines += backoff.recordRecovery() ? 1 : 0;
            lines += backoff.recordFailure(ms, StoreException.Code.REFUSED) ? 1 : 0;
        }
        assertEquals(23, lines);
    }
}

package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Detection of process pauses before a signal. */
class PauseHistoryTest {

    private static final double PERIOD_MS = 100;
    private final PauseHistory pauses = new PauseHistory(PERIOD_MS);

    PauseHistoryTest() {
        pauses.tick(0);
    }

    @Test
    void reportsNoPauseBeforeFirstTick() {
        assertEquals(0, new PauseHistory(PERIOD_MS).recentPauseMs(5_000));
    }

    @Test
    void reportsNoPauseWhileTicksAreOnTime() {
        for (double now = 100; now <= 1_000; now += 100) {
            pauses.tick(now);
        }
        assertEquals(0, pauses.recentPauseMs(1_250));
    }

    /**
     * Under load, processes saw SIGTERM up to 1.3 s late and admitted requests for that much longer (found by a soak
     * run).
     */
    @Test
    void reportsPauseDuringAndShortlyAfterIt() {
        pauses.tick(100);
        assertEquals(1_200, pauses.recentPauseMs(1_400));
        pauses.tick(1_400);
        pauses.tick(1_500);
        assertEquals(1_200, pauses.recentPauseMs(1_600));
    }

    @Test
    void forgetsOldPause() {
        pauses.tick(1_400);
        for (double now = 1_500; now <= 2_500; now += 100) {
            pauses.tick(now);
        }
        assertEquals(0, pauses.recentPauseMs(2_500));
    }

    @Test
    void reportsLongestOfRecentPauses() {
        pauses.tick(1_000);
        pauses.tick(1_500);
        assertEquals(900, pauses.recentPauseMs(1_500));
        assertEquals(2_000, pauses.recentPauseMs(60_000));
    }
}

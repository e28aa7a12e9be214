package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** How long a process stood still before it saw its signal. */
class PauseHistoryTest {

    private static final double PERIOD_MS = 100;
    private final PauseHistory pauses = new PauseHistory(PERIOD_MS);

    PauseHistoryTest() {
        pauses.tick(0);
    }

    @Test
    void whenNoTickHasComeYetThenNothingIsLate() {
        assertEquals(0, new PauseHistory(PERIOD_MS).recentMs(5_000));
    }

    @Test
    void whenTicksComeInTimeThenThereIsNoPause() {
        for (double now = 100; now <= 1_000; now += 100) {
            pauses.tick(now);
        }
        assertEquals(0, pauses.recentMs(1_250));
    }

    /** The soak found it beside load: processes saw SIGTERM up to 1.3 s late, and took requests as much longer. */
    @Test
    void whenTheProcessStoodStillThenItsSignalMayHaveComeAsMuchEarlier() {
        pauses.tick(100);
        assertEquals(1_200, pauses.recentMs(1_400));
        pauses.tick(1_400);
        pauses.tick(1_500);
        assertEquals(1_200, pauses.recentMs(1_600));
    }

    @Test
    void whenAPauseIsLongOverThenItNoLongerCounts() {
        pauses.tick(1_400);
        for (double now = 1_500; now <= 2_500; now += 100) {
            pauses.tick(now);
        }
        assertEquals(0, pauses.recentMs(2_500));
    }

    @Test
    void whenPausesFollowOneAnotherThenTheLongestCounts() {
        pauses.tick(1_000);
        pauses.tick(1_500);
        assertEquals(900, pauses.recentMs(1_500));
        assertEquals(2_000, pauses.recentMs(60_000));
    }
}

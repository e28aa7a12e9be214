package sablehinge.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** When rounds of work may begin. */
class PacingTest {

    private final Pacing pacing = new Pacing();

    @Test
    void theFirstRoundBeginsAtOnce() {
        assertEquals(0, pacing.waits(0));
    }

    @Test
    void aRoundIsFollowedByAPauseAsLongAsItTook() {
        pacing.ended(100, 130);
        assertEquals(30, pacing.waits(130));
        assertEquals(1, pacing.waits(159));
        assertEquals(0, pacing.waits(160));
        assertEquals(0, pacing.waits(500));
    }

    @Test
    void aRoundThatTakesNoTimeIsFollowedByNoPause() {
        pacing.ended(100, 130);
        pacing.ended(200, 200);
        assertEquals(0, pacing.waits(200));
    }

    @Test
    void aRoundInWhichTheProcessStoodStillCostsNoLongPause() {
        pacing.ended(100, 20_100);
        assertEquals(Pacing.MOST_PAUSE_MS, pacing.waits(20_100));
    }
}

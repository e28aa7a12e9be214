package sablehinge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import sablehinge.sidecar.UpstreamLife.News;

/** Beats in all orders in which they may come. */
class UpstreamLifeTest {

    private final UpstreamLife life = new UpstreamLife();

    private News beat(String id, boolean unloading, int berths, long count) {
        return life.heard(new Beats.Beat(id, "d", "10.0.0.1:80", unloading, berths, 100 - (int) count, count));
    }

    @Test
    void aBeatThatWasOvertakenChangesNothing() {
        assertEquals(News.BEGAN, beat("i-1", false, 4, 1));
        assertEquals(News.RESIZED, beat("i-1", false, 6, 3));
        assertEquals(News.LATE, beat("i-1", false, 4, 2));
        assertEquals(6, life.latest().berths());
        assertEquals(99, life.latest().coldMs());
        assertEquals(News.ALIVE, beat("i-1", false, 6, 4));
        assertEquals(News.LATE, beat("i-1", false, 9, 3));
    }

    /** A copy of a beat is no later one, and says that the upstream lives. */
    @Test
    void aBeatThatComesTwiceIsTheSame() {
        beat("i-1", false, 4, 5);
        assertEquals(News.ALIVE, beat("i-1", false, 4, 5));
    }

    @Test
    void aLifeThatHasEndedNeverGoesOn() {
        beat("i-1", false, 4, 9);
        assertEquals(News.BEGAN, beat("i-2", false, 4, 1));
        assertEquals(News.LATE, beat("i-1", false, 4, 10));
        assertEquals("i-2", life.latest().id());
        assertEquals(News.ALIVE, beat("i-2", false, 4, 2));
    }

    @Test
    void thatItLeavesIsNotTakenBackAndHoldsEvenWhereItComesLate() {
        beat("i-1", false, 4, 1);
        assertEquals(News.ALIVE, beat("i-1", true, 4, 2));
        assertTrue(life.isLeaving());
        beat("i-1", false, 4, 3);
        assertTrue(life.isLeaving());
        assertEquals(News.BEGAN, beat("i-2", false, 4, 2));
        assertFalse(life.isLeaving());
        assertEquals(News.LATE, beat("i-2", true, 4, 1));
        assertTrue(life.isLeaving());
    }

    @Test
    void whoSignedOffIsHeardNoMoreEvenByAProcessThatDidNotKnowIt() {
        assertFalse(life.signedOff("i-1"));
        assertEquals(News.LATE, beat("i-1", false, 4, 7));
        assertEquals(News.BEGAN, beat("i-2", false, 4, 1));
        assertTrue(life.signedOff("i-2"));
        assertTrue(life.isLeaving());
        assertEquals(News.LATE, beat("i-2", false, 4, 2));
        assertTrue(life.isLeaving());
    }
}

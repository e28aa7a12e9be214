package sablehinge.dataplane.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ResponseProgressTest {

    private static final double STALL_MS = 300;

    private static ResponseProgress started(double stallTimeoutMs) {
        ResponseProgress progress = new ResponseProgress(new UpstreamTerms(stallTimeoutMs, 0, 0, false, false));
        progress.onStart(1_000);
        return progress;
    }

    /** LOST: the attempt ends with its deadline, so nothing else may end a silent response before. */
    @Test
    void silenceEndsNothingWithoutStallTimeout() {
        ResponseProgress progress = started(Double.POSITIVE_INFINITY);
        assertEquals(Double.POSITIVE_INFINITY, progress.failsAt());
        progress.onHead();
        assertEquals(Double.POSITIVE_INFINITY, progress.failsAt());
        assertEquals(Double.POSITIVE_INFINITY, progress.nextCheckAt(2_000));
    }

    @Test
    void relayedResponseMayBeSilentUntilDeadlineOnly() {
        ResponseProgress progress = started(Double.POSITIVE_INFINITY);
        progress.onHead();
        progress.onRelay(13_000);
        assertEquals(13_000, progress.failsAt());
        progress.onProgress(12_900);
        assertEquals(13_200, progress.failsAt());
        progress.onProgress(20_000);
        assertEquals(20_300, progress.failsAt());
        assertEquals(20_300, progress.nextCheckAt(20_000));
    }

    @Test
    void nextResponseBeginsAnew() {
        ResponseProgress progress = started(Double.POSITIVE_INFINITY);
        progress.onHead();
        progress.onRelay(13_000);
        progress.onStart(14_000);
        assertEquals(Double.POSITIVE_INFINITY, progress.failsAt());
    }

    @Test
    void headMayTakeFiveStallTimeoutsAndBodyMayTakeAnyTimeWithProgress() {
        ResponseProgress progress = started(STALL_MS);
        assertEquals(1_300, progress.failsAt());
        progress.onProgress(2_400);
        assertEquals(2_500, progress.failsAt());
        progress.onHead();
        assertEquals(2_700, progress.failsAt());
        progress.onProgress(9_000);
        assertEquals(9_300, progress.failsAt());
        assertEquals(9_500, progress.nextCheckAt(9_200));
    }

    @Test
    void relayedResponseMayStallForSixteenStallTimeouts() {
        ResponseProgress progress = started(STALL_MS);
        progress.onHead();
        progress.onRelay(1_100);
        assertEquals(5_800, progress.failsAt());
    }
}

package sablehinge.mesh.failuredetection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What one watcher makes of heartbeats; the time is the test's. */
class MonitorTest {

    private static final double TICK = 100;
    private final Monitor watch = new Monitor();
    private double now;

    MonitorTest() {
        watch.setWatched(0, List.of("a", "b"));
        heartbeat("a", 1);
        heartbeat("b", 1);
    }

    private boolean heartbeat(String node, int number) {
        return watch.onHeartbeat(now, node, 7, number);
    }

    /** Ticks until a time; returns who has come under suspicion. */
    private List<String> until(double end) {
        List<String> suspects = new ArrayList<>();
        while (now < end) {
            now += TICK;
            suspects.addAll(watch.tick(now));
        }
        return suspects;
    }

    @Test
    void whoMissesThreeBeatsIsSuspectedOnceAndAccusedOnceItIsKnownWhatAnswersThere() {
        until(600);
        heartbeat("b", 2);
        assertEquals(List.of(), until(900));
        assertEquals(List.of("a"), until(1_000));
        assertEquals(List.of(), until(1_400));
        assertEquals(List.of(), watch.suspicions());
        assertFalse(watch.onProbeResult(now, "b", SuspicionCause.RESET));
        assertTrue(watch.onProbeResult(now, "a", SuspicionCause.RESET));
        assertFalse(watch.onProbeResult(now, "a", SuspicionCause.SILENT));
        assertEquals(List.of(new Suspicion("a", SuspicionCause.RESET)), watch.suspicions());
    }

    @Test
    void aBeatTakesAnAccusationBackAtOnceUnlessALaterOneHadOvertakenIt() {
        heartbeat("a", 9);
        until(1_000);
        watch.onProbeResult(now, "a", SuspicionCause.SILENT);
        assertFalse(heartbeat("a", 8));
        assertFalse(heartbeat("a", 9));
        assertEquals(1, watch.suspicions().size());
        assertTrue(heartbeat("a", 10));
        assertEquals(List.of(), watch.suspicions());
        assertFalse(watch.onProbeResult(now, "a", SuspicionCause.SILENT));
    }

    @Test
    void aProcessThatHasStartedAgainCountsItsBeatsAnew() {
        heartbeat("a", 900);
        until(1_000);
        watch.onProbeResult(now, "a", SuspicionCause.RESET);
        assertTrue(watch.onHeartbeat(now, "a", 8, 1));
    }

    @Test
    void whoStoodStillItselfAccusesNobody() {
        until(1_000);
        watch.onProbeResult(now, "a", SuspicionCause.SILENT);
        now += 5_000;
        assertEquals(List.of(), watch.tick(now));
        assertEquals(List.of(), watch.suspicions());
        assertEquals(List.of(), until(now + 900));
        assertEquals(List.of("a", "b"), until(now + 100));
    }

    @Test
    void whoHasJustComeUnderWatchHasTimeToHearOfIt() {
        watch.setWatched(now, List.of("b", "c"));
        assertEquals(List.of("b"), until(Monitor.GRACE_MS + Monitor.SUSPECT_MS));
        assertEquals(List.of("c"), until(now + TICK));
        watch.onProbeResult(now, "c", SuspicionCause.SILENT);
        watch.setWatched(now, List.of("b"));
        assertEquals(List.of(), watch.suspicions());
    }

    @Test
    void whoNeverSpokeAndWhoseMachineIsThereMayNotKnowThatItShouldSpeak() {
        watch.setWatched(now, List.of("c", "d"));
        assertEquals(List.of("c", "d"), until(Monitor.GRACE_MS + Monitor.SUSPECT_MS + TICK));
        assertFalse(watch.onProbeResult(now, "c", SuspicionCause.FROZEN));
        assertTrue(watch.onProbeResult(now, "d", SuspicionCause.SILENT));
        assertEquals(List.of(), watch.livePeers());
        assertEquals(List.of("c"), until(now + Monitor.GRACE_MS + Monitor.SUSPECT_MS + TICK));
        assertTrue(watch.onProbeResult(now, "c", SuspicionCause.RESET));
        heartbeat("d", 1);
        assertEquals(List.of("d"), watch.livePeers());
    }

    @Test
    void whoWasSuspectedInVainHasMoreTimeUntilItHasLongBeenCalm() {
        until(1_000);
        heartbeat("a", 2);
        heartbeat("b", 2);
        assertEquals(List.of(), until(now + 1.5 * Monitor.SUSPECT_MS - TICK));
        assertEquals(List.of("a", "b"), until(now + 2 * TICK));
        for (int i = 3; i < 110; i++) {
            heartbeat("a", i);
            heartbeat("b", i);
            until(now + Monitor.HEARTBEAT_MS);
        }
        assertEquals(List.of("a", "b"), until(now + Monitor.SUSPECT_MS));
    }
}

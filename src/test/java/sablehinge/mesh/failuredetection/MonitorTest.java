package sablehinge.mesh.failuredetection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests one watcher's failure detector in virtual time. */
class MonitorTest {

    private static final double TICK_MS = 100;
    private final Monitor monitor = new Monitor();
    private double now;

    MonitorTest() {
        monitor.setWatched(0, List.of("a", "b"));
        heartbeat("a", 1);
        heartbeat("b", 1);
    }

    private boolean heartbeat(String node, int number) {
        return monitor.onHeartbeat(now, node, 7, number);
    }

    /** Ticks until a time and returns the newly suspected peers. */
    private List<String> advanceTo(double end) {
        List<String> suspects = new ArrayList<>();
        while (now < end) {
            now += TICK_MS;
            suspects.addAll(monitor.tick(now));
        }
        return suspects;
    }

    @Test
    void suspectsPeerAfterThreeMissedHeartbeatsAndReportsItOnceProbed() {
        advanceTo(600);
        heartbeat("b", 2);
        assertEquals(List.of(), advanceTo(900));
        assertEquals(List.of("a"), advanceTo(1_000));
        assertEquals(List.of(), advanceTo(1_400));
        assertEquals(List.of(), monitor.suspicions());
        assertFalse(monitor.onProbeResult(now, "b", SuspicionCause.RESET));
        assertTrue(monitor.onProbeResult(now, "a", SuspicionCause.RESET));
        assertFalse(monitor.onProbeResult(now, "a", SuspicionCause.SILENT));
        assertEquals(List.of(new Suspicion("a", SuspicionCause.RESET)), monitor.suspicions());
    }

    @Test
    void heartbeatRevokesSuspicionUnlessItIsOutOfOrder() {
        heartbeat("a", 9);
        advanceTo(1_000);
        monitor.onProbeResult(now, "a", SuspicionCause.SILENT);
        assertFalse(heartbeat("a", 8));
        assertFalse(heartbeat("a", 9));
        assertEquals(1, monitor.suspicions().size());
        assertTrue(heartbeat("a", 10));
        assertEquals(List.of(), monitor.suspicions());
        assertFalse(monitor.onProbeResult(now, "a", SuspicionCause.SILENT));
    }

    @Test
    void acceptsLowerHeartbeatNumbersOfANewIncarnation() {
        heartbeat("a", 900);
        advanceTo(1_000);
        monitor.onProbeResult(now, "a", SuspicionCause.RESET);
        assertTrue(monitor.onHeartbeat(now, "a", 8, 1));
    }

    @Test
    void pausedMonitorSuspectsNoPeer() {
        advanceTo(1_000);
        monitor.onProbeResult(now, "a", SuspicionCause.SILENT);
        now += 5_000;
        assertEquals(List.of(), monitor.tick(now));
        assertEquals(List.of(), monitor.suspicions());
        assertEquals(List.of(), advanceTo(now + 900));
        assertEquals(List.of("a", "b"), advanceTo(now + 100));
    }

    @Test
    void newlyWatchedPeerHasGracePeriod() {
        monitor.setWatched(now, List.of("b", "c"));
        assertEquals(List.of("b"), advanceTo(Monitor.GRACE_MS + Monitor.SUSPECT_MS));
        assertEquals(List.of("c"), advanceTo(now + TICK_MS));
        monitor.onProbeResult(now, "c", SuspicionCause.SILENT);
        monitor.setWatched(now, List.of("b"));
        assertEquals(List.of(), monitor.suspicions());
    }

    @Test
    void peerThatNeverSentHeartbeatsIsNotReportedFrozen() {
        monitor.setWatched(now, List.of("c", "d"));
        assertEquals(List.of("c", "d"), advanceTo(Monitor.GRACE_MS + Monitor.SUSPECT_MS + TICK_MS));
        assertFalse(monitor.onProbeResult(now, "c", SuspicionCause.FROZEN));
        assertTrue(monitor.onProbeResult(now, "d", SuspicionCause.SILENT));
        assertEquals(List.of(), monitor.livePeers());
        assertEquals(List.of("c"), advanceTo(now + Monitor.GRACE_MS + Monitor.SUSPECT_MS + TICK_MS));
        assertTrue(monitor.onProbeResult(now, "c", SuspicionCause.RESET));
        heartbeat("d", 1);
        assertEquals(List.of("d"), monitor.livePeers());
    }

    @Test
    void falseSuspicionExtendsTheTimeoutUntilThePeerIsStable() {
        advanceTo(1_000);
        heartbeat("a", 2);
        heartbeat("b", 2);
        assertEquals(List.of(), advanceTo(now + 1.5 * Monitor.SUSPECT_MS - TICK_MS));
        assertEquals(List.of("a", "b"), advanceTo(now + 2 * TICK_MS));
        for (int i = 3; i < 110; i++) {
            heartbeat("a", i);
            heartbeat("b", i);
            advanceTo(now + Monitor.HEARTBEAT_MS);
        }
        assertEquals(List.of("a", "b"), advanceTo(now + Monitor.SUSPECT_MS));
    }
}

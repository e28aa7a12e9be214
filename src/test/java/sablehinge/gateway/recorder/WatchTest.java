package sablehinge.gateway.recorder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import sablehinge.dataplane.proxy.MonitoredRelay;
import sablehinge.gateway.recorder.Alarm.Kind;

/** Tests the alarms of the watch in virtual time. */
class WatchTest {

    private static final Watch.Terms TERMS = new Watch.Terms(50, 500, 250, 1_000, 5_000, 100);

    /** A relayed body with simulated kernel buffers. */
    private static final class Body implements MonitoredRelay {
        long bytesForwarded;
        long unwritten;
        long unread;
        long unflushed;
        boolean unflushedAll;
        boolean paused;
        boolean writable = true;

        @Override
        public int connection() {
            return 7;
        }

        @Override
        public long bytesForwarded() {
            return bytesForwarded;
        }

        @Override
        public long unwrittenBytes() {
            return unwritten;
        }

        @Override
        public boolean isUnflushed() {
            return unflushedAll;
        }

        @Override
        public boolean isPaused() {
            return paused;
        }

        @Override
        public boolean isWritable() {
            return writable;
        }

        @Override
        public void resume() {
            bytesForwarded += paused ? 0 : Math.min(unread, 10);
            unread -= paused ? 0 : Math.min(unread, 10);
            long written = Math.min(unflushed, 10);
            unflushed -= written;
            unwritten -= written;
        }
    }

    private static final class Process implements Vitals {
        final List<MonitoredRelay> bodies = new ArrayList<>();
        final List<Long> overdue = new ArrayList<>();
        long recoveredWakeUps;
        int activeCount = 1;
        long reservedBytes;
        long usedMemory;
        int descriptors = 3;

        @Override
        public void forEachRelay(Consumer<MonitoredRelay> action) {
            bodies.forEach(action);
        }

        @Override
        public void forEachOverdue(double byMs, LongConsumer action) {
            overdue.forEach(action::accept);
        }

        @Override
        public long recoveredWakeUps() {
            return recoveredWakeUps;
        }

        @Override
        public int activeCount() {
            return activeCount;
        }

        @Override
        public int descriptors() {
            return descriptors;
        }

        @Override
        public long reservedBytes() {
            return reservedBytes;
        }

        @Override
        public long usedMemory() {
            return usedMemory;
        }
    }

    private final Process process = new Process();
    private final Watch watch = new Watch(TERMS);
    private double nowMs;

    /** Runs ticks for a time; returns the alarms with their times. */
    private List<String> runTicks(double millis) {
        List<String> alarms = new ArrayList<>();
        for (double end = nowMs + millis; nowMs < end; ) {
            nowMs += TERMS.tickMs();
            watch.tick(nowMs, process).forEach(alarm -> alarms.add(Math.round(nowMs) + " " + alarm.kind()));
        }
        return alarms;
    }

    @Test
    void reportsUnnecessarilyPausedReaderOnce() {
        Body body = new Body();
        process.bodies.add(body);
        assertEquals(List.of(), runTicks(1_000));
        body.paused = true;
        assertEquals(List.of("1550 LOST_WAKE_UP"), runTicks(5_000));
    }

    /** A visible fault is reported without a forced resume. */
    @Test
    void reportsUnflushedBytes() {
        Body body = new Body();
        process.bodies.add(body);
        runTicks(50);
        body.unwritten = 5;
        body.unflushedAll = true;
        assertEquals(List.of("650 UNWRITTEN"), runTicks(5_000));
    }

    @Test
    void findsUnreadAndUnwrittenBytesByForcedResumes() {
        Body body = new Body();
        process.bodies.add(body);
        body.unread = 1_000;
        assertEquals(List.of("1550 UNREAD"), runTicks(10_000));
        Body unwrittenBody = new Body();
        unwrittenBody.unwritten = 1_000;
        unwrittenBody.unflushed = 1_000;
        process.bodies.set(0, unwrittenBody);
        assertEquals(List.of("11550 UNWRITTEN"), runTicks(10_000));
    }

    /** Bytes that arrive at the moment of a forced resume, twice in a row, are not a stall. */
    @Test
    void ignoresBytesThatArriveDuringForcedResume() {
        Body body = new Body();
        process.bodies.add(body);
        for (int i = 0; i < 20; i++) {
            body.unread = i % 3 == 2 ? 0 : 5;
            assertEquals(List.of(), runTicks(500));
            body.bytesForwarded += i % 3 == 2 ? 1 : 0;
        }
    }

    /** While the event loop is delayed no body can progress; that is one fault and not one per body. */
    @Test
    void reportsDelayedTickWithoutStalls() {
        Body body = new Body();
        process.bodies.add(body);
        runTicks(400);
        body.paused = true;
        runTicks(100);
        nowMs += 3_000;
        assertEquals(List.of("3550 LONG_TURN"), runTicks(50));
        assertEquals(List.of("3950 LOST_WAKE_UP"), runTicks(1_000));
    }

    @Test
    void reportsOverdueRequestsAndInvalidCounters() {
        process.overdue.add(4L);
        assertEquals(List.of("50 OVERDUE"), runTicks(1_000));
        process.recoveredWakeUps = 2;
        assertEquals(List.of("1050 LOST_WAKE_UP"), runTicks(1_000));
        process.reservedBytes = -1;
        assertEquals(List.of("2050 BELOW_ZERO"), runTicks(1_000));
        process.reservedBytes = 5;
        process.usedMemory = 101;
        assertEquals(List.of(), runTicks(20_000));
        process.activeCount = 0;
        assertEquals(List.of("28050 LEFT_OVER", "28050 LEAK"), runTicks(20_000));
        process.activeCount = 1;
        runTicks(50);
        process.reservedBytes = 0;
        process.usedMemory = 100;
        process.activeCount = 0;
        assertEquals(List.of(), runTicks(20_000));
    }

    /** Bodies that progress at times, or wait for their ends, cause no alarm; a stuck body always does. */
    @Property(tries = 500)
    void reportsStuckBodiesOnly(@ForAll long seed) {
        Random random = new Random(seed);
        // All tries share one instance, and a reported body is not reported again.
        process.bodies.clear();
        for (int i = 0; i < 5; i++) {
            process.bodies.add(new Body());
        }
        for (int step = 0; step < 200; step++) {
            for (MonitoredRelay relay : process.bodies) {
                Body body = (Body) relay;
                switch (random.nextInt(5)) {
                    case 0 -> body.bytesForwarded++;
                    case 1 -> body.unwritten = random.nextInt(100);
                    case 2 -> {
                        body.writable = false;
                        body.paused = true;
                    }
                    case 3 -> {
                        body.writable = true;
                        body.paused = false;
                    }
                    default -> {}
                }
            }
            assertEquals(List.of(), runTicks(random.nextInt(8) * TERMS.tickMs()), "seed " + seed);
        }
        Body stuck = (Body) process.bodies.get(random.nextInt(5));
        stuck.paused = false;
        stuck.writable = true;
        Kind kind = List.of(Kind.LOST_WAKE_UP, Kind.UNREAD, Kind.UNWRITTEN).get(random.nextInt(3));
        stuck.paused = kind == Kind.LOST_WAKE_UP;
        stuck.unread = kind == Kind.UNREAD ? 1_000 : 0;
        stuck.unwritten = 1_000;
        stuck.unflushed = kind == Kind.UNWRITTEN ? 1_000 : 0;
        List<String> findings = runTicks(2_000);
        assertEquals(1, findings.size(), "seed " + seed + findings + kind);
        assertTrue(findings.get(0).endsWith(" " + kind), "seed " + seed + findings);
    }
}

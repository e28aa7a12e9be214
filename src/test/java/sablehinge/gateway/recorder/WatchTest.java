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

/** What the watch sees, in virtual time. */
class WatchTest {

    private static final Watch.Terms TERMS = new Watch.Terms(50, 500, 250, 1_000, 5_000, 100);

    /** A body that passes through: what a real one could tell, and what its kernels hold. */
    private static final class Body implements MonitoredRelay {
        long moved;
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
            return moved;
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
            moved += paused ? 0 : Math.min(unread, 10);
            unread -= paused ? 0 : Math.min(unread, 10);
            long written = Math.min(unflushed, 10);
            unflushed -= written;
            unwritten -= written;
        }
    }

    private static final class Process implements Vitals {
        final List<MonitoredRelay> bodies = new ArrayList<>();
        final List<Long> late = new ArrayList<>();
        long woken;
        int busy = 1;
        long kept;
        long memory;
        int descriptors = 3;

        @Override
        public void passages(Consumer<MonitoredRelay> each) {
            bodies.forEach(each);
        }

        @Override
        public void overdue(double by, LongConsumer each) {
            late.forEach(each::accept);
        }

        @Override
        public long woken() {
            return woken;
        }

        @Override
        public int busy() {
            return busy;
        }

        @Override
        public int descriptors() {
            return descriptors;
        }

        @Override
        public long kept() {
            return kept;
        }

        @Override
        public long memory() {
            return memory;
        }
    }

    private final Process process = new Process();
    private final Watch watch = new Watch(TERMS);
    private double now;

    /** Ticks for so many ms, and tells when each alarm came. */
    private List<String> watch(double millis) {
        List<String> alarms = new ArrayList<>();
        for (double end = now + millis; now < end; ) {
            now += TERMS.tick();
            watch.tick(now, process).forEach(alarm -> alarms.add(Math.round(now) + " " + alarm.kind()));
        }
        return alarms;
    }

    @Test
    void aReaderThatWaitsForNobodyIsToldOnce() {
        Body body = new Body();
        process.bodies.add(body);
        assertEquals(List.of(), watch(1_000));
        body.paused = true;
        assertEquals(List.of("1550 LOST_WAKE_UP"), watch(5_000));
    }

    /** No nudge is needed for what can be seen. */
    @Test
    void bytesThatNobodyFlushedAreTold() {
        Body body = new Body();
        process.bodies.add(body);
        watch(50);
        body.unwritten = 5;
        body.unflushedAll = true;
        assertEquals(List.of("650 UNWRITTEN"), watch(5_000));
    }

    @Test
    void bytesThatLieThereAreFoundByNudging() {
        Body body = new Body();
        process.bodies.add(body);
        body.unread = 1_000;
        assertEquals(List.of("1550 UNREAD"), watch(10_000));
        Body other = new Body();
        other.unwritten = 1_000;
        other.unflushed = 1_000;
        process.bodies.set(0, other);
        assertEquals(List.of("11550 UNWRITTEN"), watch(10_000));
    }

    /** Bytes that come in the very moment of a nudge, twice, are no stall. */
    @Test
    void chanceIsNoStall() {
        Body body = new Body();
        process.bodies.add(body);
        for (int i = 0; i < 20; i++) {
            body.unread = i % 3 == 2 ? 0 : 5;
            assertEquals(List.of(), watch(500));
            body.moved += i % 3 == 2 ? 1 : 0;
        }
    }

    /** While the loop has no turn nothing can move; that is one fault, not as many as there are bodies. */
    @Test
    void aLongTurnIsNoStall() {
        Body body = new Body();
        process.bodies.add(body);
        watch(400);
        body.paused = true;
        watch(100);
        now += 3_000;
        assertEquals(List.of("3550 LONG_TURN"), watch(50));
        assertEquals(List.of("3950 LOST_WAKE_UP"), watch(1_000));
    }

    @Test
    void requestsAndCountsAreHeldToTheirBounds() {
        process.late.add(4L);
        assertEquals(List.of("50 OVERDUE"), watch(1_000));
        process.woken = 2;
        assertEquals(List.of("1050 LOST_WAKE_UP"), watch(1_000));
        process.kept = -1;
        assertEquals(List.of("2050 BELOW_ZERO"), watch(1_000));
        process.kept = 5;
        process.memory = 101;
        assertEquals(List.of(), watch(20_000));
        process.busy = 0;
        assertEquals(List.of("28050 LEFT_OVER", "28050 LEAK"), watch(20_000));
        process.busy = 1;
        watch(50);
        process.kept = 0;
        process.memory = 100;
        process.busy = 0;
        assertEquals(List.of(), watch(20_000));
    }

    /** Bodies that move now and then, or wait for their ends, never alarm; one that is stuck always does. */
    @Property(tries = 500)
    void onlyWhatIsStuckIsTold(@ForAll long seed) {
        Random random = new Random(seed);
        // One instance plays all tries: what was reported in one is not reported again.
        process.bodies.clear();
        for (int i = 0; i < 5; i++) {
            process.bodies.add(new Body());
        }
        for (int step = 0; step < 200; step++) {
            for (MonitoredRelay one : process.bodies) {
                Body body = (Body) one;
                switch (random.nextInt(5)) {
                    case 0 -> body.moved++;
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
            assertEquals(List.of(), watch(random.nextInt(8) * TERMS.tick()), "seed " + seed);
        }
        Body stuck = (Body) process.bodies.get(random.nextInt(5));
        stuck.paused = false;
        stuck.writable = true;
        Kind kind = List.of(Kind.LOST_WAKE_UP, Kind.UNREAD, Kind.UNWRITTEN).get(random.nextInt(3));
        stuck.paused = kind == Kind.LOST_WAKE_UP;
        stuck.unread = kind == Kind.UNREAD ? 1_000 : 0;
        stuck.unwritten = 1_000;
        stuck.unflushed = kind == Kind.UNWRITTEN ? 1_000 : 0;
        List<String> findings = watch(2_000);
        assertEquals(1, findings.size(), "seed " + seed + findings + kind);
        assertTrue(findings.get(0).endsWith(" " + kind), "seed " + seed + findings);
    }
}

package sablehinge.tools.replay.timeline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import sablehinge.tools.replay.timeline.Timeline.Terms;

/** Sorting of logged events by time, by examples and with random logs. */
class TimelineTest {

    private final List<String> items = new ArrayList<>();
    private final List<Double> timesMs = new ArrayList<>();

    private Timeline<String> timeline(double windowMs, int maxPending, boolean secondResolution, long seed) {
        return new Timeline<>(new Terms(windowMs, maxPending, secondResolution, seed), (timeMs, item) -> {
            items.add(item);
            timesMs.add(timeMs);
        });
    }

    @Test
    void sortsEventsOutOfOrderWithinWindow() {
        Timeline<String> timeline = timeline(1_000, 100, false, 1);
        timeline.add(100, "a");
        timeline.add(900, "c");
        timeline.add(500, "b");
        timeline.add(2_000, "d");
        timeline.end();
        assertEquals(List.of("a", "b", "c", "d"), items);
        assertEquals(List.of(100.0, 500.0, 900.0, 2_000.0), timesMs);
        assertEquals(1, timeline.outOfOrder());
        assertEquals(0, timeline.late());
    }

    @Test
    void emitsAndCountsEventsLaterThanWindow() {
        Timeline<String> timeline = timeline(1_000, 100, false, 1);
        timeline.add(100, "a");
        timeline.add(5_000, "b");
        timeline.add(50, "late");
        timeline.end();
        assertEquals(List.of("a", "late", "b"), items);
        assertEquals(List.of(100.0, 100.0, 5_000.0), timesMs);
        assertEquals(1, timeline.late());
    }

    @Test
    void placesEventsWithoutTimeBetweenNeighbours() {
        Timeline<String> timeline = timeline(1_000, 100, false, 1);
        timeline.add(Double.NaN, "before");
        timeline.add(100, "a");
        timeline.add(Double.NaN, "x");
        timeline.add(Double.NaN, "y");
        timeline.add(400, "b");
        timeline.add(Double.NaN, "after");
        timeline.end();
        assertEquals(List.of("before", "a", "x", "y", "b", "after"), items);
        assertEquals(List.of(100.0, 100.0, 200.0, 300.0, 400.0, 400.0), timesMs);
        assertEquals(4, timeline.missing());
    }

    @Test
    void continuesTimeAfterClockIsSetBack() {
        Timeline<String> timeline = timeline(1_000, 1_000, false, 1);
        for (int i = 0; i < 100; i++) {
            timeline.add(3_600_000 + i * 10, "before " + i);
        }
        for (int i = 0; i < 100; i++) {
            timeline.add(i * 10, "after " + i);
        }
        timeline.end();
        assertEquals(1, timeline.jumps());
        assertEquals(200, items.size());
        assertEquals("after 99", items.get(199));
        assertEquals(3_600_990 + 800, timesMs.get(199), 1);
    }

    @Test
    void doesNotCountFewLateEventsAsClockJump() {
        Timeline<String> timeline = timeline(1_000, 1_000, false, 1);
        for (int i = 0; i < 1_000; i++) {
            timeline.add(i % 30 == 29 ? 0 : 3_600_000 + i * 10, "e" + i);
        }
        timeline.end();
        assertEquals(0, timeline.jumps());
        assertEquals(1_000, items.size());
    }

    @Test
    void spreadsEventsWithinSecondInLogOrderBySeed() {
        Timeline<String> timeline = timeline(2_000, 1_000, true, 7);
        for (int i = 0; i < 300; i++) {
            timeline.add(1_000 * (i / 100), "e" + i);
        }
        timeline.end();
        for (int i = 0; i < 300; i++) {
            assertEquals("e" + i, items.get(i));
            assertEquals(i / 100, (int) (timesMs.get(i) / 1_000));
        }
        long firstHalf = timesMs.stream().filter(time -> time < 500).count();
        assertTrue(firstHalf > 30 && firstHalf < 70, firstHalf + " in the first half of the second");
        List<Double> firstTimesMs = List.copyOf(timesMs);
        timesMs.clear();
        Timeline<String> other = timeline(2_000, 1_000, true, 8);
        other.add(0, "x");
        other.end();
        assertNotEquals(firstTimesMs.get(0), timesMs.get(0));
    }

    @Test
    void boundsPendingEvents() {
        Timeline<String> timeline = timeline(1e12, 50, false, 1);
        for (int i = 0; i < 10_000; i++) {
            timeline.add(i % 3 == 0 ? Double.NaN : i, "e" + i);
            assertTrue(timeline.pendingCount() <= 52, timeline.pendingCount() + " pending");
        }
        for (int i = 0; i < 1_000; i++) {
            timeline.add(Double.NaN, "n" + i);
            assertTrue(timeline.pendingCount() <= 100, timeline.pendingCount() + " pending");
        }
        timeline.end();
        assertEquals(11_000, items.size());
    }

    /** No event is lost or duplicated and time never decreases, for any log. */
    @Test
    void emitsEachEventOnceInTimeOrder() {
        for (long seed = 1; seed <= 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            items.clear();
            timesMs.clear();
            Timeline<String> timeline =
                    timeline(random.nextInt(5_000), 1 + random.nextInt(200), random.nextBoolean(), seed);
            double clockMs = 0;
            int count = 500;
            for (int i = 0; i < count; i++) {
                clockMs += random.nextInt(100);
                if (random.nextInt(200) == 0) {
                    clockMs -= 100_000;
                }
                double timeMs = random.nextInt(50) == 0
                        ? Double.NaN
                        : clockMs - (random.nextInt(20) == 0 ? random.nextInt(3_000) : 0);
                timeline.add(random.nextBoolean() ? timeMs : Math.floor(timeMs / 1_000) * 1_000, "e" + i);
            }
            timeline.end();
            assertEquals(count, items.size(), "seed " + seed);
            assertEquals(count, items.stream().distinct().count(), "seed " + seed);
            for (int i = 1; i < count; i++) {
                assertTrue(timesMs.get(i) >= timesMs.get(i - 1), "seed " + seed + " at " + i);
            }
        }
    }
}

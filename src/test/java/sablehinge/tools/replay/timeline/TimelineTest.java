package sablehinge.tools.replay.timeline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import sablehinge.tools.replay.timeline.Timeline.Terms;

/** Logged events in the order of time, by examples and at random. */
class TimelineTest {

    private final List<String> out = new ArrayList<>();
    private final List<Double> times = new ArrayList<>();

    private Timeline<String> line(double window, int mostHeld, boolean secondSteps, long seed) {
        return new Timeline<>(new Terms(window, mostHeld, secondSteps, seed), (time, item) -> {
            out.add(item);
            times.add(time);
        });
    }

    @Test
    void whatComesOutOfOrderWithinTheWindowFindsItsPlace() {
        Timeline<String> line = line(1_000, 100, false, 1);
        line.add(100, "a");
        line.add(900, "c");
        line.add(500, "b");
        line.add(2_000, "d");
        line.end();
        assertEquals(List.of("a", "b", "c", "d"), out);
        assertEquals(List.of(100.0, 500.0, 900.0, 2_000.0), times);
        assertEquals(1, line.outOfOrder());
        assertEquals(0, line.late());
    }

    @Test
    void whatComesTooLateIsKeptAndCounted() {
        Timeline<String> line = line(1_000, 100, false, 1);
        line.add(100, "a");
        line.add(5_000, "b");
        line.add(50, "late");
        line.end();
        assertEquals(List.of("a", "late", "b"), out);
        assertEquals(List.of(100.0, 100.0, 5_000.0), times);
        assertEquals(1, line.late());
    }

    @Test
    void aMissingTimeLiesBetweenItsNeighbours() {
        Timeline<String> line = line(1_000, 100, false, 1);
        line.add(Double.NaN, "before");
        line.add(100, "a");
        line.add(Double.NaN, "x");
        line.add(Double.NaN, "y");
        line.add(400, "b");
        line.add(Double.NaN, "after");
        line.end();
        assertEquals(List.of("before", "a", "x", "y", "b", "after"), out);
        assertEquals(List.of(100.0, 100.0, 200.0, 300.0, 400.0, 400.0), times);
        assertEquals(4, line.missing());
    }

    @Test
    void aClockThatIsSetBackGoesOn() {
        Timeline<String> line = line(1_000, 1_000, false, 1);
        for (int i = 0; i < 100; i++) {
            line.add(3_600_000 + i * 10, "before " + i);
        }
        for (int i = 0; i < 100; i++) {
            line.add(i * 10, "after " + i);
        }
        line.end();
        assertEquals(1, line.jumps());
        assertEquals(200, out.size());
        assertEquals("after 99", out.get(199));
        assertEquals(3_600_990 + 800, times.get(199), 1);
    }

    @Test
    void aFewStragglersAreNoJump() {
        Timeline<String> line = line(1_000, 1_000, false, 1);
        for (int i = 0; i < 1_000; i++) {
            line.add(i % 30 == 29 ? 0 : 3_600_000 + i * 10, "e" + i);
        }
        line.end();
        assertEquals(0, line.jumps());
        assertEquals(1_000, out.size());
    }

    @Test
    void wholeSecondsAreSpreadInTheLogsOrderBySeed() {
        Timeline<String> line = line(2_000, 1_000, true, 7);
        for (int i = 0; i < 300; i++) {
            line.add(1_000 * (i / 100), "e" + i);
        }
        line.end();
        for (int i = 0; i < 300; i++) {
            assertEquals("e" + i, out.get(i));
            assertEquals(i / 100, (int) (times.get(i) / 1_000));
        }
        long firstHalf = times.stream().filter(time -> time < 500).count();
        assertTrue(firstHalf > 30 && firstHalf < 70, firstHalf + " in the first half of the second");
        List<Double> before = List.copyOf(times);
        times.clear();
        Timeline<String> other = line(2_000, 1_000, true, 8);
        other.add(0, "x");
        other.end();
        assertNotEquals(before.get(0), times.get(0));
    }

    @Test
    void whatWaitsIsBounded() {
        Timeline<String> line = line(1e12, 50, false, 1);
        for (int i = 0; i < 10_000; i++) {
            line.add(i % 3 == 0 ? Double.NaN : i, "e" + i);
            assertTrue(line.waiting() <= 52, line.waiting() + " wait");
        }
        for (int i = 0; i < 1_000; i++) {
            line.add(Double.NaN, "n" + i);
            assertTrue(line.waiting() <= 100, line.waiting() + " wait");
        }
        line.end();
        assertEquals(11_000, out.size());
    }

    /** Nothing is lost, nothing twice, time never goes back, whatever comes. */
    @Test
    void everyEventLeavesOnceInTheOrderOfTime() {
        for (long seed = 1; seed <= 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            out.clear();
            times.clear();
            Timeline<String> line = line(random.nextInt(5_000), 1 + random.nextInt(200), random.nextBoolean(), seed);
            double clock = 0;
            int count = 500;
            for (int i = 0; i < count; i++) {
                clock += random.nextInt(100);
                if (random.nextInt(200) == 0) {
                    clock -= 100_000;
                }
                double time = random.nextInt(50) == 0
                        ? Double.NaN
                        : clock - (random.nextInt(20) == 0 ? random.nextInt(3_000) : 0);
                line.add(random.nextBoolean() ? time : Math.floor(time / 1_000) * 1_000, "e" + i);
            }
            line.end();
            assertEquals(count, out.size(), "seed " + seed);
            assertEquals(count, out.stream().distinct().count(), "seed " + seed);
            for (int i = 1; i < count; i++) {
                assertTrue(times.get(i) >= times.get(i - 1), "seed " + seed + " at " + i);
            }
        }
    }
}

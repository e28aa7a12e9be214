package sablehinge.tools.replay.statistics;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class TopValuesTest {

    @Test
    void fewNamesAreCountedExactlyAndListedByCountThenName() {
        TopValues few = new TopValues(10);
        List.of("b", "a", "c", "b", "a").forEach(few::add);
        assertEquals("{a=2, b=2, c=1}", few.top(10).toString());
        assertEquals("{a=2}", few.top(1).toString());
        assertEquals(0, few.error());
    }

    /** The promise of the method: no count is too large, and none too small by more than the error that it tells. */
    @Test
    void beyondItsBoundTheCommonestStayWithinTheToldError() {
        SplittableRandom random = new SplittableRandom(5);
        TopValues bounded = new TopValues(500);
        Map<String, Long> truth = new HashMap<>();
        for (int i = 0; i < 200_000; i++) {
            String name = "k" + (int) Math.pow(random.nextDouble(), -2.5);
            bounded.add(name);
            truth.merge(name, 1L, Long::sum);
            assertTrue(bounded.size() <= 501);
        }
        assertTrue(truth.size() > 5_000, "more than it can hold");
        Map<String, Long> top = bounded.top(500);
        truth.forEach((name, count) -> {
            long counted = top.getOrDefault(name, 0L);
            assertTrue(counted <= count && counted >= count - bounded.error(), name);
        });
        assertEquals(
                truth.entrySet().stream()
                        .max(Map.Entry.comparingByValue())
                        .orElseThrow()
                        .getKey(),
                top.keySet().iterator().next());
        assertTrue(bounded.error() > 0 && bounded.error() < 200_000 / 250);
    }

    @Test
    void differentNamesAreCountedExactlyUpToTheBound() {
        DistinctCounter exact = new DistinctCounter(50_000);
        for (int i = 0; i < 150_000; i++) {
            exact.add("key-" + i % 50_000);
        }
        assertEquals(50_000, exact.count());
        assertTrue(exact.isExact());
        exact.add("one more");
        assertFalse(exact.isExact());
    }

    @Test
    void beyondTheBoundTheyAreEstimated() {
        DistinctCounter bounded = new DistinctCounter(4_096);
        for (int i = 0; i < 1_000_000; i++) {
            bounded.add("key-" + i);
            bounded.add("key-" + i / 2);
        }
        assertFalse(bounded.isExact());
        // Four standard errors of 1.2 / 64.
        assertEquals(1_000_000, bounded.count(), 75_000);
    }

    @Test
    void slicesGrowAndLoseNothing() {
        RateMeter rates = new RateMeter(4);
        rates.add(10_500);
        rates.add(11_000);
        rates.add(13_999);
        assertArrayEquals(new long[] {1, 1, 0, 1}, rates.counts());
        assertEquals(10_000, rates.from());
        rates.add(9_000);
        assertEquals(2_000, rates.width());
        assertEquals(8_000, rates.from());
        assertArrayEquals(new long[] {1, 2, 1}, rates.counts());
        assertArrayEquals(new long[] {3, 1}, rates.counts(2));
        assertEquals(2, rates.peak());
    }

    @Test
    void anyTimesAreCountedOnceWithinTheBound() {
        for (long seed = 0; seed < 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            RateMeter rates = new RateMeter(16);
            int events = random.nextInt(1, 200);
            double span = Math.pow(10, random.nextInt(1, 13));
            double first = Double.POSITIVE_INFINITY;
            for (int i = 0; i < events; i++) {
                double time = random.nextDouble(-span, span);
                first = Math.min(first, time);
                rates.add(time);
            }
            assertEquals(events, Arrays.stream(rates.counts()).sum(), "seed " + seed);
            assertTrue(rates.counts().length <= 16, "seed " + seed);
            assertTrue(rates.from() <= first && first < rates.from() + 16 * rates.width(), "seed " + seed);
        }
    }
}

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
    void countsFewValuesExactlyAndOrdersByCountThenValue() {
        TopValues few = new TopValues(10);
        List.of("b", "a", "c", "b", "a").forEach(few::add);
        assertEquals("{a=2, b=2, c=1}", few.top(10).toString());
        assertEquals("{a=2}", few.top(1).toString());
        assertEquals(0, few.error());
    }

    /** Guarantee of the algorithm: no count is too high, and none is too low by more than the reported error. */
    @Test
    void keepsMostFrequentValuesWithinReportedErrorBeyondLimit() {
        SplittableRandom random = new SplittableRandom(5);
        TopValues bounded = new TopValues(500);
        Map<String, Long> truth = new HashMap<>();
        for (int i = 0; i < 200_000; i++) {
            String value = "k" + (int) Math.pow(random.nextDouble(), -2.5);
            bounded.add(value);
            truth.merge(value, 1L, Long::sum);
            assertTrue(bounded.size() <= 501);
        }
        assertTrue(truth.size() > 5_000, "more distinct values than the limit");
        Map<String, Long> top = bounded.top(500);
        truth.forEach((value, count) -> {
            long reported = top.getOrDefault(value, 0L);
            assertTrue(reported <= count && reported >= count - bounded.error(), value);
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
    void countsDistinctValuesExactlyUpToLimit() {
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
    void estimatesDistinctValuesBeyondLimit() {
        DistinctCounter bounded = new DistinctCounter(4_096);
        for (int i = 0; i < 1_000_000; i++) {
            bounded.add("key-" + i);
            bounded.add("key-" + i / 2);
        }
        assertFalse(bounded.isExact());
        // Four standard errors of 1.2 / 64 each.
        assertEquals(1_000_000, bounded.count(), 75_000);
    }

    @Test
    void widensSlicesWithoutLosingEvents() {
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
    void countsEachEventOnceWithinSliceLimit() {
        for (long seed = 0; seed < 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            RateMeter rates = new RateMeter(16);
            int events = random.nextInt(1, 200);
            double spanMs = Math.pow(10, random.nextInt(1, 13));
            double firstMs = Double.POSITIVE_INFINITY;
            for (int i = 0; i < events; i++) {
                double timeMs = random.nextDouble(-spanMs, spanMs);
                firstMs = Math.min(firstMs, timeMs);
                rates.add(timeMs);
            }
            assertEquals(events, Arrays.stream(rates.counts()).sum(), "seed " + seed);
            assertTrue(rates.counts().length <= 16, "seed " + seed);
            assertTrue(rates.from() <= firstMs && firstMs < rates.from() + 16 * rates.width(), "seed " + seed);
        }
    }
}

package sablehinge.tools.replay.folding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import sablehinge.tools.replay.folding.RetryFolder.Attempt;
import sablehinge.tools.replay.folding.RetryFolder.Terms;

/** Assignment of retries to requests, by examples and on generated logs with known requests. */
class RetryFolderTest {

    private final RetryFolder folder = new RetryFolder(new Terms(60_000, 10_000, 1_000));

    private long withoutId(double startMs, double endMs, int status) {
        return folder.fold(new Attempt(startMs, endMs, null, "10.0.0.1", "GET", "/tile/7", status));
    }

    private long withId(double startMs, String id, int status) {
        return folder.fold(new Attempt(startMs, startMs, id, "10.0.0.1", "POST", "/tile-order", status));
    }

    @Test
    void assignsRetryAfterEachRetryableStatusToFirstAttempt() {
        int[] retryable = {0, -1, 408, 425, 429, 499, 500, 502, 503, 504};
        for (int status : retryable) {
            RetryFolder newFolder = new RetryFolder(Terms.usual());
            assertEquals(0, newFolder.fold(new Attempt(0, 100, null, "a", "GET", "/x", status)));
            assertEquals(0, newFolder.fold(new Attempt(200, 300, null, "a", "GET", "/x", 200)), "after " + status);
        }
    }

    @Test
    void countsAttemptAfterNonRetryableStatusAsNewRequest() {
        for (int status : new int[] {200, 204, 301, 304, 400, 404, 501}) {
            RetryFolder newFolder = new RetryFolder(Terms.usual());
            newFolder.fold(new Attempt(0, 100, null, "a", "GET", "/x", status));
            assertEquals(1, newFolder.fold(new Attempt(200, 300, null, "a", "GET", "/x", 200)), "after " + status);
        }
    }

    @Test
    void assignsChainOfRetriesToFirstAttempt() {
        assertEquals(0, withoutId(0, 500, 504));
        assertEquals(0, withoutId(600, 1_100, 503));
        assertEquals(0, withoutId(1_200, 1_300, 200));
        assertEquals(3, withoutId(1_400, 1_500, 200));
    }

    @Test
    void assignsOnlyOneRetryPerFailedAttempt() {
        withoutId(0, 100, 503);
        assertEquals(0, withoutId(200, 300, 200));
        assertEquals(2, withoutId(400, 500, 200));
    }

    @Test
    void countsAttemptDuringInFlightAttemptAsNewRequest() {
        withoutId(0, 2_000, 504);
        assertEquals(1, withoutId(1_000, 1_100, 200));
        assertEquals(0, withoutId(2_001, 2_100, 200));
    }

    @Test
    void countsAttemptAfterRetryWindowAsNewRequest() {
        withoutId(0, 100, 503);
        assertEquals(1, withoutId(10_101, 10_200, 503));
        assertEquals(1, withoutId(20_200, 20_300, 200));
    }

    @Test
    void countsDifferentCallerMethodOrTargetAsNewRequest() {
        folder.fold(new Attempt(0, 1, null, "a", "GET", "/x", 503));
        assertEquals(1, folder.fold(new Attempt(2, 3, null, "b", "GET", "/x", 200)));
        assertEquals(2, folder.fold(new Attempt(2, 3, null, "a", "PUT", "/x", 200)));
        assertEquals(3, folder.fold(new Attempt(2, 3, null, "a", "GET", "/y", 200)));
        assertEquals(0, folder.fold(new Attempt(2, 3, null, "a", "GET", "/x", 200)));
    }

    /**
     * Ids take precedence over caller and status: the same id matches even after a success, a different id never
     * matches.
     */
    @Test
    void assignsAttemptsByIdIfPresent() {
        assertEquals(0, withId(0, "k1", 503));
        assertEquals(1, withId(10, "k2", 200));
        assertEquals(0, withId(20, "k1", 200));
        assertEquals(0, withId(30, "k1", 200));
        assertEquals(4, withId(60_031, "k1", 200), "the id window has passed");
    }

    @Test
    void boundsEntriesAndCountsEvictions() {
        for (int i = 0; i < 10_000; i++) {
            withId(i * 0.001, "k" + i, 503);
            folder.fold(new Attempt(i * 0.001, i * 0.001, null, "c" + i, "GET", "/x", 503));
        }
        assertTrue(folder.entryCount() <= 2_000, folder.entryCount() + " entries");
        assertEquals(18_000, folder.evicted());
        // Expired entries are removed without being counted as evictions.
        withId(1e9, "last", 200);
        assertEquals(1, folder.entryCount());
        assertEquals(18_000, folder.evicted());
    }

    /** One logged attempt and the request that it belongs to. */
    private record LoggedAttempt(Attempt logged, int request) {}

    /** A log of callers that send requests, retry failed attempts and later request the same targets again. */
    private static List<LoggedAttempt> log(long seed, int requests, double idShare, double failureShare) {
        SplittableRandom random = new SplittableRandom(seed);
        List<LoggedAttempt> log = new ArrayList<>();
        for (int request = 0; request < requests; request++) {
            double startMs = random.nextDouble() * requests * 10;
            String caller = "10.0." + random.nextInt(20) + "." + random.nextInt(50);
            String target = "/tile/" + (int) Math.pow(2_000, random.nextDouble());
            String id = random.nextDouble() < idShare ? "k" + request : null;
            for (int attempt = 0; attempt < 4; attempt++) {
                boolean fails = random.nextDouble() < failureShare;
                int[] statuses = {0, 499, 503, 504, 429, 502};
                double endMs = startMs + 20 + random.nextInt(400);
                log.add(new LoggedAttempt(
                        new Attempt(
                                startMs,
                                endMs,
                                id,
                                caller,
                                "GET",
                                target,
                                fails ? statuses[random.nextInt(statuses.length)] : 200),
                        request));
                if (!fails) {
                    break;
                }
                startMs = endMs + random.nextInt(1_500);
            }
        }
        log.sort(Comparator.comparingDouble(attempt -> attempt.logged().startMs()));
        return log;
    }

    /** Counts retries that were assigned correctly, first attempts that were folded, and retries that were missed. */
    private static int[] countResults(List<LoggedAttempt> log) {
        RetryFolder newFolder = new RetryFolder(Terms.usual());
        Map<Integer, Long> firstAttempts = new HashMap<>();
        int[] counts = new int[3];
        for (int i = 0; i < log.size(); i++) {
            long assigned = newFolder.fold(log.get(i).logged());
            Long first = firstAttempts.putIfAbsent(log.get(i).request(), (long) i);
            if (first == null) {
                counts[1] += assigned == i ? 0 : 1;
            } else if (assigned == first) {
                counts[0]++;
            } else {
                counts[2]++;
            }
        }
        return counts;
    }

    @Test
    void foldsAllRetriesWithIdCorrectly() {
        for (long seed = 1; seed <= 10; seed++) {
            int[] counts = countResults(log(seed, 5_000, 1, 0.1));
            assertTrue(counts[0] > 300, "seed " + seed);
            assertEquals(0, counts[1], "seed " + seed);
            assertEquals(0, counts[2], "seed " + seed);
        }
    }

    /** Without ids the assignment is a heuristic: errors are bounded on logs where callers repeat requests. */
    @Test
    void foldsRetriesWithoutIdWithinErrorBound() {
        int[] sum = new int[3];
        for (long seed = 1; seed <= 10; seed++) {
            int[] counts = countResults(log(seed, 5_000, 0, 0.1));
            for (int i = 0; i < 3; i++) {
                sum[i] += counts[i];
            }
        }
        System.out.println("folded correctly " + sum[0] + ", incorrectly " + sum[1] + ", missed " + sum[2]);
        assertTrue(sum[0] > 5_000, sum[0] + " folded correctly");
        assertTrue(sum[1] <= sum[0] * 0.01, sum[1] + " folded incorrectly");
        assertTrue(sum[2] <= sum[0] * 0.01, sum[2] + " missed");
    }

    /** nginx generates a new id for each attempt unless it forwards the id of the caller. */
    @Test
    void usesIdThatIsNotPerRequestOnlyIfItMatches() {
        RetryFolder folder = new RetryFolder(Terms.usual());
        assertEquals(0, folder.fold(new Attempt(0, 100, "r-1", false, "a", "GET", "/x", 503)));
        assertEquals(0, folder.fold(new Attempt(200, 300, "r-2", false, "a", "GET", "/x", 200)));
        assertEquals(0, folder.fold(new Attempt(400, 500, "r-1", false, "b", "GET", "/x", 200)));
        assertEquals(3, folder.fold(new Attempt(600, 700, "r-4", false, "a", "GET", "/x", 200)));
    }
}

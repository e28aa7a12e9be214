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
import sablehinge.tools.replay.folding.RetryFolder.Terms;
import sablehinge.tools.replay.folding.RetryFolder.Try;

/** Which tries belong under which, by examples and on generated logs whose truth is known. */
class RetryFolderTest {

    private final RetryFolder folder = new RetryFolder(new Terms(60_000, 10_000, 1_000));

    private long plain(double begun, double ended, int status) {
        return folder.take(new Try(begun, ended, null, "10.0.0.1", "GET", "/tile/7", status));
    }

    private long named(double begun, String name, int status) {
        return folder.take(new Try(begun, begun, name, "10.0.0.1", "POST", "/tile-order", status));
    }

    @Test
    void aRetryAfterEachKindOfBadEndBelongsUnderItsFirstTry() {
        int[] bad = {0, -1, 408, 425, 429, 499, 500, 502, 503, 504};
        for (int status : bad) {
            RetryFolder own = new RetryFolder(Terms.usual());
            assertEquals(0, own.take(new Try(0, 100, null, "a", "GET", "/x", status)));
            assertEquals(0, own.take(new Try(200, 300, null, "a", "GET", "/x", 200)), "after " + status);
        }
    }

    @Test
    void whoeverAsksAgainAfterASuccessAsksAnew() {
        for (int status : new int[] {200, 204, 301, 304, 400, 404, 501}) {
            RetryFolder own = new RetryFolder(Terms.usual());
            own.take(new Try(0, 100, null, "a", "GET", "/x", status));
            assertEquals(1, own.take(new Try(200, 300, null, "a", "GET", "/x", 200)), "after " + status);
        }
    }

    @Test
    void aChainOfRetriesBelongsUnderTheFirst() {
        assertEquals(0, plain(0, 500, 504));
        assertEquals(0, plain(600, 1_100, 503));
        assertEquals(0, plain(1_200, 1_300, 200));
        assertEquals(3, plain(1_400, 1_500, 200));
    }

    @Test
    void oneBadEndExplainsOneRetry() {
        plain(0, 100, 503);
        assertEquals(0, plain(200, 300, 200));
        assertEquals(2, plain(400, 500, 200));
    }

    @Test
    void whatIsStillUnderWayWasNotGivenUp() {
        plain(0, 2_000, 504);
        assertEquals(1, plain(1_000, 1_100, 200));
        assertEquals(0, plain(2_001, 2_100, 200));
    }

    @Test
    void theWindowEndsAtItsLength() {
        plain(0, 100, 503);
        assertEquals(1, plain(10_101, 10_200, 503));
        assertEquals(1, plain(20_200, 20_300, 200));
    }

    @Test
    void anotherCallerMethodOrTargetIsAnotherRequest() {
        folder.take(new Try(0, 1, null, "a", "GET", "/x", 503));
        assertEquals(1, folder.take(new Try(2, 3, null, "b", "GET", "/x", 200)));
        assertEquals(2, folder.take(new Try(2, 3, null, "a", "PUT", "/x", 200)));
        assertEquals(3, folder.take(new Try(2, 3, null, "a", "GET", "/y", 200)));
        assertEquals(0, folder.take(new Try(2, 3, null, "a", "GET", "/x", 200)));
    }

    /** A name says more than any guess: also after a success, and never under another name. */
    @Test
    void namesDecideWhereThereAreAny() {
        assertEquals(0, named(0, "k1", 503));
        assertEquals(1, named(10, "k2", 200));
        assertEquals(0, named(20, "k1", 200));
        assertEquals(0, named(30, "k1", 200));
        assertEquals(4, named(60_031, "k1", 200), "the name has had its time");
    }

    @Test
    void memoryIsBoundedAndWhatWasForgottenIsCounted() {
        for (int i = 0; i < 10_000; i++) {
            named(i * 0.001, "k" + i, 503);
            folder.take(new Try(i * 0.001, i * 0.001, null, "c" + i, "GET", "/x", 503));
        }
        assertTrue(folder.remembered() <= 2_000, folder.remembered() + " remembered");
        assertEquals(18_000, folder.forgotten());
        // And what time has passed over is forgotten without being counted.
        named(1e9, "last", 200);
        assertEquals(1, folder.remembered());
        assertEquals(18_000, folder.forgotten());
    }

    /** One logged try and the request it really belongs to. */
    private record Known(Try logged, int request) {}

    /** A log of callers who ask, try again after a bad end as clients do, and ask for the same things again. */
    private static List<Known> log(long seed, int requests, double named, double bad) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Known> log = new ArrayList<>();
        for (int request = 0; request < requests; request++) {
            double at = random.nextDouble() * requests * 10;
            String caller = "10.0." + random.nextInt(20) + "." + random.nextInt(50);
            String target = "/tile/" + (int) Math.pow(2_000, random.nextDouble());
            String name = random.nextDouble() < named ? "k" + request : null;
            for (int attempt = 0; attempt < 4; attempt++) {
                boolean fails = random.nextDouble() < bad;
                int[] bads = {0, 499, 503, 504, 429, 502};
                double ended = at + 20 + random.nextInt(400);
                log.add(new Known(
                        new Try(
                                at,
                                ended,
                                name,
                                caller,
                                "GET",
                                target,
                                fails ? bads[random.nextInt(bads.length)] : 200),
                        request));
                if (!fails) {
                    break;
                }
                at = ended + random.nextInt(1_500);
            }
        }
        log.sort(Comparator.comparingDouble(known -> known.logged().begun()));
        return log;
    }

    /** Counts tries that were folded rightly, folded though they were first, and not folded though they were not. */
    private static int[] judge(List<Known> log) {
        RetryFolder own = new RetryFolder(Terms.usual());
        Map<Integer, Long> firsts = new HashMap<>();
        int[] counts = new int[3];
        for (int i = 0; i < log.size(); i++) {
            long under = own.take(log.get(i).logged());
            Long first = firsts.putIfAbsent(log.get(i).request(), (long) i);
            if (first == null) {
                counts[1] += under == i ? 0 : 1;
            } else if (under == first) {
                counts[0]++;
            } else {
                counts[2]++;
            }
        }
        return counts;
    }

    @Test
    void namedRetriesAreFoldedWithoutError() {
        for (long seed = 1; seed <= 10; seed++) {
            int[] counts = judge(log(seed, 5_000, 1, 0.1));
            assertTrue(counts[0] > 300, "seed " + seed);
            assertEquals(0, counts[1], "seed " + seed);
            assertEquals(0, counts[2], "seed " + seed);
        }
    }

    /** Without names it is a guess: held to a share of errors on logs where callers come back to the same tiles. */
    @Test
    void guessesAreRarelyWrong() {
        int[] sum = new int[3];
        for (long seed = 1; seed <= 10; seed++) {
            int[] counts = judge(log(seed, 5_000, 0, 0.1));
            for (int i = 0; i < 3; i++) {
                sum[i] += counts[i];
            }
        }
        System.out.println("folded rightly " + sum[0] + ", wrongly " + sum[1] + ", missed " + sum[2]);
        assertTrue(sum[0] > 5_000, sum[0] + " folded rightly");
        assertTrue(sum[1] <= sum[0] * 0.01, sum[1] + " folded wrongly");
        assertTrue(sum[2] <= sum[0] * 0.01, sum[2] + " missed");
    }

    /** nginx makes a new id for each try, unless the caller's was passed on. */
    @Test
    void anIdThatIsNotSureDecidesOnlyWhereItIsTheSame() {
        RetryFolder folder = new RetryFolder(Terms.usual());
        assertEquals(0, folder.take(new Try(0, 100, "r-1", false, "a", "GET", "/x", 503)));
        assertEquals(0, folder.take(new Try(200, 300, "r-2", false, "a", "GET", "/x", 200)));
        assertEquals(0, folder.take(new Try(400, 500, "r-1", false, "b", "GET", "/x", 200)));
        assertEquals(3, folder.take(new Try(600, 700, "r-4", false, "a", "GET", "/x", 200)));
    }
}

package sablehinge.tools.replay.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import sablehinge.tools.replay.schedule.ReplayClient.Outcome;
import sablehinge.tools.replay.schedule.ReplayClient.Repeat;

class ReplayScheduleTest {

    private record Sent(double dueMs, int copy, String request) {}

    private static List<Sent> replay(ReplaySchedule.Terms terms, Map<Double, String> log) {
        List<Sent> sent = new ArrayList<>();
        ReplaySchedule<String> schedule =
                new ReplaySchedule<>(terms, (dueMs, copy, request) -> sent.add(new Sent(dueMs, copy, request)));
        log.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(e -> schedule.take(e.getKey(), e.getValue().substring(0, 1), e.getValue()));
        schedule.end();
        return sent;
    }

    private static ReplaySchedule.Terms terms(double compress, double scale) {
        return new ReplaySchedule.Terms(compress, scale, Double.NaN, Double.NaN, 1);
    }

    @Test
    void compressesTimeFromFirstRequest() {
        assertEquals(
                List.of(new Sent(0, 0, "a"), new Sent(100, 0, "b")),
                replay(terms(12, 1), Map.of(5_000.0, "a", 6_200.0, "b")));
    }

    @Test
    void skipsRequestsOutsideReplayedRange() {
        ReplaySchedule.Terms range = new ReplaySchedule.Terms(1, 1, 1_000, 2_000, 1);
        assertEquals(
                List.of(new Sent(0, 0, "b"), new Sent(999, 0, "c")),
                replay(range, Map.of(999.0, "a", 1_000.0, "b", 1_999.0, "c", 2_000.0, "d")));
    }

    @Test
    void sendsCopiesInOrderWithinOneSecondOfLogTime() {
        Map<Double, String> log = new HashMap<>();
        for (int i = 0; i < 500; i++) {
            log.put(i * 20.0, "r" + i);
        }
        List<Sent> sent = replay(terms(2, 4), log);
        assertEquals(2_000, sent.size());
        double previousMs = 0;
        for (Sent request : sent) {
            assertTrue(request.dueMs >= previousMs);
            previousMs = request.dueMs;
            double originalMs = Integer.parseInt(request.request.substring(1)) * 10.0;
            assertTrue(request.dueMs >= originalMs && request.dueMs <= originalMs + 500, request.toString());
        }
    }

    /** The mix of classes is preserved at every point of the replay, not only in total. */
    @Property(tries = 200)
    void preservesClassMixAtAnyRateScale(
            @ForAll @DoubleRange(min = 0.05, max = 5) double scale,
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        Map<String, double[]> counts = new HashMap<>();
        SplittableRandom random = new SplittableRandom(seed);
        ReplaySchedule<String> schedule = new ReplaySchedule<>(
                new ReplaySchedule.Terms(1, scale, Double.NaN, Double.NaN, seed), (dueMs, copy, request) -> {
                    counts.get(request)[1]++;
                });
        for (int i = 0; i < 2_000; i++) {
            String type = "c" + random.nextInt(3);
            counts.computeIfAbsent(type, name -> new double[2])[0]++;
            schedule.take(i * 10_000.0, type, type);
            // This request is more than a second later, so all copies of the previous one have been sent.
            counts.computeIfAbsent("other", name -> new double[2])[0]++;
            schedule.take(i * 10_000.0 + 5_000, "other", "other");
            for (double[] count : counts.values()) {
                // Tolerates the random initial credit and the pending copies of the last request.
                assertTrue(Math.abs(count[0] * scale - count[1]) <= 1 + Math.ceil(scale), "scale " + scale);
            }
        }
    }

    @Test
    void boundsPendingCopies() {
        int[] sent = {0};
        ReplaySchedule<Integer> schedule = new ReplaySchedule<>(terms(1, 1_000), (dueMs, copy, request) -> sent[0]++);
        for (int i = 0; i < 1_000; i++) {
            schedule.take(i * 0.001, "c", i);
            assertTrue((i + 1) * 1_000 - sent[0] <= ReplaySchedule.MAX_PENDING_COPIES + 1_000);
        }
        schedule.end();
        assertEquals(1_000_000, sent[0]);
    }

    // ---- Clients -----------------------------------------------------------------------------------

    private static final ReplayClient.Terms TERMS = new ReplayClient.Terms(2, 0.4, 0.4, 100, 1, 2_000);

    private static ReplayClient client(Repeat repeat) {
        ReplayClient client = new ReplayClient(TERMS, repeat, 1_000, 400, new SplittableRandom(1));
        assertEquals(400, client.begin(0));
        return client;
    }

    private static double next(ReplayClient client, double elapsedMs, Outcome outcome, double retryAfterMs) {
        return client.next(elapsedMs, outcome, retryAfterMs, new SplittableRandom(1));
    }

    @Test
    void retriesPossiblyExecutedRequestOnlyIfRepeatAllows() {
        assertEquals(100, next(client(Repeat.ALWAYS), 50, Outcome.FAILED, 0));
        assertEquals(Double.NaN, next(client(Repeat.NEVER), 50, Outcome.FAILED, 0));
        assertEquals(100, next(client(Repeat.WITHIN_WINDOW), 299, Outcome.FAILED, 0));
        assertEquals(Double.NaN, next(client(Repeat.WITHIN_WINDOW), 300, Outcome.FAILED, 0));
        for (Repeat repeat : Repeat.values()) {
            assertEquals(100, next(client(repeat), 50, Outcome.REFUSED, 0));
            assertEquals(100, next(client(repeat), 50, Outcome.UNREACHABLE, 0));
            assertEquals(Double.NaN, next(client(repeat), 50, Outcome.SERVED, 0));
        }
    }

    @Test
    void followsRetryAfterWithGivenProbabilityUpToMaximum() {
        assertEquals(700, next(client(Repeat.NEVER), 50, Outcome.REFUSED, 700));
        assertEquals(
                Double.NaN, next(client(Repeat.NEVER), 50, Outcome.REFUSED, 5_000), "the delay exceeds the deadline");
        assertEquals(100, next(client(Repeat.NEVER), 50, Outcome.REFUSED, 30), "never earlier than the backoff");
        int honoured = 0;
        SplittableRandom random = new SplittableRandom(3);
        for (int i = 0; i < 10_000; i++) {
            ReplayClient client = new ReplayClient(
                    new ReplayClient.Terms(2, 0.4, 0.4, 100, 0.3, 2_000), Repeat.NEVER, 10_000, 0, random);
            client.begin(0);
            honoured += client.next(1, Outcome.REFUSED, 700, random) == 700 ? 1 : 0;
        }
        assertEquals(3_000, honoured, 200);
    }

    /** A client never exceeds its number of retries or its deadline, whatever the outcomes are. */
    @Property(tries = 2_000)
    void clientStaysWithinRetriesAndDeadline(@ForAll @LongRange(min = 0, max = 1_000_000_000) long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ReplayClient.Terms terms =
                new ReplayClient.Terms(random.nextInt(5), 0.3, 0.9, random.nextDouble(500), random.nextDouble(), 2_000);
        Repeat repeat = Repeat.values()[random.nextInt(3)];
        double deadlineMs = random.nextDouble(10, 5_000);
        ReplayClient client = new ReplayClient(terms, repeat, deadlineMs, 1_000, random);
        double nowMs = 0;
        boolean mayHaveRun = false;
        while (true) {
            assertTrue(nowMs < deadlineMs);
            assertTrue(!mayHaveRun || repeat != Repeat.NEVER);
            double timeoutMs = client.begin(nowMs);
            assertTrue(timeoutMs >= 1 && timeoutMs <= Math.max(1, deadlineMs - nowMs));
            nowMs += random.nextDouble(timeoutMs + 1e-9);
            Outcome outcome = Outcome.values()[random.nextInt(4)];
            mayHaveRun |= outcome == Outcome.FAILED;
            double delayMs = client.next(nowMs, outcome, random.nextDouble(3_000), random);
            if (Double.isNaN(delayMs)) {
                break;
            }
            assertTrue(delayMs >= 0);
            nowMs += delayMs;
        }
        assertTrue(client.attempts() <= terms.retries() + 1);
    }
}

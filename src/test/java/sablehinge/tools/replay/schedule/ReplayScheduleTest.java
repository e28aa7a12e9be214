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

    private record Due(double at, int copy, String request) {}

    private static List<Due> play(ReplaySchedule.Terms terms, Map<Double, String> log) {
        List<Due> due = new ArrayList<>();
        ReplaySchedule<String> schedule =
                new ReplaySchedule<>(terms, (at, copy, request) -> due.add(new Due(at, copy, request)));
        log.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(e -> schedule.take(e.getKey(), e.getValue().substring(0, 1), e.getValue()));
        schedule.end();
        return due;
    }

    private static ReplaySchedule.Terms terms(double compress, double scale) {
        return new ReplaySchedule.Terms(compress, scale, Double.NaN, Double.NaN, 1);
    }

    @Test
    void timeIsCompressedFromTheFirstRequestOn() {
        assertEquals(
                List.of(new Due(0, 0, "a"), new Due(100, 0, "b")),
                play(terms(12, 1), Map.of(5_000.0, "a", 6_200.0, "b")));
    }

    @Test
    void whatLiesOutsideTheTimesIsLeftOut() {
        ReplaySchedule.Terms middle = new ReplaySchedule.Terms(1, 1, 1_000, 2_000, 1);
        assertEquals(
                List.of(new Due(0, 0, "b"), new Due(999, 0, "c")),
                play(middle, Map.of(999.0, "a", 1_000.0, "b", 1_999.0, "c", 2_000.0, "d")));
    }

    @Test
    void copiesLieWithinASecondOfTheLogAndStandInOrder() {
        Map<Double, String> log = new HashMap<>();
        for (int i = 0; i < 500; i++) {
            log.put(i * 20.0, "r" + i);
        }
        List<Due> due = play(terms(2, 4), log);
        assertEquals(2_000, due.size());
        double before = 0;
        for (Due one : due) {
            assertTrue(one.at >= before);
            before = one.at;
            double original = Integer.parseInt(one.request.substring(1)) * 10.0;
            assertTrue(one.at >= original && one.at <= original + 500, one.toString());
        }
    }

    /** The mix of classes is kept in every stretch and not only in the sum. */
    @Property(tries = 200)
    void anyScaleKeepsTheMix(
            @ForAll @DoubleRange(min = 0.05, max = 5) double scale,
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        Map<String, double[]> counts = new HashMap<>();
        SplittableRandom random = new SplittableRandom(seed);
        ReplaySchedule<String> schedule = new ReplaySchedule<>(
                new ReplaySchedule.Terms(1, scale, Double.NaN, Double.NaN, seed), (at, copy, request) -> {
                    counts.get(request)[1]++;
                });
        for (int i = 0; i < 2_000; i++) {
            String type = "c" + random.nextInt(3);
            counts.computeIfAbsent(type, name -> new double[2])[0]++;
            schedule.take(i * 10_000.0, type, type);
            // A second later all copies of it are out.
            counts.computeIfAbsent("other", name -> new double[2])[0]++;
            schedule.take(i * 10_000.0 + 5_000, "other", "other");
            for (double[] count : counts.values()) {
                // One owed in advance, and the copies of the last.
                assertTrue(Math.abs(count[0] * scale - count[1]) <= 1 + Math.ceil(scale), "scale " + scale);
            }
        }
    }

    @Test
    void whatWaitsIsBounded() {
        int[] sent = {0};
        ReplaySchedule<Integer> schedule = new ReplaySchedule<>(terms(1, 1_000), (at, copy, request) -> sent[0]++);
        for (int i = 0; i < 1_000; i++) {
            schedule.take(i * 0.001, "c", i);
            assertTrue((i + 1) * 1_000 - sent[0] <= ReplaySchedule.MAX_WAITING + 1_000);
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

    private static double next(ReplayClient client, double elapsed, Outcome outcome, double retryAfter) {
        return client.next(elapsed, outcome, retryAfter, new SplittableRandom(1));
    }

    @Test
    void whatMayHaveRunIsTriedAgainOnlyWhereThatIsAllowed() {
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
    void retryAfterIsHonouredInPartAndUpToABound() {
        assertEquals(700, next(client(Repeat.NEVER), 50, Outcome.REFUSED, 700));
        assertEquals(Double.NaN, next(client(Repeat.NEVER), 50, Outcome.REFUSED, 5_000), "no time is left then");
        assertEquals(100, next(client(Repeat.NEVER), 50, Outcome.REFUSED, 30), "never sooner than its own wait");
        int honoured = 0;
        SplittableRandom random = new SplittableRandom(3);
        for (int i = 0; i < 10_000; i++) {
            ReplayClient half = new ReplayClient(
                    new ReplayClient.Terms(2, 0.4, 0.4, 100, 0.3, 2_000), Repeat.NEVER, 10_000, 0, random);
            half.begin(0);
            honoured += half.next(1, Outcome.REFUSED, 700, random) == 700 ? 1 : 0;
        }
        assertEquals(3_000, honoured, 200);
    }

    /** No client makes more tries than it may, nor any after its deadline, whatever comes out. */
    @Property(tries = 2_000)
    void noClientGoesBeyondItsBounds(@ForAll @LongRange(min = 0, max = 1_000_000_000) long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ReplayClient.Terms terms =
                new ReplayClient.Terms(random.nextInt(5), 0.3, 0.9, random.nextDouble(500), random.nextDouble(), 2_000);
        Repeat repeat = Repeat.values()[random.nextInt(3)];
        double deadline = random.nextDouble(10, 5_000);
        ReplayClient client = new ReplayClient(terms, repeat, deadline, 1_000, random);
        double now = 0;
        boolean mayHaveRun = false;
        while (true) {
            assertTrue(now < deadline);
            assertTrue(!mayHaveRun || repeat != Repeat.NEVER);
            double timeout = client.begin(now);
            assertTrue(timeout >= 1 && timeout <= Math.max(1, deadline - now));
            now += random.nextDouble(timeout + 1e-9);
            Outcome outcome = Outcome.values()[random.nextInt(4)];
            mayHaveRun |= outcome == Outcome.FAILED;
            double wait = client.next(now, outcome, random.nextDouble(3_000), random);
            if (Double.isNaN(wait)) {
                break;
            }
            assertTrue(wait >= 0);
            now += wait;
        }
        assertTrue(client.tries() <= terms.retries() + 1);
    }
}

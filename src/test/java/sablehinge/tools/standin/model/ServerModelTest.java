package sablehinge.tools.standin.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import sablehinge.tools.standin.model.Faults.Fault;
import sablehinge.tools.standin.model.Faults.Kind;
import sablehinge.tools.standin.model.Faults.Strike;

class ServerModelTest {

    private static final ServerModel.Terms TWO = new ServerModel.Terms(2, 1, 4, 2, 0.2, 1_000, 3, 100);

    /** Runs until nothing is left to do; when each was done. */
    private static Map<Long, Double> run(ServerModel model, double until) {
        Map<Long, Double> done = new HashMap<>();
        while (model.time() < until) {
            for (long id : model.advance(until)) {
                done.put(id, model.time());
                model.leave(id);
            }
        }
        return done;
    }

    @Test
    void coresAreSharedEvenly() {
        ServerModel model = new ServerModel(TWO, 0, Double.NaN);
        for (long id = 1; id <= 4; id++) {
            assertTrue(model.arrive(0, id, id == 4 ? 20 : 10, false));
        }
        Map<Long, Double> done = run(model, 100);
        assertEquals(20, done.get(1L), 0.01, "four on two cores take twice as long");
        assertEquals(30, done.get(4L), 0.01, "and the last has a core of its own from then on");
    }

    @Test
    void slotsAndQueueAreBoundedAndGoOnInOrder() {
        ServerModel model = new ServerModel(TWO, 0, Double.NaN);
        for (long id = 1; id <= 6; id++) {
            assertTrue(model.arrive(0, id, 10, false));
        }
        assertFalse(model.arrive(0, 7, 10, false), "turned away");
        assertEquals(2, model.queued());
        model.leave(2);
        assertEquals(1, model.queued());
        assertTrue(model.arrive(0, 8, 10, false));
        Map<Long, Double> done = run(model, 100);
        assertEquals(6, done.size());
        assertTrue(done.get(5L) <= done.get(8L));
    }

    @Test
    void whoWaitsForTheTierBehindKeepsItsSlotAndNoCore() {
        ServerModel model = new ServerModel(TWO, 0, Double.NaN);
        model.arrive(0, 1, 10, false);
        assertEquals(List.of(1L), model.advance(50));
        assertEquals(1, model.inWork());
        for (long id = 2; id <= 4; id++) {
            model.arrive(model.time(), id, 10, false);
        }
        model.arrive(model.time(), 5, 10, false);
        assertEquals(1, model.queued());
        model.resume(1, 10);
        assertEquals(5, run(model, 200).size());
    }

    @Test
    void aStallStopsAllAndSlownessStretches() {
        ServerModel model = new ServerModel(TWO, 0, Double.NaN);
        model.arrive(0, 1, 10, false);
        model.stall(true);
        assertEquals(Map.of(), run(model, 500));
        model.stall(false);
        model.slow(3);
        assertEquals(530, run(model, 600).get(1L), 0.01);
    }

    @Test
    void aColdOneWarmsUpEvenly() {
        ServerModel model = new ServerModel(TWO, 0, 0);
        assertEquals(0.2, model.warmth(0), 1e-9);
        assertEquals(0.6, model.warmth(500), 1e-9);
        assertEquals(1, model.warmth(1_000), 1e-9);
        model.arrive(0, 1, 10, true);
        // Work of 10 at 0.2 + 0.0008 t a ms: the root of 0.0004 t^2 + 0.2 t = 10.
        assertEquals(45.9, run(model, 200).get(1L), 1);
    }

    @Test
    void aColdOneThatIsSentTooMuchFallsAndTellsWhoKnew() {
        ServerModel model = new ServerModel(TWO, 0, 0);
        // Three times 2 cores at 0.2 for 100 ms is 120 ms of work.
        for (long id = 1; id <= 11; id++) {
            model.arrive(0, id, 10, id % 2 == 0);
        }
        assertTrue(Double.isNaN(model.fell()));
        model.arrive(0, 12, 20, true);
        assertEquals(0, model.fell());
        assertEquals(70.0 / 130, model.informed(), 1e-9);
        assertFalse(model.arrive(1, 13, 1, true));
        ServerModel warm = new ServerModel(TWO, 0, Double.NaN);
        for (long id = 1; id <= 1_000; id++) {
            warm.arrive(0, id, 10, true);
        }
        assertTrue(Double.isNaN(warm.fell()), "a warm one turns away and stands");
    }

    /** As on the clock: times since 1970 have so coarse steps that the last bit of work may be less than one. */
    @Test
    void timeGoesOnWhateverIsLeftOfTheWork() {
        for (long seed = 0; seed < 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            double now = 1.79e12 + random.nextDouble(1e6);
            ServerModel model = new ServerModel(TWO, now, random.nextBoolean() ? now : Double.NaN);
            long id = 0;
            int in = 0;
            int out = 0;
            for (int i = 0; i < 200; i++) {
                now += random.nextDouble(20);
                while (model.time() < now) {
                    List<Long> done = model.advance(now);
                    done.forEach(model::leave);
                    out += done.size();
                }
                in += model.arrive(now, ++id, random.nextDouble(8), false) ? 1 : 0;
            }
            double end = now + 10_000;
            while (model.time() < end) {
                List<Long> done = model.advance(end);
                done.forEach(model::leave);
                out += done.size();
            }
            assertTrue(!Double.isNaN(model.fell()) || in == out, "seed " + seed + ": " + in + " in, " + out + " out");
        }
    }

    // ---- Faults ------------------------------------------------------------------------------------

    private static Fault fault(Kind kind, int tier, int servers, double chance) {
        return new Fault(kind, tier, 100, 200, servers, 3, chance);
    }

    @Test
    void theSameSeedStrikesTheSameServersAndNoneTwice() {
        List<Fault> faults = List.of(fault(Kind.STALL, 0, 3, 0), fault(Kind.SLOW, -1, 1, 0));
        List<Strike> strikes = new Faults(faults, List.of(5, 4), 9).strikes();
        assertEquals(strikes, new Faults(faults, List.of(5, 4), 9).strikes());
        assertEquals(5, strikes.size());
        assertEquals(
                3,
                strikes.stream()
                        .filter(s -> s.kind() == Kind.STALL)
                        .map(Strike::server)
                        .distinct()
                        .count());
        List<List<Strike>> drawn = new ArrayList<>();
        for (long seed = 0; seed < 20; seed++) {
            drawn.add(new Faults(faults, List.of(5, 4), seed).strikes());
        }
        assertTrue(drawn.stream().distinct().count() > 10);
        assertEquals(
                2,
                new Faults(List.of(fault(Kind.STALL, 0, 7, 0)), List.of(2), 1)
                        .strikes()
                        .size());
    }

    @Test
    void faultsHoldInTheirTimeOnly() {
        Faults faults = new Faults(List.of(fault(Kind.STALL, 0, 1, 0), fault(Kind.SLOW, 0, 1, 0)), List.of(1), 1);
        assertFalse(faults.struck(Kind.STALL, 0, 0, 99));
        assertTrue(faults.struck(Kind.STALL, 0, 0, 100));
        assertFalse(faults.struck(Kind.STALL, 0, 0, 200));
        assertFalse(faults.struck(Kind.STALL, 1, 0, 150));
        assertEquals(3, faults.slower(0, 0, 150));
        assertEquals(1, faults.slower(0, 0, 250));
    }

    @Test
    void requestsAreStruckByTheirChances() {
        Faults faults = new Faults(List.of(fault(Kind.ERROR, 0, 1, 0.1), fault(Kind.HALF, 0, 1, 0.2)), List.of(1), 1);
        assertEquals(Kind.ERROR, faults.strikes(0, 0, 150, 0.09));
        assertEquals(Kind.HALF, faults.strikes(0, 0, 150, 0.29));
        assertNull(faults.strikes(0, 0, 150, 0.31));
        assertNull(faults.strikes(0, 0, 250, 0));
    }
}

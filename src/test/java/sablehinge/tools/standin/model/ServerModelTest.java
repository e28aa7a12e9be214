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
import sablehinge.tools.standin.model.Faults.ServerFault;

class ServerModelTest {

    private static final ServerModel.Capacity TWO_CORES = new ServerModel.Capacity(2, 1, 4, 2, 0.2, 1_000, 3, 100);

    /** Advances the model to a time; returns when each request completed. */
    private static Map<Long, Double> run(ServerModel model, double until) {
        Map<Long, Double> done = new HashMap<>();
        while (model.time() < until) {
            for (long id : model.advance(until)) {
                done.put(id, model.time());
                model.remove(id);
            }
        }
        return done;
    }

    @Test
    void sharesCoresEvenly() {
        ServerModel model = new ServerModel(TWO_CORES, 0, Double.NaN);
        for (long id = 1; id <= 4; id++) {
            assertTrue(model.offer(0, id, id == 4 ? 20 : 10, false));
        }
        Map<Long, Double> done = run(model, 100);
        assertEquals(20, done.get(1L), 0.01, "four requests on two cores take twice as long");
        assertEquals(30, done.get(4L), 0.01, "then the last request has a core of its own");
    }

    @Test
    void boundsSlotsAndQueueAndStartsQueuedRequestsInOrder() {
        ServerModel model = new ServerModel(TWO_CORES, 0, Double.NaN);
        for (long id = 1; id <= 6; id++) {
            assertTrue(model.offer(0, id, 10, false));
        }
        assertFalse(model.offer(0, 7, 10, false), "request beyond slots and queue is rejected");
        assertEquals(2, model.queuedRequests());
        model.remove(2);
        assertEquals(1, model.queuedRequests());
        assertTrue(model.offer(0, 8, 10, false));
        Map<Long, Double> done = run(model, 100);
        assertEquals(6, done.size());
        assertTrue(done.get(5L) <= done.get(8L));
    }

    @Test
    void requestWaitingForNextTierRetainsSlotButUsesNoCore() {
        ServerModel model = new ServerModel(TWO_CORES, 0, Double.NaN);
        model.offer(0, 1, 10, false);
        assertEquals(List.of(1L), model.advance(50));
        assertEquals(1, model.inProgress());
        for (long id = 2; id <= 4; id++) {
            model.offer(model.time(), id, 10, false);
        }
        model.offer(model.time(), 5, 10, false);
        assertEquals(1, model.queuedRequests());
        model.resume(1, 10);
        assertEquals(5, run(model, 200).size());
    }

    @Test
    void stallStopsProcessingAndSlowdownProlongsIt() {
        ServerModel model = new ServerModel(TWO_CORES, 0, Double.NaN);
        model.offer(0, 1, 10, false);
        model.stall(true);
        assertEquals(Map.of(), run(model, 500));
        model.stall(false);
        model.slow(3);
        assertEquals(530, run(model, 600).get(1L), 0.01);
    }

    @Test
    void coldServerWarmsUpLinearly() {
        ServerModel model = new ServerModel(TWO_CORES, 0, 0);
        assertEquals(0.2, model.capacityShare(0), 1e-9);
        assertEquals(0.6, model.capacityShare(500), 1e-9);
        assertEquals(1, model.capacityShare(1_000), 1e-9);
        model.offer(0, 1, 10, true);
        // 10 ms of work at a rate of 0.2 + 0.0008 t: the root of 0.0004 t^2 + 0.2 t = 10.
        assertEquals(45.9, run(model, 200).get(1L), 1);
    }

    @Test
    void overloadedColdServerCrashesAndReportsInformedShare() {
        ServerModel model = new ServerModel(TWO_CORES, 0, 0);
        // The limit is 3 * 2 cores * 0.2 * 100 ms = 120 ms of work.
        for (long id = 1; id <= 11; id++) {
            model.offer(0, id, 10, id % 2 == 0);
        }
        assertTrue(Double.isNaN(model.crashedAt()));
        model.offer(0, 12, 20, true);
        assertEquals(0, model.crashedAt());
        assertEquals(70.0 / 130, model.informedShare(), 1e-9);
        assertFalse(model.offer(1, 13, 1, true));
        ServerModel warm = new ServerModel(TWO_CORES, 0, Double.NaN);
        for (long id = 1; id <= 1_000; id++) {
            warm.offer(0, id, 10, true);
        }
        assertTrue(Double.isNaN(warm.crashedAt()), "warm server rejects requests and does not crash");
    }

    /** Epoch times in doubles are so coarse that the remaining work of a request may be below their resolution. */
    @Test
    void timeAdvancesWhenRemainingWorkIsBelowClockResolution() {
        for (long seed = 0; seed < 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            double now = 1.79e12 + random.nextDouble(1e6);
            ServerModel model = new ServerModel(TWO_CORES, now, random.nextBoolean() ? now : Double.NaN);
            long id = 0;
            int admitted = 0;
            int completed = 0;
            for (int i = 0; i < 200; i++) {
                now += random.nextDouble(20);
                while (model.time() < now) {
                    List<Long> done = model.advance(now);
                    done.forEach(model::remove);
                    completed += done.size();
                }
                admitted += model.offer(now, ++id, random.nextDouble(8), false) ? 1 : 0;
            }
            double end = now + 10_000;
            while (model.time() < end) {
                List<Long> done = model.advance(end);
                done.forEach(model::remove);
                completed += done.size();
            }
            assertTrue(
                    !Double.isNaN(model.crashedAt()) || admitted == completed,
                    "seed " + seed + ": " + admitted + " admitted, " + completed + " completed");
        }
    }

    // ---- Faults ------------------------------------------------------------------------------------

    private static Fault fault(Kind kind, int tier, int servers, double probability) {
        return new Fault(kind, tier, 100, 200, servers, 3, probability);
    }

    @Test
    void sameSeedSelectsSameServersAndNoneTwice() {
        List<Fault> faults = List.of(fault(Kind.STALL, 0, 3, 0), fault(Kind.SLOW, -1, 1, 0));
        List<ServerFault> serverFaults = new Faults(faults, List.of(5, 4), 9).serverFaults();
        assertEquals(serverFaults, new Faults(faults, List.of(5, 4), 9).serverFaults());
        assertEquals(5, serverFaults.size());
        assertEquals(
                3,
                serverFaults.stream()
                        .filter(s -> s.kind() == Kind.STALL)
                        .map(ServerFault::server)
                        .distinct()
                        .count());
        List<List<ServerFault>> drawn = new ArrayList<>();
        for (long seed = 0; seed < 20; seed++) {
            drawn.add(new Faults(faults, List.of(5, 4), seed).serverFaults());
        }
        assertTrue(drawn.stream().distinct().count() > 10);
        assertEquals(
                2,
                new Faults(List.of(fault(Kind.STALL, 0, 7, 0)), List.of(2), 1)
                        .serverFaults()
                        .size());
    }

    @Test
    void faultsAreActiveOnlyDuringTheirInterval() {
        Faults faults = new Faults(List.of(fault(Kind.STALL, 0, 1, 0), fault(Kind.SLOW, 0, 1, 0)), List.of(1), 1);
        assertFalse(faults.isActive(Kind.STALL, 0, 0, 99));
        assertTrue(faults.isActive(Kind.STALL, 0, 0, 100));
        assertFalse(faults.isActive(Kind.STALL, 0, 0, 200));
        assertFalse(faults.isActive(Kind.STALL, 1, 0, 150));
        assertEquals(3, faults.slowdown(0, 0, 150));
        assertEquals(1, faults.slowdown(0, 0, 250));
    }

    @Test
    void requestFaultsFollowTheirProbabilities() {
        Faults faults = new Faults(List.of(fault(Kind.ERROR, 0, 1, 0.1), fault(Kind.HALF, 0, 1, 0.2)), List.of(1), 1);
        assertEquals(Kind.ERROR, faults.requestFault(0, 0, 150, 0.09));
        assertEquals(Kind.HALF, faults.requestFault(0, 0, 150, 0.29));
        assertNull(faults.requestFault(0, 0, 150, 0.31));
        assertNull(faults.requestFault(0, 0, 250, 0));
    }
}

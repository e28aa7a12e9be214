package sablehinge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import sablehinge.policy.LoadBalancer.Change;
import sablehinge.policy.LoadBalancer.Group;
import sablehinge.policy.LoadBalancer.Repeat;
import sablehinge.policy.LoadBalancer.Result;
import sablehinge.policy.LoadBalancer.State;

/** Random valid event sequences; the rules are checked after every step against state that the test tracks itself. */
class RandomEventsTest {

    @Test
    void rulesHoldAfterEveryStep() {
        for (long seed = 1; seed <= 300; seed++) {
            Driver run = new Driver(seed);
            for (int step = 0; step < 300; step++) {
                run.step();
                run.check("seed " + seed + " step " + step);
            }
            run.drain("seed " + seed);
        }
    }

    @Test
    void sameEventsGiveSameActions() {
        Driver first = new Driver(77);
        Driver second = new Driver(77);
        for (int step = 0; step < 500; step++) {
            first.step();
            second.step();
            first.check("first");
            second.check("second");
        }
        assertFalse(first.harness.sends.isEmpty());
        assertEquals(first.harness.sends, second.harness.sends);
        assertEquals(first.harness.refused, second.harness.refused);
    }

    /** Drives one instance with random events and tracks the state against which its actions are checked. */
    private static final class Driver {
        private static final int SERVERS = 6;
        private static final double SETTLE_MS = 100;
        private static final Result[] UNSERVED = {
            Result.ERROR, Result.FULL, Result.TIMEOUT, Result.CONNECT_FAILED, Result.RESET, Result.NOT_SENT
        };

        private final SplittableRandom random;
        private final Repeat repeat;
        private final Group group;
        private final boolean parallel;
        private final boolean streamed;
        private final boolean inOrder;
        private final boolean restricted;
        private final BalancerHarness harness;
        private final TestSettings.Server[] servers = new TestSettings.Server[SERVERS];
        private final State[] states = new State[SERVERS];
        /** Sends without an outcome yet. */
        private final List<BalancerHarness.Sent> inFlight = new ArrayList<>();

        private final Map<Long, List<BalancerHarness.Sent>> byRequest = new HashMap<>();
        private final Set<BalancerHarness.Sent> provenNotRun = new HashSet<>();
        private final Map<Long, Double> deadlines = new HashMap<>();
        private final Set<Long> streaming = new HashSet<>();
        private final Set<Long> servedOrDisconnected = new HashSet<>();
        private final Map<Long, Integer> classOf = new HashMap<>();
        private final Map<Long, Long> keyOf = new HashMap<>();
        /** Time from which no abandoned attempt of a request counts as running. */
        private final Map<Long, Double> settledAt = new HashMap<>();
        /** For each server since it was last listed anew: its start, the sends to it and its send budget. */
        private final double[] startedAt = new double[SERVERS];

        private final int[] warmUpSends = new int[SERVERS];
        private final double[] warmUpBudget = new double[SERVERS];
        private int checkedSends;
        private int checkedRefusals;
        private long nextId;

        Driver(long seed) {
            random = new SplittableRandom(seed);
            repeat = Repeat.values()[random.nextInt(3)];
            group = Group.values()[random.nextInt(3)];
            parallel = random.nextBoolean();
            streamed = random.nextInt(4) == 0;
            inOrder = !streamed && random.nextBoolean();
            restricted = random.nextInt(3) == 0;
            TestSettings.Builder builder = TestSettings.builder()
                    .repeat(repeat)
                    .group(group)
                    .memory(700)
                    .parallel(parallel)
                    .streamed(streamed)
                    .inOrder(inOrder)
                    .siblings(3)
                    .lateValue(random.nextBoolean() ? 0.3 : 0);
            harness = new BalancerHarness((restricted ? builder.onlyZones(1).onlyKinds(0) : builder).build(), seed);
            for (int i = 0; i < SERVERS; i++) {
                servers[i] = TestSettings.server(i + 1).zone(i % 2).cell(i / 2).kind(i / 4);
                states[i] = State.READY;
            }
            harness.updateUpstreams(Change.CACHED, servers);
        }

        private void step() {
            switch (random.nextInt(12)) {
                case 0, 1, 2, 3:
                    arrive();
                    break;
                case 4, 5, 6, 7:
                    finishOne();
                    break;
                case 8:
                    changeList();
                    break;
                case 9:
                    disconnectClient();
                    break;
                case 10:
                    startStream();
                    break;
                default:
                    advance(random.nextDouble() * 200);
            }
        }

        private void arrive() {
            long id = nextId++;
            double deadline = harness.now + random.nextInt(-20, 2_000);
            deadlines.put(id, deadline);
            classOf.put(id, random.nextInt(2));
            keyOf.put(id, (long) random.nextInt(4));
            addWarmUpBudget(classOf.get(id));
            harness.request(
                    id, classOf.get(id), deadline, random.nextInt(3) == 0 ? random.nextInt(100) : 0, keyOf.get(id));
        }

        /** Whether placement allows a class to be sent to a server. */
        private boolean mayGoTo(int serviceClass, int server) {
            return !restricted || serviceClass == 1 || server % 2 == 1 && server / 4 == 0;
        }

        /**
         * Adds to the budget of each warming server 0.9 of its capacity's share of a request; the total capacity counts
         * as half of the eligible fleet, the lower bound that the balancer assumes.
         */
        private void addWarmUpBudget(int serviceClass) {
            long usable = 0;
            for (int i = 0; i < SERVERS; i++) {
                usable += states[i] == State.READY && mayGoTo(serviceClass, i) ? 1 : 0;
            }
            for (int i = 0; i < SERVERS; i++) {
                if (usable > 0 && mayGoTo(serviceClass, i)) {
                    double warmth = Math.min(1, 0.2 + 0.8 * (harness.now - startedAt[i]) / 10_000);
                    warmUpBudget[i] += 0.9 * warmth / (usable / 2.0);
                }
            }
        }

        private void finishOne() {
            if (inFlight.isEmpty()) {
                return;
            }
            BalancerHarness.Sent sent = inFlight.remove(random.nextInt(inFlight.size()));
            Result result = random.nextInt(3) > 0 ? Result.OK : UNSERVED[random.nextInt(UNSERVED.length)];
            if (!harness.isPending(sent.request())) {
                result = random.nextBoolean() ? Result.CANCELLED : result;
            }
            if (result == Result.OK) {
                servedOrDisconnected.add(sent.request());
            }
            finish(sent, result);
        }

        private void finish(BalancerHarness.Sent sent, Result result) {
            if (result.neverRan()) {
                provenNotRun.add(sent);
            }
            if (result == Result.TIMEOUT || result == Result.RESET || result == Result.CANCELLED) {
                settledAt.put(sent.request(), harness.now + SETTLE_MS);
            }
            harness.finish(sent, result);
        }

        private void changeList() {
            int i = random.nextInt(SERVERS);
            states[i] = State.values()[random.nextInt(3)];
            if (random.nextBoolean()) {
                servers[i].startedAt(harness.now);
                startedAt[i] = harness.now;
                resetWarmUp(i);
            }
            if (states[i] == State.REMOVED) {
                resetWarmUp(i);
            }
            if (random.nextInt(4) == 0) {
                List<TestSettings.Server> all = new ArrayList<>();
                for (int k = 0; k < SERVERS; k++) {
                    if (states[k] != State.REMOVED) {
                        all.add(servers[k].state(states[k]));
                    }
                }
                harness.updateUpstreams(Change.FULL, all.toArray(TestSettings.Server[]::new));
            } else if (random.nextInt(5) == 0) {
                // The failed update does not report the change; the server is removed by the delta that follows.
                harness.updateUpstreams(Change.FAILED);
                states[i] = State.REMOVED;
                resetWarmUp(i);
                harness.updateUpstreams(Change.DELTA, servers[i].state(State.REMOVED));
            } else {
                harness.updateUpstreams(Change.DELTA, servers[i].state(states[i]));
            }
        }

        private void resetWarmUp(int server) {
            warmUpSends[server] = 0;
            warmUpBudget[server] = 0;
        }

        /** Rule 4: a warming server gets one call initially and then as many as its budget allows. */
        private void checkWarmUpBudget(BalancerHarness.Sent sent, String context) {
            int server = (int) sent.upstream() - 1;
            if (startedAt[server] != 0 && sent.at() - startedAt[server] < 10_000) {
                warmUpSends[server]++;
                assertTrue(
                        warmUpSends[server] <= 1 + warmUpBudget[server] + 1e-9,
                        context + ": rule 4: " + warmUpSends[server] + " of " + warmUpBudget[server]);
            }
        }

        private void disconnectClient() {
            if (!harness.pending.isEmpty() && random.nextInt(3) == 0) {
                long id = harness.pending.stream()
                        .mapToLong(Long::longValue)
                        .min()
                        .orElseThrow();
                servedOrDisconnected.add(id);
                harness.clientGone(id);
            }
        }

        private void startStream() {
            if (streamed && !inFlight.isEmpty()) {
                BalancerHarness.Sent sent = inFlight.get(random.nextInt(inFlight.size()));
                if (harness.isPending(sent.request()) && streaming.add(sent.request())) {
                    harness.streamStarted(sent);
                }
            }
        }

        /**
         * Advances the clock and reports timeouts when they are due, as the host does, also for attempts sent by
         * timers.
         */
        private void advance(double ms) {
            double until = harness.now + ms;
            while (harness.now < until) {
                harness.advance(Math.min(5, until - harness.now));
                check("while advancing");
                for (BalancerHarness.Sent sent : List.copyOf(inFlight)) {
                    boolean expired = !streaming.contains(sent.request()) && expiry(sent) <= harness.now;
                    if (expired && inFlight.remove(sent)) {
                        finish(sent, Result.TIMEOUT);
                        check("timeout");
                    }
                }
            }
        }

        private double expiry(BalancerHarness.Sent sent) {
            return Math.min(sent.at() + Math.max(0, sent.timeout()), deadlines.get(sent.request()));
        }

        private void check(String context) {
            for (; checkedSends < harness.sends.size(); checkedSends++) {
                BalancerHarness.Sent sent = harness.sends.get(checkedSends);
                checkSend(sent, context + ": " + sent);
                checkWarmUpBudget(sent, context + ": " + sent);
                byRequest
                        .computeIfAbsent(sent.request(), k -> new ArrayList<>())
                        .add(sent);
                inFlight.add(sent);
            }
            for (; checkedRefusals < harness.refused.size(); checkedRefusals++) {
                long id = harness.refused.get(checkedRefusals);
                boolean mayHaveRun =
                        byRequest.getOrDefault(id, List.of()).stream().anyMatch(s -> !provenNotRun.contains(s));
                assertTrue(
                        !mayHaveRun
                                || repeat == Repeat.IDEMPOTENT
                                || repeat == Repeat.DEDUPLICATED && group == Group.ALL,
                        context + ": refused " + id);
            }
            Set<Long> answered = new HashSet<>(servedOrDisconnected);
            for (long id : harness.refused) {
                assertTrue(answered.add(id), context + ": second final answer for " + id);
            }
            for (long id : harness.failed) {
                assertTrue(answered.add(id), context + ": second final answer for " + id);
            }
            for (long id : harness.pending) {
                assertTrue(
                        streaming.contains(id) || harness.now <= deadlines.get(id) + 20,
                        context + ": no answer in time for " + id);
            }
        }

        private void checkSend(BalancerHarness.Sent sent, String context) {
            int server = (int) sent.upstream() - 1;
            assertEquals(State.READY, states[server], context + ": rule 3");
            assertTrue(mayGoTo(classOf.get(sent.request()), server), context + ": rule 6");
            checkOrder(sent, context);
            assertFalse(servedOrDisconnected.contains(sent.request()), context + ": sent after the final answer");
            List<BalancerHarness.Sent> earlierSends = byRequest.getOrDefault(sent.request(), List.of());
            assertTrue(earlierSends.size() < 4, context + ": too many attempts");
            assertTrue(
                    parallel || earlierSends.stream().noneMatch(inFlight::contains), context + ": parallel attempts");
            for (BalancerHarness.Sent previous : earlierSends) {
                if (provenNotRun.contains(previous) || repeat == Repeat.IDEMPOTENT) {
                    continue;
                }
                assertTrue(repeat == Repeat.DEDUPLICATED, context + ": unsafe request repeated");
                assertTrue(sent.at() <= previous.at() + 700, context + ": after the memory has expired");
                int earlierServer = (int) previous.upstream() - 1;
                assertTrue(
                        group == Group.ALL
                                || (group == Group.ZONE
                                        ? earlierServer % 2 == server % 2
                                        : earlierServer / 2 == server / 2),
                        context + ": outside the group");
            }
        }

        /** Rule 5: ids increase in order of arrival; key 0 means no key. */
        private void checkOrder(BalancerHarness.Sent sent, String context) {
            long key = keyOf.get(sent.request());
            for (long id = 0; inOrder && key != 0 && id < sent.request(); id++) {
                long before = id;
                if (keyOf.get(before) == key) {
                    assertFalse(harness.isPending(before), context + ": rule 5: sent before " + before);
                    assertTrue(
                            inFlight.stream().noneMatch(other -> other.request() == before),
                            context + ": rule 5: sent while an attempt of " + before + " is in flight");
                    assertTrue(
                            sent.at() >= settledAt.getOrDefault(before, 0.0),
                            context + ": rule 5: sent before the settle time after " + before);
                }
            }
        }

        /** Finishes all attempts and checks that every request has its answer. */
        private void drain(String context) {
            advance(5_000);
            for (BalancerHarness.Sent sent : List.copyOf(inFlight)) {
                inFlight.remove(sent);
                servedOrDisconnected.add(sent.request());
                harness.finish(sent, Result.OK);
            }
            check(context);
            assertTrue(harness.pending.isEmpty(), context + ": unanswered " + harness.pending);
        }
    }
}

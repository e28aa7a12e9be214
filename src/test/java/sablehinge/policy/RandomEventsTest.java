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

/** Random legal event sequences; the rules are checked after every step against the test's own books. */
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
    void theSameEventsGiveTheSameActions() {
        Driver one = new Driver(77);
        Driver two = new Driver(77);
        for (int step = 0; step < 500; step++) {
            one.step();
            two.step();
            one.check("one");
            two.check("two");
        }
        assertFalse(one.bench.sends.isEmpty());
        assertEquals(one.bench.sends, two.bench.sends);
        assertEquals(one.bench.refused, two.bench.refused);
    }

    /** One instance under random events, with the books on which its actions are judged. */
    private static final class Driver {
        private static final int SERVERS = 6;
        private static final double SETTLE = 100;
        private static final Result[] UNSERVED = {
            Result.ERROR, Result.FULL, Result.TIMEOUT, Result.CONNECT_FAILED, Result.RESET, Result.NOT_SENT
        };

        private final SplittableRandom random;
        private final Repeat repeat;
        private final Group group;
        private final boolean parallel;
        private final boolean streamed;
        private final boolean inOrder;
        private final boolean placed;
        private final BalancerHarness bench;
        private final TestSettings.Server[] servers = new TestSettings.Server[SERVERS];
        private final State[] states = new State[SERVERS];
        /** Sends whose outcome has not come. */
        private final List<BalancerHarness.Sent> out = new ArrayList<>();

        private final Map<Long, List<BalancerHarness.Sent>> byRequest = new HashMap<>();
        private final Set<BalancerHarness.Sent> provenUnrun = new HashSet<>();
        private final Map<Long, Double> deadlines = new HashMap<>();
        private final Set<Long> streaming = new HashSet<>();
        private final Set<Long> servedOrGone = new HashSet<>();
        private final Map<Long, Integer> classOf = new HashMap<>();
        private final Map<Long, Long> keyOf = new HashMap<>();
        /** Since when no attempt of a request that was given up counts as running any more. */
        private final Map<Long, Double> rested = new HashMap<>();
        /** Since a server was last listed anew: its start, sends to it, what all requests earned it. */
        private final double[] started = new double[SERVERS];

        private final int[] sentTo = new int[SERVERS];
        private final double[] earned = new double[SERVERS];
        private int seen;
        private int refusedSeen;
        private long nextId;

        Driver(long seed) {
            random = new SplittableRandom(seed);
            repeat = Repeat.values()[random.nextInt(3)];
            group = Group.values()[random.nextInt(3)];
            parallel = random.nextBoolean();
            streamed = random.nextInt(4) == 0;
            inOrder = !streamed && random.nextBoolean();
            placed = random.nextInt(3) == 0;
            TestSettings.Builder site = TestSettings.plain()
                    .repeat(repeat)
                    .group(group)
                    .memory(700)
                    .parallel(parallel)
                    .streamed(streamed)
                    .inOrder(inOrder)
                    .siblings(3)
                    .lateValue(random.nextBoolean() ? 0.3 : 0);
            bench = new BalancerHarness((placed ? site.onlyZones(1).onlyKinds(0) : site).build(), seed);
            for (int i = 0; i < SERVERS; i++) {
                servers[i] = TestSettings.server(i + 1).zone(i % 2).cell(i / 2).kind(i / 4);
                states[i] = State.READY;
            }
            bench.list(Change.CACHED, servers);
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
                    leave();
                    break;
                case 10:
                    stream();
                    break;
                default:
                    advance(random.nextDouble() * 200);
            }
        }

        private void arrive() {
            long id = nextId++;
            double deadline = bench.now + random.nextInt(-20, 2_000);
            deadlines.put(id, deadline);
            classOf.put(id, random.nextInt(2));
            keyOf.put(id, (long) random.nextInt(4));
            earn(classOf.get(id));
            bench.request(
                    id, classOf.get(id), deadline, random.nextInt(3) == 0 ? random.nextInt(100) : 0, keyOf.get(id));
        }

        /** Whether a request's class may go to a server at all. */
        private boolean open(int serviceClass, int server) {
            return !placed || serviceClass == 1 || server % 2 == 1 && server / 4 == 0;
        }

        /**
         * A server that is warming up earns 0.9 of its present part of what it might get, of half the fleet at least.
         */
        private void earn(int serviceClass) {
            long usable = 0;
            for (int i = 0; i < SERVERS; i++) {
                usable += states[i] == State.READY && open(serviceClass, i) ? 1 : 0;
            }
            for (int i = 0; i < SERVERS; i++) {
                if (usable > 0 && open(serviceClass, i)) {
                    double warmth = Math.min(1, 0.2 + 0.8 * (bench.now - started[i]) / 10_000);
                    earned[i] += 0.9 * warmth / (usable / 2.0);
                }
            }
        }

        private void finishOne() {
            if (out.isEmpty()) {
                return;
            }
            BalancerHarness.Sent sent = out.remove(random.nextInt(out.size()));
            Result result = random.nextInt(3) > 0 ? Result.OK : UNSERVED[random.nextInt(UNSERVED.length)];
            if (!bench.isOpen(sent.request())) {
                result = random.nextBoolean() ? Result.CANCELLED : result;
            }
            if (result == Result.OK) {
                servedOrGone.add(sent.request());
            }
            finish(sent, result);
        }

        private void finish(BalancerHarness.Sent sent, Result result) {
            if (result.neverRan()) {
                provenUnrun.add(sent);
            }
            if (result == Result.TIMEOUT || result == Result.RESET || result == Result.CANCELLED) {
                rested.put(sent.request(), bench.now + SETTLE);
            }
            bench.finish(sent, result);
        }

        private void changeList() {
            int i = random.nextInt(SERVERS);
            states[i] = State.values()[random.nextInt(3)];
            if (random.nextBoolean()) {
                servers[i].startedAt(bench.now);
                started[i] = bench.now;
                listedAnew(i);
            }
            if (states[i] == State.REMOVED) {
                listedAnew(i);
            }
            if (random.nextInt(4) == 0) {
                List<TestSettings.Server> all = new ArrayList<>();
                for (int k = 0; k < SERVERS; k++) {
                    if (states[k] != State.REMOVED) {
                        all.add(servers[k].state(states[k]));
                    }
                }
                bench.list(Change.FULL, all.toArray(TestSettings.Server[]::new));
            } else if (random.nextInt(5) == 0) {
                // The change is not reported yet: the state stays as it was for the checks.
                bench.list(Change.FAILED);
                states[i] = State.REMOVED;
                listedAnew(i);
                bench.list(Change.DELTA, servers[i].state(State.REMOVED));
            } else {
                bench.list(Change.DELTA, servers[i].state(states[i]));
            }
        }

        private void listedAnew(int server) {
            sentTo[server] = 0;
            earned[server] = 0;
        }

        /** Rule 4: one call at once and then what is earned. */
        private void checkWarmUpBudget(BalancerHarness.Sent sent, String where) {
            int server = (int) sent.upstream() - 1;
            if (started[server] != 0 && sent.at() - started[server] < 10_000) {
                sentTo[server]++;
                assertTrue(
                        sentTo[server] <= 1 + earned[server] + 1e-9,
                        where + ": rule 4: " + sentTo[server] + " of " + earned[server]);
            }
        }

        private void leave() {
            if (!bench.open.isEmpty() && random.nextInt(3) == 0) {
                long id = bench.open.stream().mapToLong(Long::longValue).min().orElseThrow();
                servedOrGone.add(id);
                bench.clientGone(id);
            }
        }

        private void stream() {
            if (streamed && !out.isEmpty()) {
                BalancerHarness.Sent sent = out.get(random.nextInt(out.size()));
                if (bench.isOpen(sent.request()) && streaming.add(sent.request())) {
                    bench.streamStarted(sent);
                }
            }
        }

        /** Time-outs fall due on the way, as the host would report them, also for what timers send. */
        private void advance(double ms) {
            double until = bench.now + ms;
            while (bench.now < until) {
                bench.advance(Math.min(5, until - bench.now));
                check("on the way");
                for (BalancerHarness.Sent sent : List.copyOf(out)) {
                    boolean due = !streaming.contains(sent.request()) && expiry(sent) <= bench.now;
                    if (due && out.remove(sent)) {
                        finish(sent, Result.TIMEOUT);
                        check("time-out");
                    }
                }
            }
        }

        private double expiry(BalancerHarness.Sent sent) {
            return Math.min(sent.at() + Math.max(0, sent.timeout()), deadlines.get(sent.request()));
        }

        private void check(String where) {
            for (; seen < bench.sends.size(); seen++) {
                BalancerHarness.Sent sent = bench.sends.get(seen);
                checkSend(sent, where + ": " + sent);
                checkWarmUpBudget(sent, where + ": " + sent);
                byRequest
                        .computeIfAbsent(sent.request(), k -> new ArrayList<>())
                        .add(sent);
                out.add(sent);
            }
            for (; refusedSeen < bench.refused.size(); refusedSeen++) {
                long id = bench.refused.get(refusedSeen);
                boolean maybeRun =
                        byRequest.getOrDefault(id, List.of()).stream().anyMatch(s -> !provenUnrun.contains(s));
                assertTrue(
                        !maybeRun || repeat == Repeat.IDEMPOTENT || repeat == Repeat.DEDUPLICATED && group == Group.ALL,
                        where + ": refused " + id);
            }
            Set<Long> answered = new HashSet<>(servedOrGone);
            for (long id : bench.refused) {
                assertTrue(answered.add(id), where + ": second final answer for " + id);
            }
            for (long id : bench.failed) {
                assertTrue(answered.add(id), where + ": second final answer for " + id);
            }
            for (long id : bench.open) {
                assertTrue(
                        streaming.contains(id) || bench.now <= deadlines.get(id) + 20,
                        where + ": no answer in time for " + id);
            }
        }

        private void checkSend(BalancerHarness.Sent sent, String where) {
            int server = (int) sent.upstream() - 1;
            assertEquals(State.READY, states[server], where + ": rule 3");
            assertTrue(open(classOf.get(sent.request()), server), where + ": rule 6");
            checkOrder(sent, where);
            assertFalse(servedOrGone.contains(sent.request()), where + ": sent after the end");
            List<BalancerHarness.Sent> earlier = byRequest.getOrDefault(sent.request(), List.of());
            assertTrue(earlier.size() < 4, where + ": too many attempts");
            assertTrue(parallel || earlier.stream().noneMatch(out::contains), where + ": two at once");
            for (BalancerHarness.Sent before : earlier) {
                if (provenUnrun.contains(before) || repeat == Repeat.IDEMPOTENT) {
                    continue;
                }
                assertTrue(repeat == Repeat.DEDUPLICATED, where + ": unsafe repeated");
                assertTrue(sent.at() <= before.at() + 700, where + ": outside the window");
                int was = (int) before.upstream() - 1;
                assertTrue(
                        group == Group.ALL || (group == Group.ZONE ? was % 2 == server % 2 : was / 2 == server / 2),
                        where + ": outside the group");
            }
        }

        /** Rule 5: ids rise in order of arrival; key 0 is no key. */
        private void checkOrder(BalancerHarness.Sent sent, String where) {
            long key = keyOf.get(sent.request());
            for (long id = 0; inOrder && key != 0 && id < sent.request(); id++) {
                long before = id;
                if (keyOf.get(before) == key) {
                    assertFalse(bench.isOpen(before), where + ": rule 5: before " + before);
                    assertTrue(
                            out.stream().noneMatch(other -> other.request() == before),
                            where + ": rule 5: while an attempt of " + before + " is out");
                    assertTrue(
                            sent.at() >= rested.getOrDefault(before, 0.0),
                            where + ": rule 5: before the key has rested after " + before);
                }
            }
        }

        /** At the end every request has had its answer. */
        private void drain(String where) {
            advance(5_000);
            for (BalancerHarness.Sent sent : List.copyOf(out)) {
                out.remove(sent);
                servedOrGone.add(sent.request());
                bench.finish(sent, Result.OK);
            }
            check(where);
            assertTrue(bench.open.isEmpty(), where + ": unanswered " + bench.open);
        }
    }
}

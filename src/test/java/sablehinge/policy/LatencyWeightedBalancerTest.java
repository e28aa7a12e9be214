package sablehinge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import sablehinge.policy.LoadBalancer.Change;
import sablehinge.policy.LoadBalancer.Group;
import sablehinge.policy.LoadBalancer.Repeat;
import sablehinge.policy.LoadBalancer.Result;
import sablehinge.policy.LoadBalancer.State;

/** Hand-written event sequences in virtual time. */
class LatencyWeightedBalancerTest {

    private static final double NOW = 100_000;

    @Test
    void drawsServersInProportionToInverseCost() {
        // One of two servers answers in half the time of the other and is drawn twice as often.
        BalancerHarness harness = new BalancerHarness(TestSettings.builder().build(), 7);
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        for (int i = 0; i < 2_000; i++) {
            harness.request(i, 0);
            harness.advance(harness.lastSend().upstream() == 1 ? 100 : 200);
            harness.finish(harness.lastSend(), Result.OK);
        }
        Map<Long, Integer> drawn = new HashMap<>();
        harness.sends.forEach(s -> drawn.merge(s.upstream(), 1, Integer::sum));
        // Both latencies are pooled with two samples of their common mean, so the ratio is slightly below 2.
        double ratio = drawn.get(1L) / (double) drawn.get(2L);
        assertTrue(ratio > 1.6 && ratio < 2.15, "ratio " + ratio);
    }

    @Test
    void sendsFewButSomeCallsToFailingServer() {
        BalancerHarness harness =
                new BalancerHarness(TestSettings.builder().tier(1).build(), 3);
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        int toFailing = 0;
        for (int i = 0; i < 2_000; i++) {
            harness.request(i, 0);
            harness.advance(100);
            while (harness.isPending(i)) {
                BalancerHarness.Sent sent = harness.lastSend();
                toFailing += sent.upstream() == 1 ? 1 : 0;
                harness.finish(sent, sent.upstream() == 1 ? Result.ERROR : Result.OK);
            }
        }
        assertTrue(toFailing > 5 && toFailing < 300, "sent to the failing server: " + toFailing);
    }

    /**
     * The bound of a request limits its attempts; a request bounded to one attempt adds nothing to the retry budget.
     */
    @Test
    void limitsAttemptsToRequestBudget() {
        for (int maxAttempts = 1; maxAttempts <= 3; maxAttempts++) {
            BalancerHarness harness =
                    new BalancerHarness(TestSettings.builder().tier(1).build(), 3);
            harness.updateUpstreams(
                    Change.CACHED, TestSettings.server(1), TestSettings.server(2), TestSettings.server(3));
            harness.requestWithMaxAttempts(1, 0, maxAttempts);
            int attempts = 0;
            while (harness.isPending(1)) {
                attempts++;
                harness.finish(harness.lastSend(), Result.ERROR);
            }
            assertEquals(maxAttempts, attempts);
        }
        int[] sent = new int[2];
        for (int maxAttempts = 0; maxAttempts <= 1; maxAttempts++) {
            BalancerHarness harness =
                    new BalancerHarness(TestSettings.builder().tier(1).build(), 3);
            harness.updateUpstreams(
                    Change.CACHED, TestSettings.server(1), TestSettings.server(2), TestSettings.server(3));
            // The first requests spend the initial budget, the last ones what the hundred in the middle have added.
            for (int i = 0; i < 140; i++) {
                boolean fails = i < 20 || i >= 120;
                harness.requestWithMaxAttempts(i, 0, fails ? 0 : maxAttempts);
                while (harness.isPending(i)) {
                    harness.finish(harness.lastSend(), fails ? Result.ERROR : Result.OK);
                }
            }
            sent[maxAttempts] = harness.sends.size();
        }
        assertTrue(sent[0] > sent[1], sent[0] + " sends, without additions to the budget " + sent[1]);
    }

    @Test
    void avoidsHungServerBeforeItsCallsTimeOut() {
        BalancerHarness harness = new BalancerHarness(
                TestSettings.builder().repeat(Repeat.AT_MOST_ONCE).build(), 5);
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1), TestSettings.server(2), TestSettings.server(3));
        int hung = 0;
        for (int i = 0; i < 600; i++) {
            harness.request(i, 0);
            harness.advance(10);
            BalancerHarness.Sent sent = harness.lastSend();
            if (sent.upstream() != 1 || i < 300) {
                harness.finish(sent, Result.OK);
            } else {
                hung++;
            }
        }
        assertTrue(hung > 0 && hung < 30, "sent to the hung server: " + hung);
    }

    @Test
    void avoidsServerWithOneOverdueCall() {
        BalancerHarness harness = new BalancerHarness(
                TestSettings.builder().tier(1).repeat(Repeat.AT_MOST_ONCE).build(), 5);
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        harness.request(0, 0);
        long hung = harness.lastSend().upstream();
        harness.advance(1_500);
        int toHung = 0;
        for (int i = 1; i <= 200; i++) {
            harness.request(i, 0);
            toHung += harness.lastSend().upstream() == hung ? 1 : 0;
            harness.finishAfter(harness.lastSend(), Result.OK, 100);
        }
        assertTrue(toHung < 20, "sent to the server with the overdue call: " + toHung);
    }

    @Test
    void failsUnsafeRequestThatMayHaveRun() {
        BalancerHarness harness = new BalancerHarness(
                TestSettings.builder().repeat(Repeat.AT_MOST_ONCE).build(), 1);
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        harness.request(1, 0);
        harness.finish(harness.lastSend(), Result.TIMEOUT);
        assertEquals(1, harness.sends.size());
        assertEquals(List.of(1L), harness.failed);
        assertTrue(harness.refused.isEmpty());
    }

    @Test
    void retriesUnsafeRequestThatNeverRan() {
        BalancerHarness harness = new BalancerHarness(
                TestSettings.builder().repeat(Repeat.AT_MOST_ONCE).build(), 1);
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        harness.request(1, 0);
        harness.finish(harness.lastSend(), Result.FULL);
        assertEquals(2, harness.sends.size());
        assertFalse(harness.sends.get(0).upstream() == harness.sends.get(1).upstream());
    }

    @Test
    void retriesDeduplicatedRequestOnlyWithinGroupAndMemory() {
        BalancerHarness harness = new BalancerHarness(
                TestSettings.builder()
                        .tier(1)
                        .repeat(Repeat.DEDUPLICATED)
                        .group(Group.CELL)
                        .memory(500)
                        .build(),
                1);
        harness.updateUpstreams(
                Change.CACHED,
                TestSettings.server(1).cell(0),
                TestSettings.server(2).cell(0),
                TestSettings.server(3).cell(1));
        for (int i = 0; i < 50; i++) {
            harness.request(i, 0);
            BalancerHarness.Sent first = harness.lastSend();
            harness.finish(first, Result.ERROR);
            if (first.upstream() == 3) {
                assertTrue(
                        harness.failed.contains((long) i) || harness.lastSend().upstream() == 3);
            } else {
                assertTrue(harness.lastSend().upstream() < 3);
            }
            if (harness.isPending(i)) {
                int sent = harness.sends.size();
                harness.advance(500);
                harness.finish(harness.lastSend(), Result.ERROR);
                assertEquals(sent, harness.sends.size(), "sent after the memory has expired");
                assertTrue(harness.failed.contains((long) i));
            }
            harness.advance(2_000);
        }
    }

    @Test
    void sendsNothingToDrainingOrRemovedServer() {
        BalancerHarness harness = new BalancerHarness(TestSettings.builder().build(), 1);
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1), TestSettings.server(2), TestSettings.server(3));
        harness.updateUpstreams(
                Change.DELTA,
                TestSettings.server(1).state(State.DRAINING),
                TestSettings.server(2).state(State.REMOVED));
        for (int i = 0; i < 100; i++) {
            harness.request(i, 0);
            assertEquals(3, harness.lastSend().upstream());
            harness.finish(harness.lastSend(), Result.OK);
        }
    }

    @Test
    void holdsRequestWithoutReadyServerAndRefusesItInTime() {
        BalancerHarness harness = new BalancerHarness(TestSettings.builder().build(), 1);
        harness.updateUpstreams(Change.CACHED);
        harness.request(1, 0);
        harness.request(2, 0);
        assertTrue(harness.isPending(1) && harness.sends.isEmpty());
        harness.advance(100);
        harness.updateUpstreams(Change.FULL, TestSettings.server(1));
        harness.advance(50);
        assertEquals(2, harness.sends.size());
        harness.updateUpstreams(Change.DELTA, TestSettings.server(1).state(State.REMOVED));
        harness.request(3, 0);
        harness.advance(5_000);
        assertEquals(List.of(3L), harness.refused);
        // A request without attempts is refused early enough for the client to retry.
        harness.request(4, 0);
        harness.advance(TestSettings.DEADLINE_MS * 0.48);
        assertEquals(List.of(3L, 4L), harness.refused);
        assertTrue(
                harness.retryAfter > 0 && harness.retryAfter <= TestSettings.AIM_MS / 2,
                "retry after " + harness.retryAfter);
    }

    @Test
    void hedgesSlowCallAndCancelsLosingAttempt() {
        BalancerHarness harness =
                new BalancerHarness(TestSettings.builder().parallel(true).build(), 1);
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        harness.request(1, 0);
        BalancerHarness.Sent first = harness.lastSend();
        harness.advance(1_000);
        assertEquals(2, harness.sends.size());
        harness.finish(harness.lastSend(), Result.OK);
        assertEquals(List.of(first), harness.cancelled);
        harness.finish(first, Result.CANCELLED);
        assertEquals(2, harness.sends.size());
    }

    @Test
    void boundsExtraAttemptsWhenAllServersFail() {
        BalancerHarness harness =
                new BalancerHarness(TestSettings.builder().tier(1).build(), 1);
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1), TestSettings.server(2), TestSettings.server(3));
        for (int i = 0; i < 1_000; i++) {
            harness.request(i, 0);
            while (harness.isPending(i)) {
                harness.finish(harness.lastSend(), Result.ERROR);
            }
            harness.advance(10);
        }
        int sends = harness.sends.size();
        assertTrue(sends > 1_050 && sends < 1_150, sends + " sends for 1000 requests");
    }

    @Test
    void doesNotBoundExtraAttemptsThatSucceed() {
        BalancerHarness harness =
                new BalancerHarness(TestSettings.builder().tier(1).build(), 1);
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1), TestSettings.server(2), TestSettings.server(3));
        int served = 0;
        for (int i = 0; i < 500; i++) {
            harness.request(i, 0);
            for (int attempt = 0; harness.isPending(i); attempt++) {
                served += attempt;
                harness.finish(harness.lastSend(), attempt == 0 ? Result.ERROR : Result.OK);
            }
            harness.advance(10);
        }
        assertEquals(500, served);
    }

    @Test
    void closesIdleConnectionsOnlyToServerThatRejectsConnections() {
        BalancerHarness harness = new BalancerHarness(TestSettings.builder().build(), 1);
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        harness.request(1, 0);
        harness.finish(harness.lastSend(), Result.OK);
        assertEquals(0, harness.closeIdleCalls);
        harness.request(2, 0);
        long full = harness.lastSend().upstream();
        harness.finish(harness.lastSend(), Result.CONNECT_FAILED);
        assertEquals(1, harness.closeIdleCalls);
        assertTrue(harness.lastSend().upstream() != full);
        harness.finish(harness.lastSend(), Result.OK);
        assertEquals(1, harness.closeIdleCalls, "connections to the other server stay open");
    }

    @Test
    void limitsWarmingServerToItsBudgetWithoutHistory() {
        int siblings = 60;
        int servers = 10;
        int toWarmingUp = 0;
        for (int s = 0; s < siblings; s++) {
            BalancerHarness harness = new BalancerHarness(
                    TestSettings.builder().siblings(siblings).build(), s);
            TestSettings.Server[] list = new TestSettings.Server[servers];
            for (int i = 0; i < servers; i++) {
                list[i] = TestSettings.server(i + 1);
            }
            list[0].startedAt(NOW);
            harness.updateUpstreams(Change.CACHED, list);
            for (int i = 0; i < 40; i++) {
                harness.request(i, 0);
                toWarmingUp += harness.lastSend().upstream() == 1 ? 1 : 0;
                harness.finish(harness.lastSend(), Result.OK);
            }
        }
        // A warm server gets 240 of the 2400 calls; a warming one has 0.2 of that capacity and fails at 3 times it.
        assertTrue(toWarmingUp > 0 && toWarmingUp < 0.2 * 3 * 240, "sent to the warming server: " + toWarmingUp);
    }

    @Test
    void subscribesAtStartAndAgainAfterFailure() {
        BalancerHarness harness =
                new BalancerHarness(TestSettings.builder().subscribe(true).build(), 1);
        assertEquals(1, harness.watchCalls);
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1));
        harness.updateUpstreams(Change.FAILED);
        assertEquals(1, harness.watchCalls);
        harness.advance(10_000);
        assertEquals(2, harness.watchCalls);
    }

    @Test
    void drawsServersWhenLatencyIsZero() {
        BalancerHarness harness = new BalancerHarness(TestSettings.builder().build(), 1);
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        for (int i = 0; i < 3_000; i++) {
            harness.request(i, 0);
            harness.finish(harness.lastSend(), Result.OK);
        }
        assertEquals(3_000, harness.sends.size());
    }

    @Test
    void limitsWarmingServerByBudgetAndByCapacityShare() {
        BalancerHarness harness =
                new BalancerHarness(TestSettings.builder().tier(1).build(), 4);
        TestSettings.Server[] list = new TestSettings.Server[10];
        for (int i = 0; i < list.length; i++) {
            list[i] = TestSettings.server(i + 1);
        }
        list[0].startedAt(NOW);
        harness.updateUpstreams(Change.CACHED, list);
        int toWarmingUp = 0;
        for (int i = 0; i < 10_000; i++) {
            harness.request(i, 0);
            toWarmingUp += harness.lastSend().upstream() == 1 ? 1 : 0;
            harness.finishAfter(harness.lastSend(), Result.OK, 100);
        }
        // The capacity share alone would allow 0.2 of 9.2 shares (217 calls), the budget alone about 160. The server
        // must first have budget for a full call and then be drawn, which leaves about 100.
        assertTrue(toWarmingUp > 70 && toWarmingUp < 130, "sent to the warming server: " + toWarmingUp);
    }

    @Test
    void doesNotOverloadWarmingServerWhenAllOthersFail() {
        BalancerHarness harness =
                new BalancerHarness(TestSettings.builder().tier(1).build(), 4);
        harness.updateUpstreams(
                Change.CACHED,
                TestSettings.server(1).startedAt(NOW),
                TestSettings.server(2),
                TestSettings.server(3),
                TestSettings.server(4));
        int toWarmingUp = 0;
        for (int i = 0; i < 1_000; i++) {
            harness.request(i, 0);
            while (harness.isPending(i)) {
                boolean warmingUp = harness.lastSend().upstream() == 1;
                toWarmingUp += warmingUp ? 1 : 0;
                harness.finish(harness.lastSend(), warmingUp ? Result.OK : Result.ERROR);
            }
        }
        // 1100 calls over the capacity of 3.2 warm servers; the warming one has 0.2 of one share and fails at 3 times
        // that.
        assertTrue(toWarmingUp < 0.2 * 3 * 1_100 / 3.2, "sent to the warming server: " + toWarmingUp);
    }

    @Test
    void warmsUpRestartedServer() {
        BalancerHarness harness =
                new BalancerHarness(TestSettings.builder().tier(1).build(), 4);
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        harness.updateUpstreams(Change.DELTA, TestSettings.server(1).startedAt(NOW));
        int toWarmingUp = 0;
        for (int i = 0; i < 1_000; i++) {
            harness.request(i, 0);
            toWarmingUp += harness.lastSend().upstream() == 1 ? 1 : 0;
            harness.finishAfter(harness.lastSend(), Result.OK, 100);
        }
        assertTrue(toWarmingUp < 170, "sent to the restarted server: " + toWarmingUp);
    }

    @Test
    void clearsStatisticsOfRestartedServer() {
        BalancerHarness harness =
                new BalancerHarness(TestSettings.builder().tier(1).build(), 4);
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        int toFirst = 0;
        for (int i = 0; i < 1_000; i++) {
            if (i == 500) {
                toFirst = 0;
                harness.updateUpstreams(Change.DELTA, TestSettings.server(1).startedAt(NOW - 9_500));
            }
            harness.request(i, 0);
            while (harness.isPending(i)) {
                boolean first = harness.lastSend().upstream() == 1;
                toFirst += first ? 1 : 0;
                harness.finishAfter(harness.lastSend(), first && i < 500 ? Result.ERROR : Result.OK, 100);
            }
        }
        assertTrue(toFirst > 80, "sent after the restart: " + toFirst);
    }

    @Test
    void sendsNoHedgeOnStrayTimerWhenParallelAttemptsAreDisabled() {
        BalancerHarness harness = new BalancerHarness(TestSettings.builder().build(), 1);
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        harness.request(1, 0);
        harness.timer(1 << 8);
        assertEquals(1, harness.sends.size());
    }

    @Test
    void sendsNothingOnOutcomeAfterClientIsGone() {
        BalancerHarness harness = new BalancerHarness(TestSettings.builder().build(), 1);
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        harness.request(1, 0);
        BalancerHarness.Sent sent = harness.lastSend();
        harness.clientGone(1);
        harness.finishWithoutClosing(sent, Result.FULL);
        assertEquals(1, harness.sends.size());
        assertTrue(harness.refused.isEmpty() && harness.failed.isEmpty());
    }

    @Test
    void shedsLowValueClassFirstAndOnlyInFirstTier() {
        for (int tier = 0; tier < 2; tier++) {
            BalancerHarness harness = new BalancerHarness(
                    TestSettings.builder().tier(tier).lateValue(0).build(), 1);
            harness.updateUpstreams(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
            int[] sent = new int[2];
            for (int i = 0; i < 400; i++) {
                int before = harness.sends.size();
                harness.request(i, i % 2);
                harness.advance(10);
                if (harness.sends.size() > before) {
                    sent[i % 2]++;
                    // A third of the calls take most of the aim.
                    harness.finishAfter(harness.lastSend(), Result.OK, i % 3 == 0 ? 700 : 100);
                }
            }
            if (tier == 0) {
                assertTrue(sent[1] < 190 && sent[1] < sent[0], sent[0] + " and " + sent[1]);
            } else {
                assertEquals(400, sent[0] + sent[1]);
            }
        }
    }

    @Test
    void stopsSheddingSoonAfterOverloadEndsWithFewCalls() {
        BalancerHarness harness =
                new BalancerHarness(TestSettings.builder().lateValue(0).build(), 1);
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        for (int i = 0; i < 200; i++) {
            harness.request(i, 0);
            harness.advance(20);
            if (harness.isPending(i)) {
                harness.finishAfter(harness.lastSend(), Result.OK, 900);
            }
        }
        int refusedUnderOverload = harness.refused.size();
        assertTrue(refusedUnderOverload > 20, refusedUnderOverload + " refused");
        for (int i = 200; i < 1_000; i++) {
            harness.request(i, 0);
            harness.advance(20);
            if (harness.isPending(i)) {
                harness.finishAfter(harness.lastSend(), Result.OK, 50);
            }
            if (i == 600) {
                // Eight seconds after the overload ended.
                refusedUnderOverload = harness.refused.size();
            }
        }
        assertEquals(refusedUnderOverload, harness.refused.size());
    }

    @Test
    void sendsNoHedgeWhileShedding() {
        BalancerHarness harness =
                new BalancerHarness(TestSettings.builder().parallel(true).build(), 1);
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        for (int i = 0; i < 60; i++) {
            harness.request(i, 0);
            harness.advance(50);
            while (harness.isPending(i)) {
                harness.finish(harness.lastSend(), Result.ERROR);
            }
        }
        // Without shedding, a hedge would follow after three times the initial estimate, 600 ms.
        int sends = harness.sends.size();
        for (int i = 60; harness.sends.size() == sends; i++) {
            harness.request(i, 0);
        }
        harness.advance(900);
        assertEquals(sends + 1, harness.sends.size());
    }

    @Test
    void detectsOverloadWhileCallsAreInFlight() {
        BalancerHarness harness = new BalancerHarness(
                TestSettings.builder().repeat(Repeat.AT_MOST_ONCE).lateValue(0).build(), 1);
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        int i = 0;
        for (; i < 40; i++) {
            harness.request(i, 0);
            harness.advance(20);
        }
        // No call has ended, but the oldest have taken more than half of the aim.
        int refused = harness.refused.size();
        for (; i < 60; i++) {
            harness.request(i, 0);
            harness.advance(20);
        }
        assertTrue(harness.refused.size() > refused, harness.refused.size() + " refused");
    }

    @Test
    void doesNotTreatFastErrorsAsOverload() {
        for (Result result : new Result[] {Result.ERROR, Result.FULL}) {
            BalancerHarness harness = new BalancerHarness(
                    TestSettings.builder()
                            .repeat(Repeat.AT_MOST_ONCE)
                            .lateValue(0)
                            .build(),
                    1);
            harness.updateUpstreams(Change.CACHED, TestSettings.server(1));
            for (int i = 0; i < 200; i++) {
                harness.request(i, 0);
                if (harness.isPending(i)) {
                    harness.finishAfter(harness.lastSend(), result, 5);
                }
            }
            long shed = 200
                    - harness.sends.stream()
                            .map(BalancerHarness.Sent::request)
                            .distinct()
                            .count();
            assertEquals(result == Result.FULL, shed > 0, shed + " refused without an attempt");
        }
    }

    @Test
    void avoidsUnhealthyLocalServerWhenCrossingIsExpensive() {
        BalancerHarness harness = new BalancerHarness(
                TestSettings.builder()
                        .tier(1)
                        .repeat(Repeat.AT_MOST_ONCE)
                        .crossZone(0.2)
                        .build(),
                1);
        harness.updateUpstreams(
                Change.CACHED,
                TestSettings.server(1),
                TestSettings.server(2).zone(1),
                TestSettings.server(3).zone(1));
        long unhealthy = 0;
        for (int i = 0; i < 1_000; i++) {
            harness.request(i, 0);
            boolean local = harness.lastSend().upstream() == 1;
            unhealthy += local ? 1 : 0;
            harness.finishAfter(harness.lastSend(), local && i % 10 < 7 ? Result.ERROR : Result.OK, 100);
            // Statistics decay over time, so an avoided server is tried again occasionally.
            harness.advance(40);
        }
        assertTrue(unhealthy > 5 && unhealthy < 250, unhealthy + " sent to the unhealthy server");
    }

    @Test
    void doesNotTreatFastFailingServerAsIdle() {
        BalancerHarness harness = new BalancerHarness(
                TestSettings.builder()
                        .tier(1)
                        .repeat(Repeat.AT_MOST_ONCE)
                        .crossZone(0.2)
                        .build(),
                1);
        harness.updateUpstreams(
                Change.CACHED,
                TestSettings.server(1),
                TestSettings.server(2).zone(1),
                TestSettings.server(3).zone(1));
        ArrayDeque<BalancerHarness.Sent> inFlight = new ArrayDeque<>();
        int lost = 0;
        for (int i = 0; i < 1_000; i++) {
            harness.request(i, 0);
            if (harness.lastSend().upstream() == 1 && i % 10 < 7) {
                lost++;
                harness.finishAfter(harness.lastSend(), Result.ERROR, 5);
            } else {
                inFlight.addLast(harness.lastSend());
            }
            // Served calls take 300 ms, so that some are always in flight at the other servers.
            harness.advance(30);
            if (inFlight.size() > 10) {
                harness.finishAfter(inFlight.pollFirst(), Result.OK, 300);
            }
        }
        assertTrue(lost < 150, lost + " failed at the unhealthy server");
    }

    @Test
    void rarelyCrossesZonesWhenCrossingIsExpensive() {
        BalancerHarness harness = new BalancerHarness(
                TestSettings.builder().tier(1).crossZone(0.03).build(), 1);
        harness.updateUpstreams(
                Change.CACHED, TestSettings.server(1), TestSettings.server(2).zone(1));
        for (int i = 0; i < 1_000; i++) {
            harness.request(i, 0);
            harness.finishAfter(harness.lastSend(), Result.OK, 100);
        }
        long crossed = harness.sends.stream().filter(s -> s.upstream() == 2).count();
        assertTrue(crossed > 0 && crossed < 100, crossed + " sent to the other zone");
    }

    @Test
    void sendsMostCallsToBalancedSubsetWhenTrafficIsLow() {
        int siblings = 40;
        int[] drawn = new int[49];
        int toTopEight = 0;
        for (int position = 0; position < siblings; position++) {
            BalancerHarness harness = new BalancerHarness(
                    TestSettings.builder()
                            .tier(1)
                            .siblings(siblings)
                            .position(position)
                            .build(),
                    1);
            TestSettings.Server[] list = new TestSettings.Server[48];
            for (int i = 0; i < list.length; i++) {
                list[i] = TestSettings.server(i + 1).kind(i % 2);
            }
            harness.updateUpstreams(Change.CACHED, list);
            int[] ownDrawn = new int[49];
            for (int i = 0; i < 100; i++) {
                harness.request(i, 0);
                ownDrawn[(int) harness.lastSend().upstream()]++;
                drawn[(int) harness.lastSend().upstream()]++;
                harness.finishAfter(harness.lastSend(), Result.OK, 200);
                harness.advance(1_000);
            }
            toTopEight += Arrays.stream(ownDrawn).sorted().skip(41).sum();
        }
        assertTrue(
                toTopEight > 0.8 * 4_000, toTopEight + " of 4000 sent to the eight servers most used by each instance");
        // The average is 83 calls per server.
        int maxCalls = Arrays.stream(drawn).max().orElseThrow();
        int minCalls = Arrays.stream(drawn).skip(1).min().orElseThrow();
        assertTrue(maxCalls < 150 && minCalls > 40, "from " + minCalls + " to " + maxCalls);
    }

    @Test
    void usesAllServersWhenTrafficIsHigh() {
        BalancerHarness harness =
                new BalancerHarness(TestSettings.builder().tier(1).build(), 1);
        TestSettings.Server[] list = new TestSettings.Server[48];
        for (int i = 0; i < list.length; i++) {
            list[i] = TestSettings.server(i + 1);
        }
        harness.updateUpstreams(Change.CACHED, list);
        int[] drawn = new int[49];
        for (int i = 0; i < 8_000; i++) {
            harness.request(i, 0);
            drawn[(int) harness.lastSend().upstream()] += i < 4_000 ? 0 : 1;
            harness.finishAfter(harness.lastSend(), Result.OK, 200);
        }
        int toTopEight = Arrays.stream(drawn).sorted().skip(41).sum();
        assertTrue(toTopEight < 1_200, toTopEight + " of 4000 sent to the eight most used servers");
    }

    @Test
    void leavesSubsetWhoseServersFail() {
        BalancerHarness harness =
                new BalancerHarness(TestSettings.builder().tier(1).build(), 1);
        TestSettings.Server[] list = new TestSettings.Server[48];
        for (int i = 0; i < list.length; i++) {
            list[i] = TestSettings.server(i + 1);
        }
        harness.updateUpstreams(Change.CACHED, list);
        Set<Long> failing = new HashSet<>();
        int served = 0;
        for (int i = 0; i < 400; i++) {
            harness.request(i, 0);
            if (failing.size() < 8) {
                failing.add(harness.lastSend().upstream());
            }
            while (harness.isPending(i)) {
                boolean fails = failing.contains(harness.lastSend().upstream());
                served += fails || i < 200 ? 0 : 1;
                harness.finishAfter(harness.lastSend(), fails ? Result.ERROR : Result.OK, 200);
            }
            harness.advance(100);
        }
        assertTrue(served > 150, served + " of 200 served");
    }

    @Test
    void timesOutAtAimWhenLateAnswerHasNoValue() {
        BalancerHarness harness = new BalancerHarness(
                TestSettings.builder().repeat(Repeat.AT_MOST_ONCE).lateValue(0).build(), 1);
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1));
        harness.request(1, 0);
        assertEquals(TestSettings.AIM_MS, harness.lastSend().timeout());
    }

    @Test
    void doesNotInterruptStartedStream() {
        BalancerHarness harness =
                new BalancerHarness(TestSettings.builder().streamed(true).build(), 1);
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1));
        harness.request(1, 0);
        harness.streamStarted(harness.lastSend());
        harness.advance(10_000);
        harness.finish(harness.lastSend(), Result.OK);
        assertEquals(1, harness.sends.size());
        assertTrue(harness.cancelled.isEmpty() && harness.failed.isEmpty() && harness.refused.isEmpty());
    }

    @Test
    void avoidsServerOnlyForFailingClass() {
        BalancerHarness harness =
                new BalancerHarness(TestSettings.builder().tier(1).build(), 3);
        harness.updateUpstreams(
                Change.CACHED,
                TestSettings.server(1),
                TestSettings.server(2),
                TestSettings.server(3),
                TestSettings.server(4));
        int[] toFailing = new int[2];
        for (int i = 0; i < 2_000; i++) {
            harness.request(i, i % 2);
            harness.advance(20);
            while (harness.isPending(i)) {
                BalancerHarness.Sent sent = harness.lastSend();
                toFailing[i % 2] += sent.upstream() == 1 ? 1 : 0;
                harness.finishAfter(sent, sent.upstream() == 1 && i % 2 == 0 ? Result.ERROR : Result.OK, 100);
            }
        }
        // A quarter of the calls would be 250 per class.
        assertTrue(toFailing[0] < 60, "calls of the failing class: " + toFailing[0]);
        assertTrue(toFailing[1] > 150, "calls of the other class: " + toFailing[1]);
    }

    @Test
    void avoidsUntriedServersOfFailingMachineType() {
        BalancerHarness harness = new BalancerHarness(
                TestSettings.builder().tier(1).repeat(Repeat.AT_MOST_ONCE).build(), 3);
        TestSettings.Server[] list = new TestSettings.Server[80];
        for (int i = 0; i < list.length; i++) {
            list[i] = TestSettings.server(i + 1).kind(i % 2);
        }
        harness.updateUpstreams(Change.CACHED, list);
        int toFailing = 0;
        for (int i = 0; i < 60; i++) {
            harness.request(i, 0);
            boolean failing = harness.lastSend().upstream() % 2 == 0;
            toFailing += failing && i >= 20 ? 1 : 0;
            harness.finishAfter(harness.lastSend(), failing ? Result.ERROR : Result.OK, 100);
            // Calls are so rare that a server's statistics decay before its next call.
            harness.advance(20_000);
        }
        assertTrue(toFailing < 10, "of 40 calls to the failing type: " + toFailing);
    }

    // ---- Rule 4, all servers warm up -----------------------------------------------------------------

    @Test
    void sendsToFleetInWhichAllServersWarmUp() {
        BalancerHarness harness =
                new BalancerHarness(TestSettings.builder().tier(1).build(), 4);
        harness.updateUpstreams(
                Change.CACHED,
                TestSettings.server(1).startedAt(NOW),
                TestSettings.server(2).startedAt(NOW),
                TestSettings.server(3).startedAt(NOW),
                TestSettings.server(4).startedAt(NOW));
        for (int i = 0; i < 400; i++) {
            harness.request(i, 0);
            int before = harness.sends.size();
            harness.advance(5);
            for (BalancerHarness.Sent s : harness.sends.subList(Math.max(0, before - 1), harness.sends.size())) {
                if (harness.isPending(s.request())) {
                    harness.finish(s, Result.OK);
                }
            }
        }
        // All servers have a fifth of their capacity and fail at three times that, i.e. at 240 of 400 requests.
        int sent = harness.sends.size();
        assertTrue(sent > 60 && sent < 0.2 * 3 * 400, sent + " sent");
    }
}

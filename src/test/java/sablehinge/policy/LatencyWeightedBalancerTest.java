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

/** Hand-made events in virtual time. */
class LatencyWeightedBalancerTest {

    private static final double NOW = 100_000;

    @Test
    void picksAreInProportionToOneOverL() {
        // Two servers, one answering in half the time of the other: it is drawn twice as often.
        BalancerHarness bench = new BalancerHarness(TestSettings.plain().build(), 7);
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        for (int i = 0; i < 2_000; i++) {
            bench.request(i, 0);
            bench.advance(bench.lastSend().upstream() == 1 ? 100 : 200);
            bench.finish(bench.lastSend(), Result.OK);
        }
        Map<Long, Integer> drawn = new HashMap<>();
        bench.sends.forEach(s -> drawn.merge(s.upstream(), 1, Integer::sum));
        // Both bases are pooled with two samples of their common mean, so the ratio lies a little under 2.
        double ratio = drawn.get(1L) / (double) drawn.get(2L);
        assertTrue(ratio > 1.6 && ratio < 2.15, "ratio " + ratio);
    }

    @Test
    void failuresLowerAServersShareButDoNotEndIt() {
        BalancerHarness bench = new BalancerHarness(TestSettings.plain().tier(1).build(), 3);
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        int toFailing = 0;
        for (int i = 0; i < 2_000; i++) {
            bench.request(i, 0);
            bench.advance(100);
            while (bench.isOpen(i)) {
                BalancerHarness.Sent sent = bench.lastSend();
                toFailing += sent.upstream() == 1 ? 1 : 0;
                bench.finish(sent, sent.upstream() == 1 ? Result.ERROR : Result.OK);
            }
        }
        assertTrue(toFailing > 5 && toFailing < 300, "sent to the failing server: " + toFailing);
    }

    /** A budget from above narrows the attempts, and what it leaves no room for earns none for others. */
    @Test
    void aRequestHasNoMoreAttemptsThanItsBudget() {
        for (int most = 1; most <= 3; most++) {
            BalancerHarness bench =
                    new BalancerHarness(TestSettings.plain().tier(1).build(), 3);
            bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2), TestSettings.server(3));
            bench.bounded(1, 0, most);
            int attempts = 0;
            while (bench.isOpen(1)) {
                attempts++;
                bench.finish(bench.lastSend(), Result.ERROR);
            }
            assertEquals(most, attempts);
        }
        int[] sent = new int[2];
        for (int most = 0; most <= 1; most++) {
            BalancerHarness bench =
                    new BalancerHarness(TestSettings.plain().tier(1).build(), 3);
            bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2), TestSettings.server(3));
            // What is granted at the start is spent first, and what the hundred in the middle earn after
            // them.
            for (int i = 0; i < 140; i++) {
                boolean fails = i < 20 || i >= 120;
                bench.bounded(i, 0, fails ? 0 : most);
                while (bench.isOpen(i)) {
                    bench.finish(bench.lastSend(), fails ? Result.ERROR : Result.OK);
                }
            }
            sent[most] = bench.sends.size();
        }
        assertTrue(sent[0] > sent[1], sent[0] + " sends, and where nothing is earned " + sent[1]);
    }

    @Test
    void aHungServerLosesItsShareBeforeItsCallsTimeOut() {
        BalancerHarness bench = new BalancerHarness(
                TestSettings.plain().repeat(Repeat.AT_MOST_ONCE).build(), 5);
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2), TestSettings.server(3));
        int hung = 0;
        for (int i = 0; i < 600; i++) {
            bench.request(i, 0);
            bench.advance(10);
            BalancerHarness.Sent sent = bench.lastSend();
            if (sent.upstream() != 1 || i < 300) {
                bench.finish(sent, Result.OK);
            } else {
                hung++;
            }
        }
        assertTrue(hung > 0 && hung < 30, "sent to the hung server: " + hung);
    }

    @Test
    void oneOverdueCallIsEnoughToAvoidItsServer() {
        BalancerHarness bench = new BalancerHarness(
                TestSettings.plain().tier(1).repeat(Repeat.AT_MOST_ONCE).build(), 5);
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        bench.request(0, 0);
        long hung = bench.lastSend().upstream();
        bench.advance(1_500);
        int toHung = 0;
        for (int i = 1; i <= 200; i++) {
            bench.request(i, 0);
            toHung += bench.lastSend().upstream() == hung ? 1 : 0;
            bench.finishAfter(bench.lastSend(), Result.OK, 100);
        }
        assertTrue(toHung < 20, "sent to the server with the overdue call: " + toHung);
    }

    @Test
    void anUnsafeRequestThatMayHaveRunFails() {
        BalancerHarness bench = new BalancerHarness(
                TestSettings.plain().repeat(Repeat.AT_MOST_ONCE).build(), 1);
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        bench.request(1, 0);
        bench.finish(bench.lastSend(), Result.TIMEOUT);
        assertEquals(1, bench.sends.size());
        assertEquals(List.of(1L), bench.failed);
        assertTrue(bench.refused.isEmpty());
    }

    @Test
    void anUnsafeRequestThatProvablyNeverRanIsSentAgain() {
        BalancerHarness bench = new BalancerHarness(
                TestSettings.plain().repeat(Repeat.AT_MOST_ONCE).build(), 1);
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        bench.request(1, 0);
        bench.finish(bench.lastSend(), Result.FULL);
        assertEquals(2, bench.sends.size());
        assertFalse(bench.sends.get(0).upstream() == bench.sends.get(1).upstream());
    }

    @Test
    void aKeyedRequestStaysInItsGroupAndWindow() {
        BalancerHarness bench = new BalancerHarness(
                TestSettings.plain()
                        .tier(1)
                        .repeat(Repeat.DEDUPLICATED)
                        .group(Group.CELL)
                        .memory(500)
                        .build(),
                1);
        bench.list(
                Change.CACHED,
                TestSettings.server(1).cell(0),
                TestSettings.server(2).cell(0),
                TestSettings.server(3).cell(1));
        for (int i = 0; i < 50; i++) {
            bench.request(i, 0);
            BalancerHarness.Sent first = bench.lastSend();
            bench.finish(first, Result.ERROR);
            if (first.upstream() == 3) {
                assertTrue(bench.failed.contains((long) i) || bench.lastSend().upstream() == 3);
            } else {
                assertTrue(bench.lastSend().upstream() < 3);
            }
            if (bench.isOpen(i)) {
                int sent = bench.sends.size();
                bench.advance(500);
                bench.finish(bench.lastSend(), Result.ERROR);
                assertEquals(sent, bench.sends.size(), "sent after the window");
                assertTrue(bench.failed.contains((long) i));
            }
            bench.advance(2_000);
        }
    }

    @Test
    void nothingGoesToAServerThatDrainsOrIsGone() {
        BalancerHarness bench = new BalancerHarness(TestSettings.plain().build(), 1);
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2), TestSettings.server(3));
        bench.list(
                Change.DELTA,
                TestSettings.server(1).state(State.DRAINING),
                TestSettings.server(2).state(State.REMOVED));
        for (int i = 0; i < 100; i++) {
            bench.request(i, 0);
            assertEquals(3, bench.lastSend().upstream());
            bench.finish(bench.lastSend(), Result.OK);
        }
    }

    @Test
    void aRequestWithoutAnyReadyServerWaitsForOneAndIsAnsweredInTime() {
        BalancerHarness bench = new BalancerHarness(TestSettings.plain().build(), 1);
        bench.list(Change.CACHED);
        bench.request(1, 0);
        bench.request(2, 0);
        assertTrue(bench.isOpen(1) && bench.sends.isEmpty());
        bench.advance(100);
        bench.list(Change.FULL, TestSettings.server(1));
        bench.advance(50);
        assertEquals(2, bench.sends.size());
        bench.list(Change.DELTA, TestSettings.server(1).state(State.REMOVED));
        bench.request(3, 0);
        bench.advance(5_000);
        assertEquals(List.of(3L), bench.refused);
        // A request that nothing was sent for is given back while its client can still use its time.
        bench.request(4, 0);
        bench.advance(TestSettings.DEADLINE * 0.48);
        assertEquals(List.of(3L, 4L), bench.refused);
        assertTrue(bench.retryAfter > 0 && bench.retryAfter <= TestSettings.AIM / 2, "after " + bench.retryAfter);
    }

    @Test
    void aSecondCopyFollowsASlowCallAndTheLoserIsCancelled() {
        BalancerHarness bench =
                new BalancerHarness(TestSettings.plain().parallel(true).build(), 1);
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        bench.request(1, 0);
        BalancerHarness.Sent first = bench.lastSend();
        bench.advance(1_000);
        assertEquals(2, bench.sends.size());
        bench.finish(bench.lastSend(), Result.OK);
        assertEquals(List.of(first), bench.cancelled);
        bench.finish(first, Result.CANCELLED);
        assertEquals(2, bench.sends.size());
    }

    @Test
    void extraAttemptsStayBoundedWhenEverythingFails() {
        BalancerHarness bench = new BalancerHarness(TestSettings.plain().tier(1).build(), 1);
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2), TestSettings.server(3));
        for (int i = 0; i < 1_000; i++) {
            bench.request(i, 0);
            while (bench.isOpen(i)) {
                bench.finish(bench.lastSend(), Result.ERROR);
            }
            bench.advance(10);
        }
        int sends = bench.sends.size();
        assertTrue(sends > 1_050 && sends < 1_150, sends + " sends for 1000 requests");
    }

    @Test
    void extraAttemptsThatServeAreNotBoundedByTheBudget() {
        BalancerHarness bench = new BalancerHarness(TestSettings.plain().tier(1).build(), 1);
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2), TestSettings.server(3));
        int served = 0;
        for (int i = 0; i < 500; i++) {
            bench.request(i, 0);
            for (int attempt = 0; bench.isOpen(i); attempt++) {
                served += attempt;
                bench.finish(bench.lastSend(), attempt == 0 ? Result.ERROR : Result.OK);
            }
            bench.advance(10);
        }
        assertEquals(500, served);
    }

    @Test
    void idleConnectionsAreGivenBackOnlyToTheServerThatTurnsConnectionsAway() {
        BalancerHarness bench = new BalancerHarness(TestSettings.plain().build(), 1);
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        bench.request(1, 0);
        bench.finish(bench.lastSend(), Result.OK);
        assertEquals(0, bench.closed);
        bench.request(2, 0);
        long full = bench.lastSend().upstream();
        bench.finish(bench.lastSend(), Result.CONNECT_FAILED);
        assertEquals(1, bench.closed);
        assertTrue(bench.lastSend().upstream() != full);
        bench.finish(bench.lastSend(), Result.OK);
        assertEquals(1, bench.closed, "the other server's connections are kept");
    }

    @Test
    void aColdServersShareStaysUnderItsBudgetWithoutAnyHistory() {
        int siblings = 60;
        int servers = 10;
        int toWarmingUp = 0;
        for (int s = 0; s < siblings; s++) {
            BalancerHarness bench =
                    new BalancerHarness(TestSettings.plain().siblings(siblings).build(), s);
            TestSettings.Server[] list = new TestSettings.Server[servers];
            for (int i = 0; i < servers; i++) {
                list[i] = TestSettings.server(i + 1);
            }
            list[0].startedAt(NOW);
            bench.list(Change.CACHED, list);
            for (int i = 0; i < 40; i++) {
                bench.request(i, 0);
                toWarmingUp += bench.lastSend().upstream() == 1 ? 1 : 0;
                bench.finish(bench.lastSend(), Result.OK);
            }
        }
        // A warm server takes 240 of the 2400 calls; one that is warming up can do 0.2 of that and falls at 3 times it.
        assertTrue(toWarmingUp > 0 && toWarmingUp < 0.2 * 3 * 240, "sent to the cold server: " + toWarmingUp);
    }

    @Test
    void aSubscriptionIsAskedForAtStartAndAgainAfterAFailure() {
        BalancerHarness bench =
                new BalancerHarness(TestSettings.plain().subscribe(true).build(), 1);
        assertEquals(1, bench.watches);
        bench.list(Change.CACHED, TestSettings.server(1));
        bench.list(Change.FAILED);
        assertEquals(1, bench.watches);
        bench.advance(10_000);
        assertEquals(2, bench.watches);
    }

    @Test
    void answersInNoTimeAtAllDoNotUpsetTheDraw() {
        BalancerHarness bench = new BalancerHarness(TestSettings.plain().build(), 1);
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        for (int i = 0; i < 3_000; i++) {
            bench.request(i, 0);
            bench.finish(bench.lastSend(), Result.OK);
        }
        assertEquals(3_000, bench.sends.size());
    }

    @Test
    void aColdServersEarningsAndItsRampBothHoldItBack() {
        BalancerHarness bench = new BalancerHarness(TestSettings.plain().tier(1).build(), 4);
        TestSettings.Server[] list = new TestSettings.Server[10];
        for (int i = 0; i < list.length; i++) {
            list[i] = TestSettings.server(i + 1);
        }
        list[0].startedAt(NOW);
        bench.list(Change.CACHED, list);
        int toWarmingUp = 0;
        for (int i = 0; i < 10_000; i++) {
            bench.request(i, 0);
            toWarmingUp += bench.lastSend().upstream() == 1 ? 1 : 0;
            bench.finishAfter(bench.lastSend(), Result.OK, 100);
        }
        // Its slow start alone would give it 0.2 of 9.2 shares (217 calls), its earnings alone about 160; it waits
        // for a full call to be earned and then for the draw: about 100.
        assertTrue(toWarmingUp > 70 && toWarmingUp < 130, "sent to the cold server: " + toWarmingUp);
    }

    @Test
    void aColdServerIsNotFloodedWhenAllOthersFail() {
        BalancerHarness bench = new BalancerHarness(TestSettings.plain().tier(1).build(), 4);
        bench.list(
                Change.CACHED,
                TestSettings.server(1).startedAt(NOW),
                TestSettings.server(2),
                TestSettings.server(3),
                TestSettings.server(4));
        int toWarmingUp = 0;
        for (int i = 0; i < 1_000; i++) {
            bench.request(i, 0);
            while (bench.isOpen(i)) {
                boolean warmingUp = bench.lastSend().upstream() == 1;
                toWarmingUp += warmingUp ? 1 : 0;
                bench.finish(bench.lastSend(), warmingUp ? Result.OK : Result.ERROR);
            }
        }
        // 1100 calls over the capacity of 3.2 warm servers; it can do 0.2 of one share and falls at 3 times that.
        assertTrue(toWarmingUp < 0.2 * 3 * 1_100 / 3.2, "sent to the cold server: " + toWarmingUp);
    }

    @Test
    void aRestartedServerIsColdAgain() {
        BalancerHarness bench = new BalancerHarness(TestSettings.plain().tier(1).build(), 4);
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        bench.list(Change.DELTA, TestSettings.server(1).startedAt(NOW));
        int toWarmingUp = 0;
        for (int i = 0; i < 1_000; i++) {
            bench.request(i, 0);
            toWarmingUp += bench.lastSend().upstream() == 1 ? 1 : 0;
            bench.finishAfter(bench.lastSend(), Result.OK, 100);
        }
        assertTrue(toWarmingUp < 170, "sent to the restarted server: " + toWarmingUp);
    }

    @Test
    void aRestartClearsTheRecord() {
        BalancerHarness bench = new BalancerHarness(TestSettings.plain().tier(1).build(), 4);
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        int toFirst = 0;
        for (int i = 0; i < 1_000; i++) {
            if (i == 500) {
                toFirst = 0;
                bench.list(Change.DELTA, TestSettings.server(1).startedAt(NOW - 9_500));
            }
            bench.request(i, 0);
            while (bench.isOpen(i)) {
                boolean first = bench.lastSend().upstream() == 1;
                toFirst += first ? 1 : 0;
                bench.finishAfter(bench.lastSend(), first && i < 500 ? Result.ERROR : Result.OK, 100);
            }
        }
        assertTrue(toFirst > 80, "sent after the restart: " + toFirst);
    }

    @Test
    void aStrayTimerSendsNoSecondCopyWhereTwoAtOnceAreForbidden() {
        BalancerHarness bench = new BalancerHarness(TestSettings.plain().build(), 1);
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        bench.request(1, 0);
        bench.timer(1 << 8);
        assertEquals(1, bench.sends.size());
    }

    @Test
    void anOutcomeThatCrossesTheClientsLeavingSendsNothing() {
        BalancerHarness bench = new BalancerHarness(TestSettings.plain().build(), 1);
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        bench.request(1, 0);
        BalancerHarness.Sent sent = bench.lastSend();
        bench.clientGone(1);
        bench.finishUnclosed(sent, Result.FULL);
        assertEquals(1, bench.sends.size());
        assertTrue(bench.refused.isEmpty() && bench.failed.isEmpty());
    }

    @Test
    void underOverloadTheCheapClassIsRefusedFirstAndOnlyWhereClientsArrive() {
        for (int tier = 0; tier < 2; tier++) {
            BalancerHarness bench = new BalancerHarness(
                    TestSettings.plain().tier(tier).lateValue(0).build(), 1);
            bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
            int[] sent = new int[2];
            for (int i = 0; i < 400; i++) {
                int before = bench.sends.size();
                bench.request(i, i % 2);
                bench.advance(10);
                if (bench.sends.size() > before) {
                    sent[i % 2]++;
                    // A third of the calls take most of their aim.
                    bench.finishAfter(bench.lastSend(), Result.OK, i % 3 == 0 ? 700 : 100);
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
    void refusingEndsSoonAfterItsCauseEvenIfFewCallsAreLeftToTell() {
        BalancerHarness bench =
                new BalancerHarness(TestSettings.plain().lateValue(0).build(), 1);
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        for (int i = 0; i < 200; i++) {
            bench.request(i, 0);
            bench.advance(20);
            if (bench.isOpen(i)) {
                bench.finishAfter(bench.lastSend(), Result.OK, 900);
            }
        }
        int refusedUnderOverload = bench.refused.size();
        assertTrue(refusedUnderOverload > 20, refusedUnderOverload + " refused");
        for (int i = 200; i < 1_000; i++) {
            bench.request(i, 0);
            bench.advance(20);
            if (bench.isOpen(i)) {
                bench.finishAfter(bench.lastSend(), Result.OK, 50);
            }
            if (i == 600) {
                // Eight seconds on.
                refusedUnderOverload = bench.refused.size();
            }
        }
        assertEquals(refusedUnderOverload, bench.refused.size());
    }

    @Test
    void noSecondCopyIsSentWhileWorkIsRefused() {
        BalancerHarness bench =
                new BalancerHarness(TestSettings.plain().parallel(true).build(), 1);
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        for (int i = 0; i < 60; i++) {
            bench.request(i, 0);
            bench.advance(50);
            while (bench.isOpen(i)) {
                bench.finish(bench.lastSend(), Result.ERROR);
            }
        }
        // Otherwise a copy would follow after three times the first guess, 600 ms.
        int sends = bench.sends.size();
        for (int i = 60; bench.sends.size() == sends; i++) {
            bench.request(i, 0);
        }
        bench.advance(900);
        assertEquals(sends + 1, bench.sends.size());
    }

    @Test
    void overloadIsFeltWhileCallsAreStillOut() {
        BalancerHarness bench = new BalancerHarness(
                TestSettings.plain().repeat(Repeat.AT_MOST_ONCE).lateValue(0).build(), 1);
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        int i = 0;
        for (; i < 40; i++) {
            bench.request(i, 0);
            bench.advance(20);
        }
        // No call has ended, but the oldest are past half their aim.
        int refused = bench.refused.size();
        for (; i < 60; i++) {
            bench.request(i, 0);
            bench.advance(20);
        }
        assertTrue(bench.refused.size() > refused, bench.refused.size() + " refused");
    }

    @Test
    void errorsThatComeAtOnceAreNoSignOfOverload() {
        for (Result result : new Result[] {Result.ERROR, Result.FULL}) {
            BalancerHarness bench = new BalancerHarness(
                    TestSettings.plain()
                            .repeat(Repeat.AT_MOST_ONCE)
                            .lateValue(0)
                            .build(),
                    1);
            bench.list(Change.CACHED, TestSettings.server(1));
            for (int i = 0; i < 200; i++) {
                bench.request(i, 0);
                if (bench.isOpen(i)) {
                    bench.finishAfter(bench.lastSend(), result, 5);
                }
            }
            long shed = 200
                    - bench.sends.stream()
                            .map(BalancerHarness.Sent::request)
                            .distinct()
                            .count();
            assertEquals(result == Result.FULL, shed > 0, shed + " refused without a try");
        }
    }

    @Test
    void aSickServerAtHomeIsLeftEvenWhereACrossingIsDear() {
        BalancerHarness bench = new BalancerHarness(
                TestSettings.plain()
                        .tier(1)
                        .repeat(Repeat.AT_MOST_ONCE)
                        .crossZone(0.2)
                        .build(),
                1);
        bench.list(
                Change.CACHED,
                TestSettings.server(1),
                TestSettings.server(2).zone(1),
                TestSettings.server(3).zone(1));
        long unhealthy = 0;
        for (int i = 0; i < 1_000; i++) {
            bench.request(i, 0);
            boolean home = bench.lastSend().upstream() == 1;
            unhealthy += home ? 1 : 0;
            bench.finishAfter(bench.lastSend(), home && i % 10 < 7 ? Result.ERROR : Result.OK, 100);
            // Evidence fades with time alone: a server that is left is tried again by and by.
            bench.advance(40);
        }
        assertTrue(unhealthy > 5 && unhealthy < 250, unhealthy + " sent to the sick server");
    }

    @Test
    void aSickServerThatFailsAtOnceIsNotTakenForAFreeOne() {
        BalancerHarness bench = new BalancerHarness(
                TestSettings.plain()
                        .tier(1)
                        .repeat(Repeat.AT_MOST_ONCE)
                        .crossZone(0.2)
                        .build(),
                1);
        bench.list(
                Change.CACHED,
                TestSettings.server(1),
                TestSettings.server(2).zone(1),
                TestSettings.server(3).zone(1));
        ArrayDeque<BalancerHarness.Sent> out = new ArrayDeque<>();
        int lost = 0;
        for (int i = 0; i < 1_000; i++) {
            bench.request(i, 0);
            if (bench.lastSend().upstream() == 1 && i % 10 < 7) {
                lost++;
                bench.finishAfter(bench.lastSend(), Result.ERROR, 5);
            } else {
                out.addLast(bench.lastSend());
            }
            // What is served takes 300 ms, so that some calls are always in flight elsewhere.
            bench.advance(30);
            if (out.size() > 10) {
                bench.finishAfter(out.pollFirst(), Result.OK, 300);
            }
        }
        assertTrue(lost < 150, lost + " lost at the sick server");
    }

    @Test
    void aDearCrossingIsRareAndAPreferredPartTakesMostCalls() {
        BalancerHarness bench =
                new BalancerHarness(TestSettings.plain().tier(1).crossZone(0.03).build(), 1);
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2).zone(1));
        for (int i = 0; i < 1_000; i++) {
            bench.request(i, 0);
            bench.finishAfter(bench.lastSend(), Result.OK, 100);
        }
        long crossed = bench.sends.stream().filter(s -> s.upstream() == 2).count();
        assertTrue(crossed > 0 && crossed < 100, crossed + " crossed");
    }

    @Test
    void whereEvidenceIsThinMostCallsGoToASubsetThatIsBalancedOverInstances() {
        int siblings = 40;
        int[] drawn = new int[49];
        int inEight = 0;
        for (int position = 0; position < siblings; position++) {
            BalancerHarness bench = new BalancerHarness(
                    TestSettings.plain()
                            .tier(1)
                            .siblings(siblings)
                            .position(position)
                            .build(),
                    1);
            TestSettings.Server[] list = new TestSettings.Server[48];
            for (int i = 0; i < list.length; i++) {
                list[i] = TestSettings.server(i + 1).kind(i % 2);
            }
            bench.list(Change.CACHED, list);
            int[] own = new int[49];
            for (int i = 0; i < 100; i++) {
                bench.request(i, 0);
                own[(int) bench.lastSend().upstream()]++;
                drawn[(int) bench.lastSend().upstream()]++;
                bench.finishAfter(bench.lastSend(), Result.OK, 200);
                bench.advance(1_000);
            }
            inEight += Arrays.stream(own).sorted().skip(41).sum();
        }
        assertTrue(inEight > 0.8 * 4_000, inEight + " of 4000 in the eight most used of each");
        // 83 each on average.
        int most = Arrays.stream(drawn).max().orElseThrow();
        int least = Arrays.stream(drawn).skip(1).min().orElseThrow();
        assertTrue(most < 150 && least > 40, "from " + least + " to " + most);
    }

    @Test
    void whereServersAreKnownTheSubsetHardlyCounts() {
        BalancerHarness bench = new BalancerHarness(TestSettings.plain().tier(1).build(), 1);
        TestSettings.Server[] list = new TestSettings.Server[48];
        for (int i = 0; i < list.length; i++) {
            list[i] = TestSettings.server(i + 1);
        }
        bench.list(Change.CACHED, list);
        int[] drawn = new int[49];
        for (int i = 0; i < 8_000; i++) {
            bench.request(i, 0);
            drawn[(int) bench.lastSend().upstream()] += i < 4_000 ? 0 : 1;
            bench.finishAfter(bench.lastSend(), Result.OK, 200);
        }
        int inEight = Arrays.stream(drawn).sorted().skip(41).sum();
        assertTrue(inEight < 1_200, inEight + " of 4000 in the eight most used");
    }

    @Test
    void aSubsetWhoseServersFailIsLeft() {
        BalancerHarness bench = new BalancerHarness(TestSettings.plain().tier(1).build(), 1);
        TestSettings.Server[] list = new TestSettings.Server[48];
        for (int i = 0; i < list.length; i++) {
            list[i] = TestSettings.server(i + 1);
        }
        bench.list(Change.CACHED, list);
        Set<Long> failing = new HashSet<>();
        int served = 0;
        for (int i = 0; i < 400; i++) {
            bench.request(i, 0);
            if (failing.size() < 8) {
                failing.add(bench.lastSend().upstream());
            }
            while (bench.isOpen(i)) {
                boolean fails = failing.contains(bench.lastSend().upstream());
                served += fails || i < 200 ? 0 : 1;
                bench.finishAfter(bench.lastSend(), fails ? Result.ERROR : Result.OK, 200);
            }
            bench.advance(100);
        }
        assertTrue(served > 150, served + " of 200 served");
    }

    @Test
    void workStopsAtTheAimWhereALateAnswerIsWorthNothing() {
        BalancerHarness bench = new BalancerHarness(
                TestSettings.plain().repeat(Repeat.AT_MOST_ONCE).lateValue(0).build(), 1);
        bench.list(Change.CACHED, TestSettings.server(1));
        bench.request(1, 0);
        assertEquals(TestSettings.AIM, bench.lastSend().timeout());
    }

    @Test
    void aStartedStreamIsLeftAloneAndItsCopiesAreNot() {
        BalancerHarness bench =
                new BalancerHarness(TestSettings.plain().streamed(true).build(), 1);
        bench.list(Change.CACHED, TestSettings.server(1));
        bench.request(1, 0);
        bench.streamStarted(bench.lastSend());
        bench.advance(10_000);
        bench.finish(bench.lastSend(), Result.OK);
        assertEquals(1, bench.sends.size());
        assertTrue(bench.cancelled.isEmpty() && bench.failed.isEmpty() && bench.refused.isEmpty());
    }

    @Test
    void aServerThatFailsOneClassLosesThatClassAndKeepsTheOther() {
        BalancerHarness bench = new BalancerHarness(TestSettings.plain().tier(1).build(), 3);
        bench.list(
                Change.CACHED,
                TestSettings.server(1),
                TestSettings.server(2),
                TestSettings.server(3),
                TestSettings.server(4));
        int[] toFailing = new int[2];
        for (int i = 0; i < 2_000; i++) {
            bench.request(i, i % 2);
            bench.advance(20);
            while (bench.isOpen(i)) {
                BalancerHarness.Sent sent = bench.lastSend();
                toFailing[i % 2] += sent.upstream() == 1 ? 1 : 0;
                bench.finishAfter(sent, sent.upstream() == 1 && i % 2 == 0 ? Result.ERROR : Result.OK, 100);
            }
        }
        // A quarter would be 250 of each.
        assertTrue(toFailing[0] < 60, "of the failing class: " + toFailing[0]);
        assertTrue(toFailing[1] > 150, "of the other: " + toFailing[1]);
    }

    @Test
    void aMachineTypeThatFailsIsAvoidedAlsoAtServersNotYetTried() {
        BalancerHarness bench = new BalancerHarness(
                TestSettings.plain().tier(1).repeat(Repeat.AT_MOST_ONCE).build(), 3);
        TestSettings.Server[] list = new TestSettings.Server[80];
        for (int i = 0; i < list.length; i++) {
            list[i] = TestSettings.server(i + 1).kind(i % 2);
        }
        bench.list(Change.CACHED, list);
        int toFailing = 0;
        for (int i = 0; i < 60; i++) {
            bench.request(i, 0);
            boolean failing = bench.lastSend().upstream() % 2 == 0;
            toFailing += failing && i >= 20 ? 1 : 0;
            bench.finishAfter(bench.lastSend(), failing ? Result.ERROR : Result.OK, 100);
            // So rarely that no server's own record lasts until it is met again.
            bench.advance(20_000);
        }
        assertTrue(toFailing < 10, "of 40 calls to the failing type: " + toFailing);
    }

    // ---- Rule 5, order -------------------------------------------------------------------------------

    @Test
    void requestsOfOneKeyTakeTurnsInOrderOfArrivalAndOthersAreFree() {
        BalancerHarness bench =
                new BalancerHarness(TestSettings.plain().inOrder(true).build(), 1);
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        bench.keyed(1, 0, 7);
        bench.keyed(2, 1, 7);
        bench.keyed(3, 0, 8);
        bench.keyed(4, 0, 0);
        bench.keyed(5, 0, 0);
        assertEquals(
                List.of(1L, 3L, 4L, 5L),
                bench.sends.stream().map(BalancerHarness.Sent::request).toList());
        bench.advance(50);
        bench.finish(bench.sends.get(0), Result.OK);
        assertEquals(2, bench.lastSend().request());
    }

    @Test
    void aKeyRestsAfterAnAttemptThatMayStillRunAlsoWhenItsClientHasLeft() {
        BalancerHarness bench =
                new BalancerHarness(TestSettings.plain().inOrder(true).build(), 1);
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        bench.keyed(1, 0, 7);
        bench.keyed(2, 0, 7);
        bench.clientGone(1);
        bench.advance(100);
        assertEquals(1, bench.sends.size(), "an attempt of the first is still out");
        bench.finish(bench.lastSend(), Result.CANCELLED);
        bench.advance(99);
        assertEquals(1, bench.sends.size(), "the key rests");
        bench.advance(2);
        assertEquals(2, bench.lastSend().request());
    }

    @Test
    void theRequestWhoseTurnItIsMayBeSentAgain() {
        BalancerHarness bench =
                new BalancerHarness(TestSettings.plain().inOrder(true).tier(1).build(), 1);
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        bench.keyed(1, 0, 7);
        bench.keyed(2, 0, 7);
        bench.finish(bench.lastSend(), Result.RESET);
        assertEquals(1, bench.lastSend().request());
        assertEquals(2, bench.sends.size());
    }

    @Test
    void aRequestWhoseTurnCannotComeInTimeIsRefusedOnArrival() {
        BalancerHarness bench = new BalancerHarness(
                TestSettings.plain().inOrder(true).lateValue(0).build(), 1);
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        for (int i = 1; i <= 20; i++) {
            bench.keyed(i, 0, 7);
        }
        // The first guess is 200 ms a call and the aim 1000 ms: five or so have a chance.
        assertEquals(1, bench.sends.size());
        assertTrue(bench.refused.size() > 10 && bench.refused.size() < 18, bench.refused + " refused");
        assertTrue(bench.isOpen(2) && !bench.isOpen(20));
    }

    @Test
    void aWaitingRequestIsAnsweredInTime() {
        BalancerHarness bench = new BalancerHarness(
                TestSettings.plain().inOrder(true).repeat(Repeat.AT_MOST_ONCE).build(), 1);
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        bench.keyed(1, 0, 7);
        bench.keyed(2, 0, 7);
        bench.advance(2_000);
        assertEquals(List.of(2L), bench.refused);
    }

    // ---- Rule 6, placement ---------------------------------------------------------------------------

    @Test
    void aBoundClassGoesOnlyWhereItMayAlsoWhenItsServersFail() {
        BalancerHarness bench = new BalancerHarness(
                TestSettings.plain().onlyZones(1).onlyKinds(1).tier(1).build(), 1);
        bench.list(
                Change.CACHED,
                TestSettings.server(1).zone(1),
                TestSettings.server(2).kind(1),
                TestSettings.server(3).zone(1).kind(1));
        for (int i = 0; i < 200; i++) {
            bench.request(i, 0);
            while (bench.isOpen(i)) {
                assertEquals(3, bench.lastSend().upstream());
                bench.finish(bench.lastSend(), i % 2 == 0 ? Result.ERROR : Result.OK);
            }
        }
    }

    @Test
    void aBoundClassWithoutAServerIsHeldAndAnOpenOneIsNot() {
        for (Integer[] kinds : new Integer[][] {{1}, {}}) {
            BalancerHarness bench =
                    new BalancerHarness(TestSettings.plain().onlyKinds(kinds).build(), 1);
            bench.list(Change.CACHED, TestSettings.server(1));
            bench.request(1, 0);
            bench.request(2, 1);
            assertEquals(2, bench.lastSend().request());
            assertTrue(bench.isOpen(1));
            bench.list(Change.DELTA, TestSettings.server(2).kind(1));
            bench.advance(100);
            assertEquals(kinds.length == 1 ? 1 : 2, bench.lastSend().request());
            bench.advance(2_000);
            assertEquals(kinds.length == 1, bench.refused.isEmpty());
        }
    }

    @Test
    void overloadOfABoundClassRefusesNothingOfTheOthers() {
        BalancerHarness bench = new BalancerHarness(
                TestSettings.plain().onlyKinds(1).lateValue(0).build(), 1);
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2).kind(1));
        int[] refused = new int[2];
        for (int i = 0; i < 400; i++) {
            bench.request(i, i % 2);
            bench.advance(20);
            if (bench.isOpen(i)) {
                bench.finishAfter(bench.lastSend(), Result.OK, i % 2 == 0 ? 900 : 100);
            } else {
                refused[i % 2]++;
            }
        }
        assertTrue(refused[0] > 40, refused[0] + " refused of the bound class");
        assertEquals(0, refused[1]);
    }

    @Test
    void thoseWhoMayGoElsewhereMakeRoomForABoundClass() {
        BalancerHarness bench = new BalancerHarness(
                TestSettings.plain().onlyKinds(1).lateValue(0).build(), 1);
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2).kind(1));
        int[] free = new int[3];
        for (int i = 0; i < 600; i++) {
            bench.request(i, i % 2);
            bench.advance(20);
            if (bench.isOpen(i)) {
                free[i % 2 == 1 && i > 200 ? (int) bench.lastSend().upstream() : 0]++;
                // Equally quick for the free class, so that latencies alone would share it evenly.
                bench.finishAfter(bench.lastSend(), Result.OK, i % 2 == 0 ? 900 : 100);
            }
        }
        assertTrue(free[2] > 0 && free[2] < free[1] / 5, free[1] + " and " + free[2]);
    }

    // ---- Rule 4 when nothing is warm -----------------------------------------------------------------

    @Test
    void aFleetThatIsColdAsAWholeIsNotLeftIdle() {
        BalancerHarness bench = new BalancerHarness(TestSettings.plain().tier(1).build(), 4);
        bench.list(
                Change.CACHED,
                TestSettings.server(1).startedAt(NOW),
                TestSettings.server(2).startedAt(NOW),
                TestSettings.server(3).startedAt(NOW),
                TestSettings.server(4).startedAt(NOW));
        for (int i = 0; i < 400; i++) {
            bench.request(i, 0);
            int before = bench.sends.size();
            bench.advance(5);
            for (BalancerHarness.Sent s : bench.sends.subList(Math.max(0, before - 1), bench.sends.size())) {
                if (bench.isOpen(s.request())) {
                    bench.finish(s, Result.OK);
                }
            }
        }
        // All can do a fifth of their capacity and fall at three times that; half of 400 is far from both.
        int sent = bench.sends.size();
        assertTrue(sent > 60 && sent < 0.2 * 3 * 400, sent + " sent");
    }
}

package sablehinge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sablehinge.policy.LoadBalancer.Change;
import sablehinge.policy.LoadBalancer.Repeat;
import sablehinge.policy.LoadBalancer.Result;

/** Requests with the same key run in order of arrival (rule 5): event sequences in virtual time. */
class KeyOrderTest {

    @Test
    void runsRequestsOfOneKeyInOrderAndOthersConcurrently() {
        BalancerHarness harness =
                new BalancerHarness(TestSettings.builder().inOrder(true).build(), 1);
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        harness.requestWithKey(1, 0, 7);
        harness.requestWithKey(2, 1, 7);
        harness.requestWithKey(3, 0, 8);
        harness.requestWithKey(4, 0, 0);
        harness.requestWithKey(5, 0, 0);
        assertEquals(
                List.of(1L, 3L, 4L, 5L),
                harness.sends.stream().map(BalancerHarness.Sent::request).toList());
        harness.advance(50);
        harness.finish(harness.sends.get(0), Result.OK);
        assertEquals(2, harness.lastSend().request());
    }

    @Test
    void delaysNextRequestOfKeyUntilAbandonedAttemptSettles() {
        BalancerHarness harness =
                new BalancerHarness(TestSettings.builder().inOrder(true).build(), 1);
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        harness.requestWithKey(1, 0, 7);
        harness.requestWithKey(2, 0, 7);
        harness.clientGone(1);
        harness.advance(100);
        assertEquals(1, harness.sends.size(), "an attempt of the first request is still in flight");
        harness.finish(harness.lastSend(), Result.CANCELLED);
        harness.advance(99);
        assertEquals(1, harness.sends.size(), "the attempt may still run");
        harness.advance(2);
        assertEquals(2, harness.lastSend().request());
    }

    @Test
    void retriesRequestAtHeadOfQueue() {
        BalancerHarness harness =
                new BalancerHarness(TestSettings.builder().inOrder(true).tier(1).build(), 1);
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        harness.requestWithKey(1, 0, 7);
        harness.requestWithKey(2, 0, 7);
        harness.finish(harness.lastSend(), Result.RESET);
        assertEquals(1, harness.lastSend().request());
        assertEquals(2, harness.sends.size());
    }

    @Test
    void refusesRequestOnArrivalWhenExpectedWaitIsTooLong() {
        BalancerHarness harness = new BalancerHarness(
                TestSettings.builder().inOrder(true).lateValue(0).build(), 1);
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        for (int i = 1; i <= 20; i++) {
            harness.requestWithKey(i, 0, 7);
        }
        // The initial estimate is 200 ms per call and the aim 1000 ms, so about five requests can be served in time.
        assertEquals(1, harness.sends.size());
        assertTrue(harness.refused.size() > 10 && harness.refused.size() < 18, harness.refused + " refused");
        assertTrue(harness.isPending(2) && !harness.isPending(20));
    }

    @Test
    void refusesQueuedRequestInTime() {
        BalancerHarness harness = new BalancerHarness(
                TestSettings.builder().inOrder(true).repeat(Repeat.AT_MOST_ONCE).build(), 1);
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        harness.requestWithKey(1, 0, 7);
        harness.requestWithKey(2, 0, 7);
        harness.advance(2_000);
        assertEquals(List.of(2L), harness.refused);
    }
}

package sablehinge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import sablehinge.policy.LoadBalancer.Change;
import sablehinge.policy.LoadBalancer.Result;

/** Classes that are restricted to some servers (rule 6): event sequences in virtual time. */
class PlacementTest {

    @Test
    void keepsRestrictedClassInPlacementWhenItsServersFail() {
        BalancerHarness harness = new BalancerHarness(
                TestSettings.builder().onlyZones(1).onlyKinds(1).tier(1).build(), 1);
        harness.updateUpstreams(
                Change.CACHED,
                TestSettings.server(1).zone(1),
                TestSettings.server(2).kind(1),
                TestSettings.server(3).zone(1).kind(1));
        for (int i = 0; i < 200; i++) {
            harness.request(i, 0);
            while (harness.isPending(i)) {
                assertEquals(3, harness.lastSend().upstream());
                harness.finish(harness.lastSend(), i % 2 == 0 ? Result.ERROR : Result.OK);
            }
        }
    }

    @Test
    void holdsOnlyRestrictedClassWithoutServer() {
        for (Integer[] kinds : new Integer[][] {{1}, {}}) {
            BalancerHarness harness =
                    new BalancerHarness(TestSettings.builder().onlyKinds(kinds).build(), 1);
            harness.updateUpstreams(Change.CACHED, TestSettings.server(1));
            harness.request(1, 0);
            harness.request(2, 1);
            assertEquals(2, harness.lastSend().request());
            assertTrue(harness.isPending(1));
            harness.updateUpstreams(Change.DELTA, TestSettings.server(2).kind(1));
            harness.advance(100);
            assertEquals(kinds.length == 1 ? 1 : 2, harness.lastSend().request());
            harness.advance(2_000);
            assertEquals(kinds.length == 1, harness.refused.isEmpty());
        }
    }

    @Test
    void shedsOnlyOverloadedRestrictedClass() {
        BalancerHarness harness = new BalancerHarness(
                TestSettings.builder().onlyKinds(1).lateValue(0).build(), 1);
        harness.updateUpstreams(
                Change.CACHED, TestSettings.server(1), TestSettings.server(2).kind(1));
        int[] refused = new int[2];
        for (int i = 0; i < 400; i++) {
            harness.request(i, i % 2);
            harness.advance(20);
            if (harness.isPending(i)) {
                harness.finishAfter(harness.lastSend(), Result.OK, i % 2 == 0 ? 900 : 100);
            } else {
                refused[i % 2]++;
            }
        }
        assertTrue(refused[0] > 40, refused[0] + " refused of the restricted class");
        assertEquals(0, refused[1]);
    }

    @Test
    void movesUnrestrictedClassAwayFromOverloadedRestrictedServers() {
        BalancerHarness harness = new BalancerHarness(
                TestSettings.builder().onlyKinds(1).lateValue(0).build(), 1);
        harness.updateUpstreams(
                Change.CACHED, TestSettings.server(1), TestSettings.server(2).kind(1));
        int[] unrestricted = new int[3];
        for (int i = 0; i < 600; i++) {
            harness.request(i, i % 2);
            harness.advance(20);
            if (harness.isPending(i)) {
                unrestricted[i % 2 == 1 && i > 200 ? (int) harness.lastSend().upstream() : 0]++;
                // Both servers are equally fast for the unrestricted class, so by latency alone it would be split
                // evenly.
                harness.finishAfter(harness.lastSend(), Result.OK, i % 2 == 0 ? 900 : 100);
            }
        }
        assertTrue(
                unrestricted[2] > 0 && unrestricted[2] < unrestricted[1] / 5,
                unrestricted[1] + " and " + unrestricted[2]);
    }
}

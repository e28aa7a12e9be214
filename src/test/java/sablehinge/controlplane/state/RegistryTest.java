package sablehinge.controlplane.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sablehinge.mesh.watch.Registration;

/** Registration, expiry and change tracking of balancers. */
class RegistryTest {

    private final Registry registry = new Registry(2_500, 1_000);

    RegistryTest() {
        registry.reset(0);
    }

    private static Registration registration(String node, String upstream, boolean ready, int warmUpMs) {
        return new Registration(node, "monza-a", "127.0.0.1:80", "huvo11a", upstream, ready, 4, warmUpMs);
    }

    private static List<String> upstreams(List<Registration> registrations) {
        return registrations.stream().map(Registration::upstream).toList();
    }

    @Test
    void returnsChangesAfterStampInOrder() {
        assertTrue(registry.register(0, registration("a", "i-1", true, 0)));
        assertTrue(registry.register(0, registration("b", "i-2", true, 0)));
        assertTrue(registry.register(0, registration("c", "i-3", true, 0)));
        assertEquals(3, registry.stamp());
        assertTrue(registry.register(1, registration("a", "i-1", false, 0)));
        assertEquals(List.of("i-3", "i-1"), upstreams(registry.since(2)));
        assertEquals(List.of(), registry.since(registry.stamp()));
        assertEquals(List.of("i-2", "i-3", "i-1"), upstreams(registry.since(0)));
    }

    /** A quota is counted across all machines, including those that are cut off. */
    @Test
    void unresponsiveBalancerRetainsQuotaShareAndLeavingBalancerDoesNot() {
        registry.register(0, registration("a", "i-1", true, 0));
        registry.register(0, registration("b", "i-2", true, 0));
        registry.register(900, registration("c", "i-3", true, 0));
        assertEquals(3, registry.quotaSharers());
        registry.register(900, registration("b", "", false, 0));
        assertEquals(2, registry.quotaSharers(), "b has left");
        assertTrue(registry.expire(1_001));
        assertEquals(1, registry.size());
        assertEquals(2, registry.quotaSharers(), "a may only be cut off");
        registry.register(1_500, registration("a", "", false, 0));
        assertEquals(1, registry.quotaSharers(), "a has returned without an upstream");
        registry.register(1_600, registration("a", "i-4", true, 0));
        registry.register(5_000, registration("c", "i-3", true, 0));
        registry.expire(5_500);
        assertEquals(2, registry.quotaSharers());
        registry.expire(5_601);
        assertEquals(1, registry.quotaSharers(), "the entry of a was removed");
    }

    /** The process of a balancer ends with its upstream, shortly after the upstream has reported that it leaves. */
    @Test
    void balancerWithLeavingUpstreamLosesQuotaShareOnceUnresponsive() {
        registry.register(0, registration("a", "i-1", true, 0));
        registry.register(0, registration("b", "i-2", true, 0));
        registry.register(100, registration("b", "i-2", false, 0));
        registry.register(1_000, registration("a", "i-1", true, 0));
        assertEquals(2, registry.quotaSharers());
        assertTrue(registry.expire(1_101));
        assertEquals(1, registry.quotaSharers());
    }

    /** DRAIN: a process that does not know of the departure registers the upstream as ready again. */
    @Test
    void departedUpstreamIsNeverPublishedAsReadyAgain() {
        registry.register(0, registration("a", "i-1", true, 0));
        registry.recordDeparture(1, registration("a", "i-1", false, 0).leaving());
        assertTrue(registry.since(0).get(0).isLeaving());
        assertFalse(registry.register(2, registration("a", "i-1", true, 0)));
        assertTrue(registry.since(0).get(0).isLeaving());
        registry.recordPeerReport(3, registration("b", "i-1", true, 0));
        assertFalse(registry.since(0).stream().anyMatch(Registration::ready));
        assertTrue(registry.register(4, registration("a", "i-2", true, 0)));
        List<Registration> ofBalancer =
                registry.since(0).stream().filter(one -> one.node().equals("a")).toList();
        assertEquals(List.of("i-1", "i-2"), upstreams(ofBalancer), "followed by the present entry");
        assertEquals(List.of(), registry.since(registry.stamp()));
    }

    /** DRAIN: each balancer is told, so that one of them can tell the next leader. */
    @Test
    void departureOfUpstreamThatIsNotRegisteredIsPublished() {
        registry.recordDeparture(0, registration("a", "i-1", false, 0).leaving());
        assertEquals(List.of("i-1"), upstreams(registry.since(0)));
        registry.register(1, registration("a", "", false, 0));
        registry.register(1, registration("b", "i-2", true, 0));
        long known = registry.stamp();
        registry.recordDeparture(2, registration("a", "i-3", false, 0).leaving());
        assertEquals(List.of("i-3", ""), upstreams(registry.since(known)));
        assertEquals(List.of("i-1", "i-3", "", "i-2"), upstreams(registry.since(0)));
    }

    @Test
    void repeatedDepartureIsNoChange() {
        registry.recordDeparture(0, registration("a", "i-1", false, 0).leaving());
        long stamp = registry.stamp();
        registry.recordDeparture(1, registration("a", "i-1", false, 0).leaving());
        assertEquals(stamp, registry.stamp());
    }

    @Test
    void repeatedRegistrationOrWarmUpProgressIsNoChange() {
        registry.register(0, registration("a", "i-1", true, 900));
        assertFalse(registry.register(1, registration("a", "i-1", true, 900)));
        assertFalse(registry.register(2, registration("a", "i-1", true, 100)));
        assertEquals(1, registry.stamp());
    }

    @Test
    void expiryRemovesUpstreamAndIsAChange() {
        registry.register(0, registration("a", "i-1", true, 0));
        registry.register(0, registration("b", "i-2", true, 0));
        registry.register(600, registration("b", "i-2", true, 0));
        assertFalse(registry.expire(1_000));
        assertTrue(registry.expire(1_001));
        assertFalse(registry.expire(1_002));
        assertEquals(3, registry.stamp());
        assertEquals(
                List.of(registration("a", "", false, 0).node()),
                registry.since(2).stream().map(Registration::node).toList());
        assertEquals("", registry.since(2).get(0).upstream());
        assertFalse(registry.since(2).get(0).ready());
        assertEquals(1, registry.size());
        assertTrue(registry.register(1_100, registration("a", "i-1", true, 0)));
        assertEquals(2, registry.size());
    }

    @Test
    void removesEntryLongAfterExpiry() {
        registry.register(0, registration("a", "i-1", true, 0));
        registry.expire(1_001);
        registry.expire(4_001);
        assertEquals(List.of(), registry.since(0));
    }

    /** Otherwise all balancers would expire as soon as a paused leader process resumes. */
    @Test
    void pauseOfOwnProcessDoesNotCountTowardsExpiry() {
        registry.register(0, registration("a", "i-1", true, 0));
        registry.register(500, registration("b", "i-2", true, 0));
        registry.processPaused(20_700, 20_000);
        assertFalse(registry.expire(20_900));
        assertTrue(registry.expire(21_050));
        assertEquals(List.of("i-2", ""), upstreams(registry.since(0)));
    }

    @Test
    void isCompleteAfterRegistrationTimeAndIncompleteAfterReset() {
        assertFalse(registry.isComplete(2_499));
        assertTrue(registry.isComplete(2_500));
        registry.register(2_500, registration("a", "i-1", true, 0));
        registry.reset(3_000);
        assertFalse(registry.isComplete(3_001));
        assertEquals(0, registry.stamp());
        assertEquals(List.of(), registry.since(0));
        assertFalse(new Registry(0, 0).isComplete(1e9));
    }
}

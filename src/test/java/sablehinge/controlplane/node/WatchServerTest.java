package sablehinge.controlplane.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sablehinge.controlplane.state.Registry;
import sablehinge.mesh.failuredetection.Health;
import sablehinge.mesh.failuredetection.HealthView;
import sablehinge.mesh.failuredetection.Suspicion;
import sablehinge.mesh.failuredetection.SuspicionCause;
import sablehinge.mesh.watch.Registration;
import sablehinge.mesh.watch.Update;
import sablehinge.mesh.watch.WatchRequest;

/** When and with what watch requests are answered, on a simulated clock. */
class WatchServerTest {

    private static final long TERM = 5;
    private static final byte[] BODY = {1, 2, 3};
    private final Registry registry = new Registry(2_500, 10_000);
    private final WatchServer<String> watchServer = new WatchServer<>(registry);

    WatchServerTest() {
        watchServer.startTerm(0, TERM);
        watchServer.configurationChanged(4, BODY, List.of("127.0.0.1:7000"));
    }

    private static Registration registration(String node) {
        return new Registration(node, "monza-a", "127.0.0.1:7001", "huvo11a", "i-" + node, true, 4, 0);
    }

    private void request(double now, String node, int number, long edition, long stamp, boolean confirm) {
        request(now, node, number, edition, stamp, confirm, List.of(), List.of());
    }

    private void request(
            double now,
            String node,
            int number,
            long edition,
            long stamp,
            boolean confirm,
            List<Suspicion> suspicions,
            List<Registration> vouched) {
        watchServer.handleRequest(
                now,
                node,
                new WatchRequest(
                        number,
                        registration(node),
                        edition,
                        stamp == 0 ? 0 : TERM,
                        stamp,
                        confirm,
                        suspicions,
                        vouched));
    }

    private Update singleUpdate(double now) {
        List<WatchServer.Delivery<String>> dueDeliveries = watchServer.dueDeliveries(now);
        assertEquals(1, dueDeliveries.size());
        return dueDeliveries.get(0).update();
    }

    private void assertNoUpdate(double now) {
        assertEquals(List.of(), watchServer.dueDeliveries(now));
    }

    /** Subscribes a balancer that has received the current state, with one request pending. */
    private void subscribeUpToDate(String node) {
        request(0, node, 1, 0, 0, false);
        Update first = singleUpdate(0);
        assertEquals(4, first.edition());
        assertArrayEquals(BODY, first.body());
        assertTrue(first.full());
        assertEquals(TERM, first.term());
        request(0, node, 2, 4, first.stamp(), false);
    }

    @Test
    void sendsCompleteStateToNewSubscriberAtOnce() {
        subscribeUpToDate("a");
    }

    @Test
    void answersRequestWithoutUpdateOnceAfterLongPollTimeout() {
        subscribeUpToDate("a");
        assertNoUpdate(0);
        assertNoUpdate(399);
        Update update = singleUpdate(400);
        assertEquals(2, update.number());
        assertEquals(0, update.body().length);
        assertFalse(update.full());
        assertEquals(List.of(), update.registrations());
        assertNoUpdate(500);
    }

    @Test
    void sendsNewEditionAtOnceToPendingRequest() {
        subscribeUpToDate("a");
        assertNoUpdate(10);
        watchServer.configurationChanged(6, new byte[] {9}, List.of());
        Update update = singleUpdate(11);
        assertEquals(6, update.edition());
        assertArrayEquals(new byte[] {9}, update.body());
    }

    /** A balancer that reads configurations more slowly than they follow would otherwise do nothing else. */
    @Test
    void sendsOneOfManyEditionsPerSecondAndTheLast() {
        subscribeUpToDate("a");
        long knownEdition = 4;
        double lastSentAt = 0;
        int sent = 0;
        int number = 3;
        for (double now = 10; now <= 11_000; now += 10) {
            if (now <= 9_000) {
                watchServer.configurationChanged(4 + (long) (now / 10), BODY, List.of());
            }
            for (WatchServer.Delivery<String> answer : watchServer.dueDeliveries(now)) {
                if (answer.update().body().length > 0) {
                    assertTrue(now - lastSentAt <= 1_000 && now <= 10_000, "sent at " + now);
                    knownEdition = answer.update().edition();
                    lastSentAt = now;
                    sent++;
                }
                request(now, "a", number++, knownEdition, registry.stamp(), false);
            }
        }
        assertEquals(904, knownEdition);
        assertTrue(sent <= 11, "sent " + sent);
    }

    @Test
    void confirmedRequestGetsNewestEditionWithoutRateLimit() {
        subscribeUpToDate("a");
        long knownEdition = 4;
        for (int i = 0; i < 50; i++) {
            watchServer.configurationChanged(5 + i, BODY, List.of());
            request(20 + i, "a", 3 + i, knownEdition, registry.stamp(), true);
            watchServer.confirmed("a", 3 + i);
            knownEdition = singleUpdate(20 + i).edition();
            assertEquals(5 + i, knownEdition);
        }
        request(80, "a", 90, knownEdition, registry.stamp(), false);
        watchServer.configurationChanged(100, BODY, List.of());
        assertNoUpdate(90);
        watchServer.dueDeliveries(500);
        request(500, "a", 91, knownEdition, registry.stamp(), false);
        assertNoUpdate(510);
        request(1_070, "a", 92, knownEdition, registry.stamp(), false);
        assertEquals(100, singleUpdate(1_070).edition());
    }

    @Test
    void sendsNewRegistrationAtOnceToPendingRequest() {
        subscribeUpToDate("a");
        assertNoUpdate(10);
        request(20, "b", 1, 4, registry.stamp(), false);
        Update update = watchServer.dueDeliveries(20).stream()
                .filter(delivery -> delivery.to().equals("a"))
                .findFirst()
                .orElseThrow()
                .update();
        assertEquals(List.of(registration("b")), update.registrations());
        assertFalse(update.full());
    }

    @Test
    void confirmedRequestWaitsForItsBarrier() {
        subscribeUpToDate("a");
        request(10, "a", 3, 4, registry.stamp(), true);
        assertNoUpdate(10);
        assertNoUpdate(5_000 - 1);
        watchServer.configurationChanged(6, BODY, List.of());
        assertNoUpdate(5_000);
        watchServer.confirmed("a", 2);
        assertNoUpdate(5_001);
        watchServer.confirmed("a", 3);
        Update update = singleUpdate(5_002);
        assertTrue(update.confirmed());
        assertEquals(6, update.edition());
    }

    @Test
    void confirmationAppliesOnlyToItsRequest() {
        subscribeUpToDate("a");
        request(10, "a", 3, 4, registry.stamp(), true);
        watchServer.confirmed("a", 3);
        assertTrue(singleUpdate(10).confirmed());
        request(11, "a", 4, 4, registry.stamp(), false);
        assertFalse(singleUpdate(411).confirmed());
    }

    @Test
    void sendsFullRegistryAgainWhenComplete() {
        subscribeUpToDate("a");
        assertFalse(singleUpdate(400).complete());
        request(2_400, "a", 3, 4, registry.stamp(), false);
        assertNoUpdate(2_499);
        Update full = singleUpdate(2_500);
        assertTrue(full.full());
        assertTrue(full.complete());
        assertEquals(List.of(registration("a")), full.registrations());
        request(2_500, "a", 4, 4, registry.stamp(), false);
        assertNoUpdate(2_600);
        assertFalse(singleUpdate(2_900).full());
    }

    private Update updateFor(double now, String node) {
        return watchServer.dueDeliveries(now).stream()
                .filter(delivery -> delivery.to().equals(node))
                .findFirst()
                .orElseThrow()
                .update();
    }

    @Test
    void publishesSuspectedSilentBalancerAsNotReadyUntilItsNextRequest() {
        subscribeUpToDate("a");
        request(0, "b", 1, 4, registry.stamp(), false);
        request(
                1_000,
                "a",
                3,
                4,
                registry.stamp(),
                false,
                List.of(new Suspicion("b", SuspicionCause.RESET)),
                List.of());
        Registration ejected = updateFor(1_000, "a").registrations().get(0);
        assertEquals("i-b", ejected.upstream());
        assertFalse(ejected.ready());
        assertEquals(Health.DEAD, watchServer.healthChanges().get(0).health());
        request(1_010, "a", 4, 4, registry.stamp(), false);
        request(1_020, "b", 2, 4, registry.stamp(), false);
        assertEquals(List.of(registration("b")), updateFor(1_020, "a").registrations());
    }

    @Test
    void balancerCutFromCoreStaysRegisteredThroughVouchingPeers() {
        request(0, "b", 1, 4, 0, false);
        watchServer.startTerm(10, TERM);
        subscribeUpToDate("a");
        for (int now = 100; now < 15_000; now += 500) {
            List<Registration> vouched = registry.size() < 2 ? List.of(registration("b")) : List.of();
            request(now, "a", now, 4, registry.stamp(), false, List.of(), vouched);
            watchServer.dueDeliveries(now);
        }
        assertEquals(List.of(registration("a"), registration("b")), registry.since(0));
        assertEquals(
                List.of(Health.CUT_FROM_CORE),
                watchServer.healthChanges().stream()
                        .map(HealthView.HealthChange::health)
                        .toList());
    }

    @Test
    void sendsNothingToRemovedSubscriber() {
        subscribeUpToDate("a");
        watchServer.removeSubscriber("a");
        watchServer.configurationChanged(6, BODY, List.of());
        assertNoUpdate(1_000);
        assertEquals(0, watchServer.subscribers().size());
    }

    @Test
    void newTermSendsFullRegistry() {
        subscribeUpToDate("a");
        long knownStamp = registry.stamp();
        watchServer.startTerm(100, TERM + 1);
        assertNoUpdate(1_000);
        request(1_000, "a", 3, 4, knownStamp, false);
        Update update = singleUpdate(1_000);
        assertEquals(TERM + 1, update.term());
        assertTrue(update.full());
        assertFalse(update.complete());
    }
}

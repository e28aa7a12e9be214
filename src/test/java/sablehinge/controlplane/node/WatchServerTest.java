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

/** When watch requests are answered, and with what; the time is the test's. */
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

    private void asks(double now, String node, int number, long edition, long stamp, boolean confirm) {
        asks(now, node, number, edition, stamp, confirm, List.of(), List.of());
    }

    private void asks(
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

    private Update only(double now) {
        List<WatchServer.Delivery<String>> dueDeliveries = watchServer.dueDeliveries(now);
        assertEquals(1, dueDeliveries.size());
        return dueDeliveries.get(0).update();
    }

    private void none(double now) {
        assertEquals(List.of(), watchServer.dueDeliveries(now));
    }

    /** One that knows all there is. */
    private void outcome(String node) {
        asks(0, node, 1, 0, 0, false);
        Update first = only(0);
        assertEquals(4, first.edition());
        assertArrayEquals(BODY, first.body());
        assertTrue(first.full());
        assertEquals(TERM, first.term());
        asks(0, node, 2, 4, first.stamp(), false);
    }

    @Test
    void whoKnowsNothingIsToldAllAtOnce() {
        outcome("a");
    }

    @Test
    void anAskWithoutNewsIsHeldForAWhileAndAnsweredOnce() {
        outcome("a");
        none(0);
        none(399);
        Update update = only(400);
        assertEquals(2, update.number());
        assertEquals(0, update.body().length);
        assertFalse(update.full());
        assertEquals(List.of(), update.registrations());
        none(500);
    }

    @Test
    void aNewEditionIsToldAtOnceToWhoIsHeld() {
        outcome("a");
        none(10);
        watchServer.configurationChanged(6, new byte[] {9}, List.of());
        Update update = only(11);
        assertEquals(6, update.edition());
        assertArrayEquals(new byte[] {9}, update.body());
    }

    /** Who can't read them as fast as they come would do nothing else. */
    @Test
    void ofManyEditionsInSuccessionOneIsToldEachSecondAndTheLastOneIsToldInTheEnd() {
        outcome("a");
        long known = 4;
        double lastNotified = 0;
        int answered = 0;
        int number = 3;
        for (double now = 10; now <= 11_000; now += 10) {
            if (now <= 9_000) {
                watchServer.configurationChanged(4 + (long) (now / 10), BODY, List.of());
            }
            for (WatchServer.Delivery<String> answer : watchServer.dueDeliveries(now)) {
                if (answer.update().body().length > 0) {
                    assertTrue(now - lastNotified <= 1_000 && now <= 10_000, "told at " + now);
                    known = answer.update().edition();
                    lastNotified = now;
                    answered++;
                }
                asks(now, "a", number++, known, registry.stamp(), false);
            }
        }
        assertEquals(904, known);
        assertTrue(answered <= 11, "told " + answered);
    }

    @Test
    void whoWantsToBeSureIsToldTheNewestHoweverManyItWasToldBefore() {
        outcome("a");
        long known = 4;
        for (int i = 0; i < 50; i++) {
            watchServer.configurationChanged(5 + i, BODY, List.of());
            asks(20 + i, "a", 3 + i, known, registry.stamp(), true);
            watchServer.confirmed("a", 3 + i);
            known = only(20 + i).edition();
            assertEquals(5 + i, known);
        }
        asks(80, "a", 90, known, registry.stamp(), false);
        watchServer.configurationChanged(100, BODY, List.of());
        none(90);
        watchServer.dueDeliveries(500);
        asks(500, "a", 91, known, registry.stamp(), false);
        none(510);
        asks(1_070, "a", 92, known, registry.stamp(), false);
        assertEquals(100, only(1_070).edition());
    }

    @Test
    void whoHasComeIsToldAtOnceToWhoIsHeldAndNothingElse() {
        outcome("a");
        none(10);
        asks(20, "b", 1, 4, registry.stamp(), false);
        Update update = watchServer.dueDeliveries(20).stream()
                .filter(answered -> answered.to().equals("a"))
                .findFirst()
                .orElseThrow()
                .update();
        assertEquals(List.of(registration("b")), update.registrations());
        assertFalse(update.full());
    }

    @Test
    void aConfirmationWaitsForItsBarrierHoweverLongThatTakesAndWhateverElseIsNew() {
        outcome("a");
        asks(10, "a", 3, 4, registry.stamp(), true);
        none(10);
        none(5_000 - 1);
        watchServer.configurationChanged(6, BODY, List.of());
        none(5_000);
        watchServer.confirmed("a", 2);
        none(5_001);
        watchServer.confirmed("a", 3);
        Update update = only(5_002);
        assertTrue(update.confirmed());
        assertEquals(6, update.edition());
    }

    @Test
    void theConfirmationOfOneAskIsNotThatOfTheNext() {
        outcome("a");
        asks(10, "a", 3, 4, registry.stamp(), true);
        watchServer.confirmed("a", 3);
        assertTrue(only(10).confirmed());
        asks(11, "a", 4, 4, registry.stamp(), false);
        assertFalse(only(411).confirmed());
    }

    @Test
    void theWholeRollIsToldOnceMoreWhenItIsComplete() {
        outcome("a");
        assertFalse(only(400).complete());
        asks(2_400, "a", 3, 4, registry.stamp(), false);
        none(2_499);
        Update full = only(2_500);
        assertTrue(full.full());
        assertTrue(full.complete());
        assertEquals(List.of(registration("a")), full.registrations());
        asks(2_500, "a", 4, 4, registry.stamp(), false);
        none(2_600);
        assertFalse(only(2_900).full());
    }

    private Update answered(double now, String node) {
        return watchServer.dueDeliveries(now).stream()
                .filter(answered -> answered.to().equals(node))
                .findFirst()
                .orElseThrow()
                .update();
    }

    @Test
    void whoIsAccusedAndSilentIsToldAsNotReadyAndAsItWasOnceItAsks() {
        outcome("a");
        asks(0, "b", 1, 4, registry.stamp(), false);
        asks(1_000, "a", 3, 4, registry.stamp(), false, List.of(new Suspicion("b", SuspicionCause.RESET)), List.of());
        Registration off = answered(1_000, "a").registrations().get(0);
        assertEquals("i-b", off.upstream());
        assertFalse(off.ready());
        assertEquals(Health.DEAD, watchServer.healthChanges().get(0).health());
        asks(1_010, "a", 4, 4, registry.stamp(), false);
        asks(1_020, "b", 2, 4, registry.stamp(), false);
        assertEquals(List.of(registration("b")), answered(1_020, "a").registrations());
    }

    @Test
    void whoIsCutFromTheCoreStaysHoweverLongAndAnotherLeaderHearsOfItFromThoseWhoHearIt() {
        asks(0, "b", 1, 4, 0, false);
        watchServer.startTerm(10, TERM);
        outcome("a");
        for (int now = 100; now < 15_000; now += 500) {
            List<Registration> unknown = registry.size() < 2 ? List.of(registration("b")) : List.of();
            asks(now, "a", now, 4, registry.stamp(), false, List.of(), unknown);
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
    void whoHasLeftIsToldNothing() {
        outcome("a");
        watchServer.removeSubscriber("a");
        watchServer.configurationChanged(6, BODY, List.of());
        none(1_000);
        assertEquals(0, watchServer.subscribers().size());
    }

    @Test
    void anotherLeaderTellsTheWholeRollAnew() {
        outcome("a");
        long known = registry.stamp();
        watchServer.startTerm(100, TERM + 1);
        none(1_000);
        asks(1_000, "a", 3, 4, known, false);
        Update update = only(1_000);
        assertEquals(TERM + 1, update.term());
        assertTrue(update.full());
        assertFalse(update.complete());
    }
}

package sablehinge.penstock;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sablehinge.cistern.Intake;
import sablehinge.cistern.Roll;
import sablehinge.gauge.Accusation;
import sablehinge.gauge.Evidence;
import sablehinge.gauge.Health;
import sablehinge.gauge.Panel;

/** When asks for news are answered, and with what; the time is the test's. */
class DeskTest {

    private static final long TERM = 5;
    private static final byte[] BODY = {1, 2, 3};
    private final Roll roll = new Roll(2_500, 10_000);
    private final Desk<String> desk = new Desk<>(roll);

    DeskTest() {
        desk.begin(0, TERM);
        desk.holds(4, BODY, List.of("127.0.0.1:7000"));
    }

    private static Intake intake(String node) {
        return new Intake(node, "monza-a", "127.0.0.1:7001", "huvo11a", "i-" + node, true, 4, 0);
    }

    private void asks(double now, String node, int number, long edition, long stamp, boolean confirm) {
        asks(now, node, number, edition, stamp, confirm, List.of(), List.of());
    }

    private void asks(double now, String node, int number, long edition, long stamp, boolean confirm,
            List<Accusation> accusations, List<Intake> vouched) {
        desk.asked(now, node, new Ask(number, intake(node), edition, stamp == 0 ? 0 : TERM, stamp, confirm,
                accusations, vouched));
    }

    private News only(double now) {
        List<Desk.Told<String>> due = desk.due(now);
        assertEquals(1, due.size());
        return due.get(0).news();
    }

    private void none(double now) {
        assertEquals(List.of(), desk.due(now));
    }

    /** One that knows all there is. */
    private void settled(String node) {
        asks(0, node, 1, 0, 0, false);
        News first = only(0);
        assertEquals(4, first.edition());
        assertArrayEquals(BODY, first.body());
        assertTrue(first.whole());
        assertEquals(TERM, first.term());
        asks(0, node, 2, 4, first.stamp(), false);
    }

    @Test
    void whoKnowsNothingIsToldAllAtOnce() {
        settled("a");
    }

    @Test
    void anAskWithoutNewsIsHeldForAWhileAndAnsweredOnce() {
        settled("a");
        none(0);
        none(399);
        News news = only(400);
        assertEquals(2, news.number());
        assertEquals(0, news.body().length);
        assertFalse(news.whole());
        assertEquals(List.of(), news.intakes());
        none(500);
    }

    @Test
    void aNewEditionIsToldAtOnceToWhoIsHeld() {
        settled("a");
        none(10);
        desk.holds(6, new byte[] {9}, List.of());
        News news = only(11);
        assertEquals(6, news.edition());
        assertArrayEquals(new byte[] {9}, news.body());
    }

    @Test
    void whoHasComeIsToldAtOnceToWhoIsHeldAndNothingElse() {
        settled("a");
        none(10);
        asks(20, "b", 1, 4, roll.stamp(), false);
        News news = desk.due(20).stream().filter(told -> told.to().equals("a")).findFirst().orElseThrow()
                .news();
        assertEquals(List.of(intake("b")), news.intakes());
        assertFalse(news.whole());
    }

    @Test
    void aConfirmationWaitsForItsBarrierHoweverLongThatTakesAndWhateverElseIsNew() {
        settled("a");
        asks(10, "a", 3, 4, roll.stamp(), true);
        none(10);
        none(5_000 - 1);
        desk.holds(6, BODY, List.of());
        none(5_000);
        desk.confirmed("a", 2);
        none(5_001);
        desk.confirmed("a", 3);
        News news = only(5_002);
        assertTrue(news.confirmed());
        assertEquals(6, news.edition());
    }

    @Test
    void theConfirmationOfOneAskIsNotThatOfTheNext() {
        settled("a");
        asks(10, "a", 3, 4, roll.stamp(), true);
        desk.confirmed("a", 3);
        assertTrue(only(10).confirmed());
        asks(11, "a", 4, 4, roll.stamp(), false);
        assertFalse(only(411).confirmed());
    }

    @Test
    void theWholeRollIsToldOnceMoreWhenItIsComplete() {
        settled("a");
        assertFalse(only(400).complete());
        asks(2_400, "a", 3, 4, roll.stamp(), false);
        none(2_499);
        News whole = only(2_500);
        assertTrue(whole.whole());
        assertTrue(whole.complete());
        assertEquals(List.of(intake("a")), whole.intakes());
        asks(2_500, "a", 4, 4, roll.stamp(), false);
        none(2_600);
        assertFalse(only(2_900).whole());
    }

    private News told(double now, String node) {
        return desk.due(now).stream().filter(told -> told.to().equals(node)).findFirst().orElseThrow().news();
    }

    @Test
    void whoIsAccusedAndSilentIsToldAsNotReadyAndAsItWasOnceItAsks() {
        settled("a");
        asks(0, "b", 1, 4, roll.stamp(), false);
        asks(1_000, "a", 3, 4, roll.stamp(), false, List.of(new Accusation("b", Evidence.RESET)), List.of());
        Intake off = told(1_000, "a").intakes().get(0);
        assertEquals("i-b", off.upstream());
        assertFalse(off.ready());
        assertEquals(Health.DEAD, desk.rulings().get(0).health());
        asks(1_010, "a", 4, 4, roll.stamp(), false);
        asks(1_020, "b", 2, 4, roll.stamp(), false);
        assertEquals(List.of(intake("b")), told(1_020, "a").intakes());
    }

    @Test
    void whoIsCutFromTheCoreStaysHoweverLongAndAnotherLeaderHearsOfItFromThoseWhoHearIt() {
        asks(0, "b", 1, 4, 0, false);
        desk.begin(10, TERM);
        settled("a");
        for (int now = 100; now < 15_000; now += 500) {
            List<Intake> unknown = roll.size() < 2 ? List.of(intake("b")) : List.of();
            asks(now, "a", now, 4, roll.stamp(), false, List.of(), unknown);
            desk.due(now);
        }
        assertEquals(List.of(intake("a"), intake("b")), roll.since(0));
        assertEquals(List.of(Health.CUT_FROM_CORE),
                desk.rulings().stream().map(Panel.Ruling::health).toList());
    }

    @Test
    void whoHasLeftIsToldNothing() {
        settled("a");
        desk.gone("a");
        desk.holds(6, BODY, List.of());
        none(1_000);
        assertEquals(0, desk.askers().size());
    }

    @Test
    void anotherLeaderTellsTheWholeRollAnew() {
        settled("a");
        long known = roll.stamp();
        desk.begin(100, TERM + 1);
        none(1_000);
        asks(1_000, "a", 3, 4, known, false);
        News news = only(1_000);
        assertEquals(TERM + 1, news.term());
        assertTrue(news.whole());
        assertFalse(news.complete());
    }
}

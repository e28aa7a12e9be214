package sablehinge.cistern;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What is known of who is there, and what is news. */
class RollTest {

    private final Roll roll = new Roll(2_500, 1_000);

    RollTest() {
        roll.begin(0);
    }

    private static Intake intake(String node, String upstream, boolean ready, int coldMs) {
        return new Intake(node, "monza-a", "127.0.0.1:80", "huvo11a", upstream, ready, 4, coldMs);
    }

    private static List<String> lives(List<Intake> intakes) {
        return intakes.stream().map(Intake::upstream).toList();
    }

    @Test
    void whoKnowsAllUpToAStampIsToldWhatCameAfterInItsOrder() {
        assertTrue(roll.told(0, intake("a", "i-1", true, 0)));
        assertTrue(roll.told(0, intake("b", "i-2", true, 0)));
        assertTrue(roll.told(0, intake("c", "i-3", true, 0)));
        assertEquals(3, roll.stamp());
        assertTrue(roll.told(1, intake("a", "i-1", false, 0)));
        assertEquals(List.of("i-3", "i-1"), lives(roll.since(2)));
        assertEquals(List.of(), roll.since(roll.stamp()));
        assertEquals(List.of("i-2", "i-3", "i-1"), lives(roll.since(0)));
    }

    @Test
    void toBeToldTheSameOrOnlyToWarmUpIsNoNews() {
        roll.told(0, intake("a", "i-1", true, 900));
        assertFalse(roll.told(1, intake("a", "i-1", true, 900)));
        assertFalse(roll.told(2, intake("a", "i-1", true, 100)));
        assertEquals(1, roll.stamp());
    }

    @Test
    void whoSaysNothingForLongHasNoUpstreamAndThatIsNews() {
        roll.told(0, intake("a", "i-1", true, 0));
        roll.told(0, intake("b", "i-2", true, 0));
        roll.told(600, intake("b", "i-2", true, 0));
        assertFalse(roll.expire(1_000));
        assertTrue(roll.expire(1_001));
        assertFalse(roll.expire(1_002));
        assertEquals(3, roll.stamp());
        assertEquals(List.of(intake("a", "", false, 0).node()),
                roll.since(2).stream().map(Intake::node).toList());
        assertEquals("", roll.since(2).get(0).upstream());
        assertFalse(roll.since(2).get(0).ready());
        assertEquals(1, roll.size());
        assertTrue(roll.told(1_100, intake("a", "i-1", true, 0)));
        assertEquals(2, roll.size());
    }

    @Test
    void whoIsLongGoneIsForgotten() {
        roll.told(0, intake("a", "i-1", true, 0));
        roll.expire(1_001);
        roll.expire(4_001);
        assertEquals(List.of(), roll.since(0));
    }

    @Test
    void itIsCompleteOnceAllWhoLiveHadTheTimeToTellAndIncompleteAgainWhenKeptAnew() {
        assertFalse(roll.isComplete(2_499));
        assertTrue(roll.isComplete(2_500));
        roll.told(2_500, intake("a", "i-1", true, 0));
        roll.begin(3_000);
        assertFalse(roll.isComplete(3_001));
        assertEquals(0, roll.stamp());
        assertEquals(List.of(), roll.since(0));
        assertFalse(new Roll(0, 0).isComplete(1e9));
    }
}

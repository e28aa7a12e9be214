package sablehinge.dataplane.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What is given up under pressure, in virtual time. */
class LoadShedderTest {

    /** Presses until about the given share of the work is to go. */
    private static LoadShedder pressed(double floor, double share, double pressure) {
        LoadShedder shedder = new LoadShedder(new LoadShedder.Settings(floor, share), 7);
        shedder.recordLoad(0, false);
        for (double now = 10; shedder.pressure() < pressure; now += 10) {
            shedder.recordLoad(now, true);
        }
        return shedder;
    }

    @Test
    void withoutPressureAllIsLetIn() {
        LoadShedder shedder = new LoadShedder(new LoadShedder.Settings(0, 1), 7);
        for (int i = 0; i < 1_000; i++) {
            assertTrue(shedder.admits(i, "a", i % 3, 1));
        }
    }

    @Test
    void theLeastWorthPerWorkGoesFirstAndDoesNotStarve() {
        LoadShedder shedder = pressed(0.1, 1, 0.5);
        Map<String, Integer> in = new HashMap<>();
        int each = 4_000;
        for (int i = 0; i < each; i++) {
            // Of equal work the cheap, the dear, and one that is dear but costs as much more.
            in.merge("cheap", shedder.admits(i, "a", 1, 1) ? 1 : 0, Integer::sum);
            in.merge("dear", shedder.admits(i, "b", 8, 1) ? 1 : 0, Integer::sum);
            in.merge("heavy", shedder.admits(i, "c", 6, 12) ? 1 : 0, Integer::sum);
        }
        assertEquals(each, in.get("dear"));
        // 1 for 1 of work, against 0.5; the first one of all has nothing to be ranked with.
        assertTrue(in.get("cheap") >= each - 2, in::toString);
        // Half of the work goes, all of it here; a tenth of what goes is let in all the same.
        double expected = 1 - 0.5 * 14 / 12 * 0.9;
        assertEquals(expected, in.get("heavy") / (double) each, 0.05);
    }

    @Test
    void theFloorHoldsUnderAnyPressure() {
        LoadShedder shedder = pressed(0.2, 1, 0.9);
        int cheap = 0;
        for (int i = 0; i < 5_000; i++) {
            cheap += shedder.admits(i, "a", 1, 1) ? 1 : 0;
            shedder.admits(i, "b", 8, 9 - 8);
            shedder.admits(i, "b", 8, 1);
        }
        assertEquals(0.2, cheap / 5_000.0, 0.03);
    }

    /** Whoever claims a hundred times the value gains nothing over its share. */
    @Test
    void aClaimOfTooMuchWorthGainsNothing() {
        SplittableRandom random = new SplittableRandom(3);
        int each = 6_000;
        double[] in = new double[2];
        for (int lies = 0; lies < 2; lies++) {
            LoadShedder shedder = pressed(0, 0.25, 0.5);
            for (int i = 0; i < each; i++) {
                // One of four equal callers, with worths from 1 to 9.
                for (int caller = 0; caller < 4; caller++) {
                    double value = 1 + 8 * random.nextDouble();
                    boolean admitted =
                            shedder.admits(i, "c" + caller, caller == 0 && lies == 1 ? 100 * value : value, 1);
                    in[lies] += caller == 0 && admitted ? 1 : 0;
                }
            }
        }
        assertEquals(0.5, in[0] / each, 0.04);
        assertTrue(in[1] <= in[0] + 0.04 * each, in[0] + " when honest, " + in[1] + " when not");
    }
}

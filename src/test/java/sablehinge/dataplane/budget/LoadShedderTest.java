package sablehinge.dataplane.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests load shedding in virtual time. */
class LoadShedderTest {

    /** Creates a load shedder under at least the given pressure. */
    private static LoadShedder underPressure(double floor, double share, double pressure) {
        LoadShedder shedder = new LoadShedder(new LoadShedder.Settings(floor, share), 7);
        shedder.recordLoad(0, false);
        for (double now = 10; shedder.pressure() < pressure; now += 10) {
            shedder.recordLoad(now, true);
        }
        return shedder;
    }

    @Test
    void admitsAllCallsWithoutPressure() {
        LoadShedder shedder = new LoadShedder(new LoadShedder.Settings(0, 1), 7);
        for (int i = 0; i < 1_000; i++) {
            assertTrue(shedder.admits(i, "a", i % 3, 1));
        }
    }

    @Test
    void shedsTheLowestValuePerCostFirstWithoutStarvingIt() {
        LoadShedder shedder = underPressure(0.1, 1, 0.5);
        Map<String, Integer> admittedCount = new HashMap<>();
        int callsPerClass = 4_000;
        for (int i = 0; i < callsPerClass; i++) {
            // Low and high value at equal cost, and high value at an even higher cost.
            admittedCount.merge("cheap", shedder.admits(i, "a", 1, 1) ? 1 : 0, Integer::sum);
            admittedCount.merge("dear", shedder.admits(i, "b", 8, 1) ? 1 : 0, Integer::sum);
            admittedCount.merge("heavy", shedder.admits(i, "c", 6, 12) ? 1 : 0, Integer::sum);
        }
        assertEquals(callsPerClass, admittedCount.get("dear"));
        // Value per cost is 1 against 0.5; the first call has no others to be ranked with.
        assertTrue(admittedCount.get("cheap") >= callsPerClass - 2, admittedCount::toString);
        // Half of the work is shed, all of it from this class; a tenth of the shed calls is admitted anyway.
        double expected = 1 - 0.5 * 14 / 12 * 0.9;
        assertEquals(expected, admittedCount.get("heavy") / (double) callsPerClass, 0.05);
    }

    @Test
    void admitsTheFloorShareUnderAnyPressure() {
        LoadShedder shedder = underPressure(0.2, 1, 0.9);
        int cheap = 0;
        for (int i = 0; i < 5_000; i++) {
            cheap += shedder.admits(i, "a", 1, 1) ? 1 : 0;
            shedder.admits(i, "b", 8, 9 - 8);
            shedder.admits(i, "b", 8, 1);
        }
        assertEquals(0.2, cheap / 5_000.0, 0.03);
    }

    /** A caller that claims a hundred times the value gains nothing above its share. */
    @Test
    void exaggeratedValuesGainNothing() {
        SplittableRandom random = new SplittableRandom(3);
        int callsPerClass = 6_000;
        double[] admittedCount = new double[2];
        for (int exaggerates = 0; exaggerates < 2; exaggerates++) {
            LoadShedder shedder = underPressure(0, 0.25, 0.5);
            for (int i = 0; i < callsPerClass; i++) {
                // Four equal callers with values from 1 to 9.
                for (int caller = 0; caller < 4; caller++) {
                    double value = 1 + 8 * random.nextDouble();
                    boolean admitted =
                            shedder.admits(i, "c" + caller, caller == 0 && exaggerates == 1 ? 100 * value : value, 1);
                    admittedCount[exaggerates] += caller == 0 && admitted ? 1 : 0;
                }
            }
        }
        assertEquals(0.5, admittedCount[0] / callsPerClass, 0.04);
        assertTrue(
                admittedCount[1] <= admittedCount[0] + 0.04 * callsPerClass,
                admittedCount[0] + " when honest, " + admittedCount[1] + " when not");
    }
}

package sablehinge.tools.standin.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.function.IntPredicate;
import org.junit.jupiter.api.Test;

/** Tests from when on a mesh counts as recovered, with 20 requests per second. */
class PulseTest {

    private static double well(int count, IntPredicate served, double whileMs) {
        double[] sentAt = new double[count];
        boolean[] good = new boolean[count];
        for (int i = 0; i < count; i++) {
            sentAt[i] = 50 * i;
            good[i] = served.test(i);
        }
        return Pulse.well(sentAt, good, 50 * count, whileMs);
    }

    @Test
    void toleratesOneFailureInTwentyRequests() {
        assertEquals(0, well(60, i -> i != 7, 2_000));
        // Seconds that begin up to request 7 miss two.
        assertEquals(400, well(80, i -> i != 7 && i != 8, 2_000));
    }

    @Test
    void laterFailedSecondRestartsRecovery() {
        assertEquals(500, well(100, i -> i >= 10 && i != 11, 2_000));
        assertEquals(2_050, well(120, i -> i < 40 || i > 41, 2_000));
    }

    @Test
    void notRecoveredBeforeRequiredDuration() {
        assertEquals(Double.NaN, well(59, i -> true, 2_000));
        assertEquals(0, well(60, i -> true, 2_000));
        assertEquals(Double.NaN, well(100, i -> i < 60, 2_000));
        assertEquals(Double.NaN, well(0, i -> true, 0));
    }
}

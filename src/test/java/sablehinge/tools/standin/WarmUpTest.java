package sablehinge.tools.standin;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import sablehinge.tools.audit.judge.Evidence;

/** Records of a fleet's warm-up requests are not part of the evidence. */
class WarmUpTest {

    /** Under load a warm-up request ran after recording had started, and the audit reported an unknown request. */
    @Test
    void recognizesLateRequestsOfTheWarmUp() {
        assertTrue(Fleet.isFromWarmUp(ran("warm-up-45463-19")));
        assertFalse(Fleet.isFromWarmUp(ran("9b1f03aa5c7e2d41")));
    }

    private static Evidence ran(String id) {
        return new Evidence.ServerAttempt(0, "s1", "a", 0, "b1", id, "", "look", "", 0, 0, Evidence.How.CUT);
    }
}

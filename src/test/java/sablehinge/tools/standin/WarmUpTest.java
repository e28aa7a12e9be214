package sablehinge.tools.standin;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import sablehinge.tools.audit.judge.Evidence;

/** What belongs to a fleet's warm-up is not for the record. */
class WarmUpTest {

    /** Beside load one ran so late that it stood in the record, and the audit found requests that nobody had sent. */
    @Test
    void whenARequestOfTheWarmUpRunsLateThenItIsNotForTheRecord() {
        assertTrue(Fleet.isOfWarmUp(ran("warm-up-45463-19")));
        assertFalse(Fleet.isOfWarmUp(ran("9b1f03aa5c7e2d41")));
    }

    private static Evidence ran(String id) {
        return new Evidence.ServerAttempt(0, "s1", "a", 0, "b1", id, "", "look", "", 0, 0, Evidence.How.CUT);
    }
}

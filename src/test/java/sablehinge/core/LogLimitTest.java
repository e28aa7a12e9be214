package sablehinge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

/** A log that misbehaving peers can't fill. */
class LogLimitTest {

    @Test
    void whatIsTooMuchIsDroppedAndCounted() {
        double[] now = {0};
        LogLimit limit = new LogLimit(() -> now[0]);
        for (int i = 0; i < 10; i++) {
            assertTrue(limit.isLoggable(new LogRecord(Level.INFO, "a")));
        }
        for (int i = 0; i < 7; i++) {
            assertFalse(limit.isLoggable(new LogRecord(Level.INFO, "b")));
        }
        now[0] = 5_000;
        LogRecord next = new LogRecord(Level.INFO, "c");
        assertTrue(limit.isLoggable(next));
        assertEquals("c (7 lines before this one were dropped)", next.getMessage());
    }
}

package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sablehinge.dataplane.proxy.ShutdownDeadlines;

/** The stages of a shutdown and their times. */
class GracefulShutdownTest {

    private static final double NOW = 10_000;
    private static final double GRACE_MS = 6_000;

    @ParameterizedTest
    @CsvSource({"6000, 2300, 3850, 5400", "2000, 630, 1015, 1400", "600, 0, 0, 0", "100, 0, 0, 0"})
    void whenAProcessIsToldToEndThenEachStageHasItsTime(double graceMs, double admit, double start, double answer) {
        ShutdownDeadlines deadlines = GracefulShutdown.deadlines(NOW, graceMs);
        assertEquals(NOW + admit, deadlines.admitUntil(), 1e-6);
        assertEquals(NOW + start, deadlines.startUntil(), 1e-6);
        assertEquals(NOW + answer, deadlines.answerUntil(), 1e-6);
    }

    @Test
    void whenARequestBeganToComeInTimeThenItIsTakenWhileThereIsTimeForIt() {
        ShutdownDeadlines deadlines = new ShutdownDeadlines(10, 20, 30);
        assertTrue(deadlines.admits(10, 19));
        assertFalse(deadlines.admits(10, 20));
        assertFalse(deadlines.admits(11, 12));
        assertTrue(deadlines.admittingWhatCameBy(11).admits(11, 12));
        assertFalse(deadlines.admittingWhatCameBy(21).admits(21, 21));
    }

    @Test
    void whenTimeIsUpThenWhatIsLeftIsGivenUpAfterEveryOtherStage() throws Exception {
        List<String> done = new ArrayList<>();
        double[] now = {NOW};
        ShutdownDeadlines[] times = new ShutdownDeadlines[1];
        GracefulShutdown.run(() -> now[0], GRACE_MS, GRACE_MS, new GracefulShutdown.Stages() {
            @Override
            public void reportNotReady(ShutdownDeadlines deadlines) {
                times[0] = deadlines;
                done.add("not ready");
            }

            @Override
            public void withdrawUpstream() {
                done.add("withdrawn");
            }

            @Override
            public void stopAdmitting(ShutdownDeadlines deadlines) {
                done.add("admits nothing");
            }

            @Override
            public boolean isDrained() {
                done.add("drained");
                return true;
            }

            @Override
            public int giveUpAll() {
                done.add("given up");
                return 1;
            }

            @Override
            public int lateRequests() {
                return 0;
            }

            @Override
            public double lastAttemptAt() {
                return Double.NaN;
            }
        });
        // It was told to end while it started: its times count from then.
        assertEquals(GracefulShutdown.deadlines(NOW - GRACE_MS, GRACE_MS), times[0]);
        assertEquals(List.of("not ready", "withdrawn", "admits nothing", "given up", "drained"), done);
    }
}

package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sablehinge.dataplane.proxy.ShutdownDeadlines;

/** The stages of a shutdown and their times. */
@Timeout(60)
class GracefulShutdownTest {

    private static final double NOW = 10_000;
    private static final double GRACE_MS = 6_000;
    private static final double LOOK_MS = 40;

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
        assertTrue(deadlines.withAdmissionExtendedTo(11).admits(11, 12));
        assertFalse(deadlines.withAdmissionExtendedTo(21).admits(21, 21));
    }

    /** A process that was paused, or had no share of its core, stops to admit late: not for all who came meanwhile. */
    @ParameterizedTest
    @CsvSource({"6000, 2800", "10000, 2800", "2000, 758"})
    void whenAFrontStopsToAdmitFarTooLateThenWhatCameLastIsNotTaken(double graceMs, double latest) {
        ShutdownDeadlines deadlines = GracefulShutdown.deadlines(NOW, graceMs);
        double stoppedAt = deadlines.startUntil() - 1;
        ShutdownDeadlines late = deadlines.withAdmissionExtendedTo(stoppedAt);
        assertTrue(late.admits(NOW + latest, stoppedAt));
        assertFalse(late.admits(NOW + latest + 1, stoppedAt));
    }

    @Test
    void whenTimeIsUpThenWhatIsLeftIsGivenUpAfterEveryOtherStage() throws Exception {
        Shutdown shutdown = new Shutdown();
        shutdown.unwrittenChecks = 2;
        shutdown.run();
        // It was told to end while it started: its times count from then.
        assertEquals(GracefulShutdown.deadlines(NOW - GRACE_MS, GRACE_MS), shutdown.deadlines);
        assertEquals(
                List.of(
                        "not ready",
                        "withdrawn",
                        "admits nothing",
                        "drained?",
                        "given up",
                        "written out?",
                        "written out?",
                        "written out?"),
                shutdown.done);
    }

    /** The soak found it: 200 ms of waiting for callers to close took a process beyond its grace. */
    @Test
    void whenEveryAnswerIsWrittenOutThenItEndsAtOnceThoughCallersAreThere() throws Exception {
        Shutdown shutdown = new Shutdown();
        shutdown.run();
        assertEquals(
                List.of("not ready", "withdrawn", "admits nothing", "drained?", "given up", "written out?"),
                shutdown.done);
    }

    /** The soak found it beside load: a process that had no core saw its signal 1.3 s late. */
    @Test
    void whenTheProcessStoodStillThenItsTimesCountFromAsMuchEarlier() throws Exception {
        Shutdown shutdown = new Shutdown();
        shutdown.pausedMs = 1_300;
        shutdown.run();
        assertEquals(GracefulShutdown.deadlines(NOW - GRACE_MS - 1_300, GRACE_MS), shutdown.deadlines);
    }

    /** Stages that note what is done, of a process whose grace is over and whose callers don't leave. */
    private static final class Shutdown implements GracefulShutdown.Stages {
        final List<String> done = new ArrayList<>();
        ShutdownDeadlines deadlines;
        /** How often an answer is still to be written out. */
        int unwrittenChecks;

        double pausedMs;

        /** Each look at the clock takes a while, so that no wait is without end. */
        private double now = NOW;

        void run() throws InterruptedException {
            GracefulShutdown.run(this::passingTime, GRACE_MS, GRACE_MS, this);
        }

        private double passingTime() {
            double at = now;
            now += LOOK_MS;
            return at;
        }

        @Override
        public double pausedMs() {
            return pausedMs;
        }

        @Override
        public void reportNotReady(ShutdownDeadlines times) {
            deadlines = times;
            done.add("not ready");
        }

        @Override
        public void withdrawUpstream() {
            done.add("withdrawn");
        }

        @Override
        public void stopAdmitting(ShutdownDeadlines times) {
            done.add("admits nothing");
        }

        @Override
        public boolean isDrained() {
            done.add("drained?");
            return false;
        }

        @Override
        public int abortAll() {
            done.add("given up");
            return 1;
        }

        @Override
        public boolean isWrittenOut() {
            done.add("written out?");
            return unwrittenChecks-- <= 0;
        }

        @Override
        public int lateRequests() {
            return 0;
        }

        @Override
        public double lastAttemptAt() {
            return Double.NaN;
        }
    }
}

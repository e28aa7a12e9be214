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

/** The stages of a graceful shutdown and their deadlines. */
@Timeout(60)
class GracefulShutdownTest {

    private static final double NOW = 10_000;
    private static final double GRACE_MS = 6_000;
    private static final double CLOCK_STEP_MS = 40;

    @ParameterizedTest
    @CsvSource({"6000, 2300, 3850, 5400", "2000, 630, 1015, 1400", "600, 0, 0, 0", "100, 0, 0, 0"})
    void derivesStageDeadlinesFromGracePeriod(double graceMs, double admit, double start, double answer) {
        ShutdownDeadlines deadlines = GracefulShutdown.deadlines(NOW, graceMs);
        assertEquals(NOW + admit, deadlines.admitUntil(), 1e-6);
        assertEquals(NOW + start, deadlines.startUntil(), 1e-6);
        assertEquals(NOW + answer, deadlines.answerUntil(), 1e-6);
    }

    @Test
    void admitsRequestByFirstByteTimeWhileTimeRemains() {
        ShutdownDeadlines deadlines = new ShutdownDeadlines(10, 20, 30);
        assertTrue(deadlines.admits(10, 19));
        assertFalse(deadlines.admits(10, 20));
        assertFalse(deadlines.admits(11, 12));
        assertTrue(deadlines.withAdmissionExtendedTo(11).admits(11, 12));
        assertFalse(deadlines.withAdmissionExtendedTo(21).admits(21, 21));
    }

    /**
     * A process that was paused or got no CPU time stops admission late, but must not admit all requests that arrived
     * meanwhile.
     */
    @ParameterizedTest
    @CsvSource({"6000, 2800", "10000, 2800", "2000, 758"})
    void limitsAdmissionExtensionWhenFrontEndStopsLate(double graceMs, double latest) {
        ShutdownDeadlines deadlines = GracefulShutdown.deadlines(NOW, graceMs);
        double stoppedAt = deadlines.startUntil() - 1;
        ShutdownDeadlines late = deadlines.withAdmissionExtendedTo(stoppedAt);
        assertTrue(late.admits(NOW + latest, stoppedAt));
        assertFalse(late.admits(NOW + latest + 1, stoppedAt));
    }

    @Test
    void abortsOpenRequestsAfterAllOtherStages() throws Exception {
        RecordedStages shutdown = new RecordedStages();
        shutdown.unwrittenChecks = 2;
        shutdown.run();
        // The signal arrived during the start: the deadlines count from then.
        assertEquals(GracefulShutdown.deadlines(NOW - GRACE_MS, GRACE_MS), shutdown.deadlines);
        assertEquals(
                List.of(
                        "not ready",
                        "withdrawn",
                        "admission stopped",
                        "drained?",
                        "abort",
                        "written?",
                        "written?",
                        "written?"),
                shutdown.done);
    }

    /** Waiting 200 ms for clients to close exceeded the grace period of a process (found by a soak run). */
    @Test
    void finishesOnceAllAnswersAreWrittenDespiteOpenConnections() throws Exception {
        RecordedStages shutdown = new RecordedStages();
        shutdown.run();
        assertEquals(
                List.of("not ready", "withdrawn", "admission stopped", "drained?", "abort", "written?"), shutdown.done);
    }

    /** A process that got no CPU time under load saw its signal 1.3 s late (found by a soak run). */
    @Test
    void countsDeadlinesFromBeforePause() throws Exception {
        RecordedStages shutdown = new RecordedStages();
        shutdown.pausedMs = 1_300;
        shutdown.run();
        assertEquals(GracefulShutdown.deadlines(NOW - GRACE_MS - 1_300, GRACE_MS), shutdown.deadlines);
    }

    /** Records the stages of a process whose grace period is over and whose clients stay connected. */
    private static final class RecordedStages implements GracefulShutdown.Stages {
        final List<String> done = new ArrayList<>();
        ShutdownDeadlines deadlines;
        /** How many checks find an answer that is not written completely. */
        int unwrittenChecks;

        double pausedMs;

        /** Each reading of the clock advances it, so that no wait is endless. */
        private double now = NOW;

        void run() throws InterruptedException {
            GracefulShutdown.run(this::advancingTime, GRACE_MS, GRACE_MS, this);
        }

        private double advancingTime() {
            double at = now;
            now += CLOCK_STEP_MS;
            return at;
        }

        @Override
        public double pausedMs() {
            return pausedMs;
        }

        @Override
        public void reportNotReady(ShutdownDeadlines newDeadlines) {
            deadlines = newDeadlines;
            done.add("not ready");
        }

        @Override
        public void withdrawUpstream() {
            done.add("withdrawn");
        }

        @Override
        public void stopAdmitting(ShutdownDeadlines times) {
            done.add("admission stopped");
        }

        @Override
        public boolean isDrained() {
            done.add("drained?");
            return false;
        }

        @Override
        public int abortAll() {
            done.add("abort");
            return 1;
        }

        @Override
        public boolean isWrittenOut() {
            done.add("written?");
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

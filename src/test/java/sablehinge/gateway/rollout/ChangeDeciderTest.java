package sablehinge.gateway.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import sablehinge.gateway.rollout.ChangeDecider.Phase;
import sablehinge.gateway.rollout.ChangeDecider.Reply;
import sablehinge.gateway.rollout.ChangeDecider.TrialTerms;
import sablehinge.gateway.rollout.OutcomeCounts.Outcome;

/** Tests the actions of the decider in virtual time. */
class ChangeDeciderTest {

    private static final TrialTerms TERMS = new TrialTerms(30_000, 5_000, 0.1, 0.3, 100, false);

    private final ActionLog log = new ActionLog();
    private final ChangeDecider decider = new ChangeDecider(1, log);
    private double nowMs = 1_000_000;

    /** Records the actions. */
    private static final class ActionLog implements ChangeDecider.Actions {
        final List<String> requested = new ArrayList<>();

        @Override
        public void mark(int version) {
            requested.add("mark " + version);
        }

        @Override
        public void prepare(int version) {
            requested.add("prepare " + version);
        }

        @Override
        public void writeConfirmed(int version) {
            requested.add("write " + version);
        }

        @Override
        public void begin(int version) {
            requested.add("begin " + version);
        }

        @Override
        public void undo(int version, int restored, String reason) {
            requested.add("undo " + version + " to " + restored + ": " + reason);
        }

        @Override
        public void releasePrevious(int version, int previous) {
            requested.add("keep " + version + " over " + previous);
        }

        String last() {
            return requested.get(requested.size() - 1);
        }
    }

    private void startTrial(int version, TrialTerms terms) {
        decider.staged(version, decider.confirmed());
        assertTrue(decider.apply(nowMs, version, terms).accepted());
        decider.marked(nowMs, version, null);
        decider.prepared(nowMs, version, null);
        assertEquals(Phase.TRIAL, decider.phase());
    }

    /** Sends 100 responses per second under a version for the given time, with regular ticks. */
    private void sendResponses(int version, double seconds, double failed, double refused, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < seconds * 100; i++) {
            nowMs += 10;
            double draw = random.nextDouble();
            decider.responseSent(
                    nowMs,
                    version,
                    draw < failed ? Outcome.FAILED : draw < failed + refused ? Outcome.REFUSED : Outcome.SERVED);
            if (i % 5 == 0) {
                decider.tick(nowMs);
            }
        }
    }

    @Test
    void marksPreparesTriesAndConfirmsChange() {
        startTrial(2, TERMS);
        assertTrue(decider.confirm(nowMs, 0).accepted());
        decider.confirmationWritten(nowMs, 2, null);
        assertEquals(List.of("mark 2", "prepare 2", "begin 2", "write 2", "keep 2 over 1"), log.requested);
        assertEquals(2, decider.confirmed());
        assertEquals(Phase.NONE, decider.phase());
    }

    @Test
    void rollsBackUnconfirmedChangeExactlyAtDeadline() {
        startTrial(2, TERMS);
        decider.tick(nowMs + 29_999);
        assertEquals("begin 2", log.last());
        decider.tick(nowMs + 30_000);
        assertEquals("undo 2 to 1: nobody confirmed it within 30000 ms", log.last());
        assertEquals(
                "no version is on trial; version 2 was undone: nobody confirmed it within 30000 ms",
                decider.confirm(nowMs, 0).message());
    }

    @Test
    void confirmsAutomaticChangeAtEndOfTrial() {
        startTrial(2, new TrialTerms(30_000, 5_000, 0.1, 0.3, 100, true));
        decider.tick(nowMs + 30_000);
        assertEquals("write 2", log.last());
    }

    @Test
    void rollsBackChangeWhenWriteOrPreparationFails() {
        decider.staged(2, 1);
        decider.apply(nowMs, 2, TERMS);
        decider.marked(nowMs, 2, "disk full");
        assertEquals("undo 2 to 1: the trial could not be written down: disk full", log.last());
        decider.staged(3, 1);
        decider.apply(nowMs, 3, TERMS);
        decider.marked(nowMs, 3, null);
        decider.prepared(nowMs, 3, "cannot listen");
        assertEquals("undo 3 to 1: cannot listen", log.last());
        startTrial(4, TERMS);
        decider.confirm(nowMs, 4);
        decider.confirmationWritten(nowMs, 4, "disk full");
        assertEquals("undo 4 to 1: the confirmation could not be written down: disk full", log.last());
        assertEquals(1, decider.confirmed());
    }

    @Test
    void rollsBackChangeThatIsNotReadyInTime() {
        decider.staged(2, 1);
        decider.apply(nowMs, 2, TERMS);
        decider.marked(nowMs, 2, null);
        decider.tick(nowMs + 5_000);
        assertEquals("undo 2 to 1: it was not ready within 5000 ms", log.last());
        decider.prepared(nowMs + 5_001, 2, null);
        assertEquals(Phase.NONE, decider.phase(), "a completion after the rollback has no effect");
    }

    @Test
    void rejectsConcurrentChangeWithReason() {
        decider.staged(2, 1);
        decider.staged(3, 1);
        assertTrue(decider.apply(nowMs, 2, TERMS).accepted());
        assertEquals(new Reply(false, "version 2 is being prepared"), decider.apply(nowMs, 3, TERMS));
        decider.marked(nowMs, 2, null);
        decider.prepared(nowMs, 2, null);
        assertEquals(
                new Reply(false, "version 2 is on trial; confirm it or roll it back first"),
                decider.apply(nowMs, 3, TERMS));
        decider.confirm(nowMs, 2);
        decider.confirmationWritten(nowMs, 2, null);
        assertEquals(
                new Reply(false, "version 3 was staged over version 1, but version 2 is current"),
                decider.apply(nowMs, 3, TERMS));
        assertEquals(
                "it is based on version 1, but version 2 is current",
                decider.checkStaging(1).message());
    }

    @Test
    void boundsStagedVersionsAndDropsThoseWithOutdatedBase() {
        for (int i = 0; i < ChangeDecider.MAX_STAGED; i++) {
            assertTrue(decider.checkStaging(1).accepted());
            decider.staged(2 + i, 1);
        }
        assertFalse(decider.checkStaging(1).accepted());
        startTrialOfStaged(2);
        decider.confirm(nowMs, 2);
        decider.confirmationWritten(nowMs, 2, null);
        decider.staged(20, 2);
        assertEquals(ChangeDecider.MAX_STAGED, decider.stagedVersions().size());
        assertTrue(decider.checkStaging(2).accepted());
        assertEquals(java.util.Map.of(20, 2), decider.stagedVersions());
    }

    private void startTrialOfStaged(int version) {
        decider.apply(nowMs, version, TERMS);
        decider.marked(nowMs, version, null);
        decider.prepared(nowMs, version, null);
    }

    @Test
    void boundsHistoryOfFinishedChanges() {
        for (int i = 2; i < 300; i++) {
            startTrial(i, TERMS);
            decider.rollback(nowMs);
        }
        assertEquals(ChangeDecider.MAX_HISTORY, decider.history().size());
        assertEquals(299, decider.history().get(99).version());
    }

    @Test
    void rollsBackChangeWhenFailedShareRises() {
        sendResponses(1, 10, 0.02, 0, 1);
        startTrial(2, TERMS);
        sendResponses(2, 5, 0.3, 0, 2);
        assertTrue(log.last().startsWith("undo 2 to 1: failed answers rose from "), log.last());
    }

    @Test
    void rollsBackChangeWhenRefusedShareRises() {
        sendResponses(1, 10, 0, 0.05, 1);
        startTrial(2, TERMS);
        sendResponses(2, 5, 0, 0.6, 2);
        assertTrue(log.last().startsWith("undo 2 to 1: refused answers rose from "), log.last());
    }

    /** Shares that were as high before the change are not attributed to it. */
    @Test
    void continuesTrialWhenSharesWereAsHighBefore() {
        sendResponses(1, 30, 0.4, 0.2, 1);
        startTrial(2, TERMS);
        sendResponses(2, 25, 0.4, 0.2, 2);
        assertEquals("begin 2", log.last());
    }

    @Test
    void continuesTrialBelowMinimumCount() {
        sendResponses(1, 10, 0, 0, 1);
        startTrial(2, TERMS);
        for (int i = 0; i < 99; i++) {
            decider.responseSent(nowMs, 2, Outcome.FAILED);
            decider.tick(nowMs);
        }
        assertEquals("begin 2", log.last());
        for (int i = 0; i < ErrorRateGuard.REQUIRED_CHECKS; i++) {
            decider.responseSent(nowMs, 2, Outcome.FAILED);
            decider.tick(nowMs);
        }
        assertTrue(log.last().startsWith("undo 2"), log.last());
    }

    /** A share close to the bound must not cause a rollback by chance: the bound is 15 %, the share 12 %. */
    @Test
    void continuesTrialWithShareBelowBoundInHundredRuns() {
        int rolledBack = 0;
        for (long seed = 1; seed <= 100; seed++) {
            ChangeDeciderTest run = new ChangeDeciderTest();
            run.sendResponses(1, 20, 0.05, 0, seed);
            run.startTrial(2, TERMS);
            run.sendResponses(2, 25, 0.12, 0, seed + 1_000);
            rolledBack += run.decider.phase() == Phase.NONE ? 1 : 0;
        }
        assertEquals(0, rolledBack);
    }

    /** A fault late in the trial is detected as fast as an early one, as the share covers the last seconds only. */
    @Test
    void detectsFaultLateInLongTrial() {
        sendResponses(1, 20, 0, 0, 1);
        startTrial(2, new TrialTerms(600_000, 5_000, 0.1, 0.3, 100, false));
        sendResponses(2, 300, 0, 0, 2);
        sendResponses(2, 6, 0.5, 0, 3);
        assertTrue(log.last().startsWith("undo 2"), log.last());
    }

    @Test
    void ignoresResponsesOfPreviousVersionDuringTrial() {
        sendResponses(1, 10, 0, 0, 1);
        startTrial(2, TERMS);
        sendResponses(1, 5, 1, 0, 2);
        assertEquals("begin 2", log.last());
    }
}

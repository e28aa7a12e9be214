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
import sablehinge.gateway.rollout.ChangeDecider.Terms;
import sablehinge.gateway.rollout.OutcomeShares.Outcome;

/** What the decider asks for, in virtual time. */
class ChangeDeciderTest {

    private static final Terms TERMS = new Terms(30_000, 5_000, 0.1, 0.3, 100, false);

    private final Log log = new Log();
    private final ChangeDecider decider = new ChangeDecider(1, log);
    private double now = 1_000_000;

    /** Keeps what is requested. */
    private static final class Log implements ChangeDecider.Actions {
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
        public void undo(int version, int to, String reason) {
            requested.add("undo " + version + " to " + to + ": " + reason);
        }

        @Override
        public void keep(int version, int before) {
            requested.add("keep " + version + " over " + before);
        }

        String last() {
            return requested.get(requested.size() - 1);
        }
    }

    private void onTrial(int version, Terms terms) {
        decider.staged(version, decider.confirmed());
        assertTrue(decider.apply(now, version, terms).done());
        decider.marked(now, version, null);
        decider.prepared(now, version, null);
        assertEquals(Phase.TRIAL, decider.phase());
    }

    /** Answers at 100 a second under a version, and ticks, until the time is up. */
    private void answers(int version, double seconds, double failed, double refused, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < seconds * 100; i++) {
            now += 10;
            double point = random.nextDouble();
            decider.answered(
                    now,
                    version,
                    point < failed ? Outcome.FAILED : point < failed + refused ? Outcome.REFUSED : Outcome.SERVED);
            if (i % 5 == 0) {
                decider.tick(now);
            }
        }
    }

    @Test
    void aChangeIsMarkedPreparedTriedAndKept() {
        onTrial(2, TERMS);
        assertTrue(decider.confirm(now, 0).done());
        decider.written(now, 2, null);
        assertEquals(List.of("mark 2", "prepare 2", "begin 2", "write 2", "keep 2 over 1"), log.requested);
        assertEquals(2, decider.confirmed());
        assertEquals(Phase.NONE, decider.phase());
    }

    @Test
    void whatNobodyConfirmsIsUndoneInTimeAndNotBefore() {
        onTrial(2, TERMS);
        decider.tick(now + 29_999);
        assertEquals("begin 2", log.last());
        decider.tick(now + 30_000);
        assertEquals("undo 2 to 1: nobody confirmed it within 30000 ms", log.last());
        assertEquals(
                "no version is on trial; version 2 was undone: nobody confirmed it within 30000 ms",
                decider.confirm(now, 0).message());
    }

    @Test
    void anAutomaticChangeConfirmsItself() {
        onTrial(2, new Terms(30_000, 5_000, 0.1, 0.3, 100, true));
        decider.tick(now + 30_000);
        assertEquals("write 2", log.last());
    }

    @Test
    void whatCantBeWrittenOrPreparedIsUndone() {
        decider.staged(2, 1);
        decider.apply(now, 2, TERMS);
        decider.marked(now, 2, "disk full");
        assertEquals("undo 2 to 1: the trial could not be written down: disk full", log.last());
        decider.staged(3, 1);
        decider.apply(now, 3, TERMS);
        decider.marked(now, 3, null);
        decider.prepared(now, 3, "cannot listen");
        assertEquals("undo 3 to 1: cannot listen", log.last());
        onTrial(4, TERMS);
        decider.confirm(now, 4);
        decider.written(now, 4, "disk full");
        assertEquals("undo 4 to 1: the confirmation could not be written down: disk full", log.last());
        assertEquals(1, decider.confirmed());
    }

    @Test
    void whatIsNeverReadyIsUndone() {
        decider.staged(2, 1);
        decider.apply(now, 2, TERMS);
        decider.marked(now, 2, null);
        decider.tick(now + 5_000);
        assertEquals("undo 2 to 1: it was not ready within 5000 ms", log.last());
        decider.prepared(now + 5_001, 2, null);
        assertEquals(Phase.NONE, decider.phase(), "a late end moves nothing");
    }

    @Test
    void ofTwoAtOnceOneWinsAndTheOtherIsToldWhy() {
        decider.staged(2, 1);
        decider.staged(3, 1);
        assertTrue(decider.apply(now, 2, TERMS).done());
        assertEquals(new Reply(false, "version 2 is being prepared"), decider.apply(now, 3, TERMS));
        decider.marked(now, 2, null);
        decider.prepared(now, 2, null);
        assertEquals(
                new Reply(false, "version 2 is on trial; confirm it or roll it back first"),
                decider.apply(now, 3, TERMS));
        decider.confirm(now, 2);
        decider.written(now, 2, null);
        assertEquals(
                new Reply(false, "version 3 was staged over version 1, but version 2 is current"),
                decider.apply(now, 3, TERMS));
        assertEquals(
                "it is based on version 1, but version 2 is current",
                decider.mayStage(1).message());
    }

    @Test
    void stagedVersionsAreBoundedAndThoseOfNoUseGiveWay() {
        for (int i = 0; i < ChangeDecider.MAX_STAGED; i++) {
            assertTrue(decider.mayStage(1).done());
            decider.staged(2 + i, 1);
        }
        assertFalse(decider.mayStage(1).done());
        onTrialStaged(2);
        decider.confirm(now, 2);
        decider.written(now, 2, null);
        decider.staged(20, 2);
        assertEquals(ChangeDecider.MAX_STAGED, decider.stagedVersions().size());
        assertTrue(decider.mayStage(2).done());
        assertEquals(java.util.Map.of(20, 2), decider.stagedVersions());
    }

    private void onTrialStaged(int version) {
        decider.apply(now, version, TERMS);
        decider.marked(now, version, null);
        decider.prepared(now, version, null);
    }

    @Test
    void endedChangesAreBounded() {
        for (int i = 2; i < 300; i++) {
            onTrial(i, TERMS);
            decider.rollback(now);
        }
        assertEquals(ChangeDecider.MAX_PAST, decider.past().size());
        assertEquals(299, decider.past().get(99).version());
    }

    @Test
    void aRiseOfFailuresUndoesTheChange() {
        answers(1, 10, 0.02, 0, 1);
        onTrial(2, TERMS);
        answers(2, 5, 0.3, 0, 2);
        assertTrue(log.last().startsWith("undo 2 to 1: failed answers rose from "), log.last());
    }

    @Test
    void aRiseOfRefusalsUndoesTheChange() {
        answers(1, 10, 0, 0.05, 1);
        onTrial(2, TERMS);
        answers(2, 5, 0, 0.6, 2);
        assertTrue(log.last().startsWith("undo 2 to 1: refused answers rose from "), log.last());
    }

    /** What went wrong before goes wrong after: the change is not to blame. */
    @Test
    void troubleThatWasThereBeforeUndoesNothing() {
        answers(1, 30, 0.4, 0.2, 1);
        onTrial(2, TERMS);
        answers(2, 25, 0.4, 0.2, 2);
        assertEquals("begin 2", log.last());
    }

    @Test
    void threeFailuresProveNothing() {
        answers(1, 10, 0, 0, 1);
        onTrial(2, TERMS);
        for (int i = 0; i < 99; i++) {
            decider.answered(now, 2, Outcome.FAILED);
            decider.tick(now);
        }
        assertEquals("begin 2", log.last());
        for (int i = 0; i < ErrorRateGuard.CHECKS; i++) {
            decider.answered(now, 2, Outcome.FAILED);
            decider.tick(now);
        }
        assertTrue(log.last().startsWith("undo 2"), log.last());
    }

    /** A share about the bound must not undo by chance: a tenth over what was, in a hundred runs. */
    @Test
    void aShareBelowTheBoundIsLeftAloneInAHundredRuns() {
        int undone = 0;
        for (long seed = 1; seed <= 100; seed++) {
            ChangeDeciderTest run = new ChangeDeciderTest();
            run.answers(1, 20, 0.05, 0, seed);
            run.onTrial(2, TERMS);
            run.answers(2, 25, 0.12, 0, seed + 1_000);
            undone += run.decider.phase() == Phase.NONE ? 1 : 0;
        }
        assertEquals(0, undone);
    }

    /** A fault that begins late in a trial shows as well as at once: the share is that of the last seconds. */
    @Test
    void lateTroubleIsNotDilutedByAGoodBeginning() {
        answers(1, 20, 0, 0, 1);
        onTrial(2, new Terms(600_000, 5_000, 0.1, 0.3, 100, false));
        answers(2, 300, 0, 0, 2);
        answers(2, 6, 0.5, 0, 3);
        assertTrue(log.last().startsWith("undo 2"), log.last());
    }

    @Test
    void answersOfTheVersionBeforeDontCountAgainstTheChange() {
        answers(1, 10, 0, 0, 1);
        onTrial(2, TERMS);
        answers(1, 5, 1, 0, 2);
        assertEquals("begin 2", log.last());
    }
}

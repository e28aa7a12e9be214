package sablehinge.gateway.rollout;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.junit.jupiter.api.Assertions;
import sablehinge.gateway.rollout.ChangeDecider.Phase;
import sablehinge.gateway.rollout.ChangeDecider.TrialTerms;
import sablehinge.gateway.rollout.OutcomeCounts.Outcome;

/** Random sequences of events; on failure, jqwik prints the seed and the shrunk sequence. */
class ChangeDeciderPropertyTest {

    private static final TrialTerms TERMS = new TrialTerms(30_000, 5_000, 0.1, 0.3, 20, false);

    /** The kinds of events. */
    private enum Kind {
        STAGE,
        APPLY,
        DROP,
        MARKED,
        PREPARED,
        CONFIRM,
        WRITTEN,
        ROLLBACK,
        PART_FAILED,
        TICK,
        ANSWERS
    }

    /**
     * One event.
     *
     * @param delayMs time since the previous event
     * @param version the version that the event names; 0 for the candidate
     * @param fails whether the operation fails
     */
    private record Event(Kind kind, int delayMs, int version, boolean fails) {}

    /** Checks that each action is legal in the current step. */
    private static final class ActionChecker implements ChangeDecider.Actions {
        ChangeDecider decider;
        int serving = 1;
        int startedChanges;
        int finishedChanges;
        /** Whether the write of the confirmation has just failed; otherwise a rollback would contradict the disk. */
        boolean confirmationWriteFailed;

        private String step = "";

        private void expect(String expected, String next) {
            Assertions.assertEquals(expected, step, next);
            step = next;
        }

        @Override
        public void mark(int version) {
            expect("", "marking");
            startedChanges++;
        }

        @Override
        public void prepare(int version) {
            expect("marking", "preparing");
        }

        @Override
        public void begin(int version) {
            expect("preparing", "trial");
            serving = version;
        }

        @Override
        public void writeConfirmed(int version) {
            expect("trial", "confirming");
        }

        @Override
        public void undo(int version, int restored, String reason) {
            Assertions.assertFalse(step.isEmpty() || reason.isEmpty());
            Assertions.assertTrue(
                    confirmationWriteFailed || !step.equals("confirming"),
                    "rolled back after its confirmation was written");
            Assertions.assertEquals(decider.confirmed(), restored);
            Assertions.assertTrue(serving == restored || serving == version);
            step = "";
            serving = restored;
            finishedChanges++;
        }

        @Override
        public void releasePrevious(int version, int previous) {
            expect("confirming", "");
            Assertions.assertEquals(version, serving);
            finishedChanges++;
        }
    }

    @Provide
    Arbitrary<List<Event>> eventSequences() {
        return Combinators.combine(
                        Arbitraries.of(Kind.class),
                        Arbitraries.integers().between(0, 2_000),
                        Arbitraries.frequencyOf(
                                Tuple.of(8, Arbitraries.just(0)),
                                Tuple.of(2, Arbitraries.integers().between(0, 12))),
                        Arbitraries.of(false, false, false, true))
                .as(Event::new)
                .list()
                .ofMaxSize(80);
    }

    @Property(tries = 3_000)
    void everyChangeFinishesOnceAndServingVersionMatchesPhase(@ForAll("eventSequences") List<Event> events) {
        ActionChecker checker = new ActionChecker();
        ChangeDecider decider = new ChangeDecider(1, checker);
        checker.decider = decider;
        double nowMs = 0;
        int next = 2;
        List<Integer> confirmedVersions = new ArrayList<>(List.of(1));
        for (Event event : events) {
            nowMs += event.delayMs();
            int version = event.version() == 0 ? decider.candidate() : event.version();
            String failure = event.fails() ? "broke" : null;
            int confirmed = decider.confirmed();
            checker.confirmationWriteFailed = event.kind() == Kind.WRITTEN && event.fails();
            switch (event.kind()) {
                case STAGE -> {
                    if (decider.checkStaging(event.fails() ? version : confirmed)
                            .accepted()) {
                        decider.staged(next++, confirmed);
                    }
                }
                case APPLY -> decider.apply(nowMs, event.fails() ? version : next - 1, TERMS);
                case DROP -> decider.drop(version);
                case MARKED -> decider.marked(nowMs, version, failure);
                case PREPARED -> decider.prepared(nowMs, version, failure);
                case CONFIRM -> decider.confirm(nowMs, event.version());
                case WRITTEN -> decider.confirmationWritten(nowMs, version, failure);
                case ROLLBACK -> decider.rollback(nowMs);
                case PART_FAILED -> decider.versionFailed(nowMs, version, "broke");
                case TICK -> decider.tick(nowMs);
                default -> {
                    for (int i = 0; i < 40; i++) {
                        decider.responseSent(nowMs, checker.serving, event.fails() ? Outcome.FAILED : Outcome.SERVED);
                    }
                }
            }
            if (decider.confirmed() != confirmed) {
                confirmedVersions.add(decider.confirmed());
            }
            boolean onTrial = decider.phase() == Phase.TRIAL || decider.phase() == Phase.CONFIRMING;
            Assertions.assertEquals(onTrial ? decider.candidate() : decider.confirmed(), checker.serving);
            Assertions.assertEquals(
                    checker.startedChanges - checker.finishedChanges, decider.phase() == Phase.NONE ? 0 : 1);
            Assertions.assertTrue(decider.stagedVersions().size() <= ChangeDecider.MAX_STAGED);
        }
        Assertions.assertEquals(
                confirmedVersions.stream().distinct().count(),
                confirmedVersions.size(),
                "a version was confirmed twice");
        // Without further events, a change that does not wait for the disk times out.
        Phase phaseBeforeTimeout = decider.phase();
        decider.tick(nowMs + 30_000);
        Assertions.assertTrue(phaseBeforeTimeout == Phase.CONFIRMING || decider.phase() == Phase.NONE);
    }
}

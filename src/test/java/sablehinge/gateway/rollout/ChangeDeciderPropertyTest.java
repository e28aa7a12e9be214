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
import sablehinge.gateway.rollout.ChangeDecider.Terms;
import sablehinge.gateway.rollout.OutcomeShares.Outcome;

/** Any events in any order; jqwik prints the seed and the shortest story of a failure. */
class ChangeDeciderPropertyTest {

    private static final Terms TERMS = new Terms(30_000, 5_000, 0.1, 0.3, 20, false);

    /** What can happen. */
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

    /** One event: ms after the one before, the version it names (0 for the one under way), how it went. */
    private record Event(Kind kind, int after, int version, boolean fails) {}

    /** Follows what is requested, and holds it against what may be. */
    private static final class Follower implements ChangeDecider.Actions {
        ChangeDecider decider;
        int serving = 1;
        int begun;
        int ended;
        /** Whether the confirmation has just failed to be written: else an undoing could belie the disk. */
        boolean unwritten;

        private String step = "";

        private void expect(String wanted, String next) {
            Assertions.assertEquals(wanted, step, next);
            step = next;
        }

        @Override
        public void mark(int version) {
            expect("", "marking");
            begun++;
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
        public void undo(int version, int to, String reason) {
            Assertions.assertFalse(step.isEmpty() || reason.isEmpty());
            Assertions.assertTrue(unwritten || !step.equals("confirming"), "undone while it is confirmed");
            Assertions.assertEquals(decider.confirmed(), to);
            Assertions.assertTrue(serving == to || serving == version);
            step = "";
            serving = to;
            ended++;
        }

        @Override
        public void keep(int version, int before) {
            expect("confirming", "");
            Assertions.assertEquals(version, serving);
            ended++;
        }
    }

    @Provide
    Arbitrary<List<Event>> stories() {
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
    void everyChangeEndsOnceAndWhatServesIsWhatWasBegun(@ForAll("stories") List<Event> story) {
        Follower follower = new Follower();
        ChangeDecider decider = new ChangeDecider(1, follower);
        follower.decider = decider;
        double now = 0;
        int next = 2;
        List<Integer> kept = new ArrayList<>(List.of(1));
        for (Event event : story) {
            now += event.after();
            int version = event.version() == 0 ? decider.candidate() : event.version();
            String failure = event.fails() ? "broke" : null;
            int confirmed = decider.confirmed();
            follower.unwritten = event.kind() == Kind.WRITTEN && event.fails();
            switch (event.kind()) {
                case STAGE -> {
                    if (decider.mayStage(event.fails() ? version : confirmed).done()) {
                        decider.staged(next++, confirmed);
                    }
                }
                case APPLY -> decider.apply(now, event.fails() ? version : next - 1, TERMS);
                case DROP -> decider.drop(version);
                case MARKED -> decider.marked(now, version, failure);
                case PREPARED -> decider.prepared(now, version, failure);
                case CONFIRM -> decider.confirm(now, event.version());
                case WRITTEN -> decider.written(now, version, failure);
                case ROLLBACK -> decider.rollback(now);
                case PART_FAILED -> decider.partFailed(now, version, "broke");
                case TICK -> decider.tick(now);
                default -> {
                    for (int i = 0; i < 40; i++) {
                        decider.answered(now, follower.serving, event.fails() ? Outcome.FAILED : Outcome.SERVED);
                    }
                }
            }
            if (decider.confirmed() != confirmed) {
                kept.add(decider.confirmed());
            }
            boolean onTrial = decider.phase() == Phase.TRIAL || decider.phase() == Phase.CONFIRMING;
            Assertions.assertEquals(onTrial ? decider.candidate() : decider.confirmed(), follower.serving);
            Assertions.assertEquals(follower.begun - follower.ended, decider.phase() == Phase.NONE ? 0 : 1);
            Assertions.assertTrue(decider.stagedVersions().size() <= ChangeDecider.MAX_STAGED);
        }
        Assertions.assertEquals(kept.stream().distinct().count(), kept.size(), "a version was confirmed twice");
        // Left to itself, what is under way and waits for nobody ends.
        Phase left = decider.phase();
        decider.tick(now + 30_000);
        Assertions.assertTrue(left == Phase.CONFIRMING || decider.phase() == Phase.NONE);
    }
}

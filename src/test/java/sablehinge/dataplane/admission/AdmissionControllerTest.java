package sablehinge.dataplane.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import sablehinge.policy.LoadBalancer.Actions;
import sablehinge.policy.LoadBalancer.Outcome;
import sablehinge.policy.LoadBalancer.Request;
import sablehinge.policy.LoadBalancer.Result;

/** What the gate beside an upstream decides; the time is the test's. */
class AdmissionControllerTest {

    private static final long INCARNATION = 7;
    private static final double DEADLINE = 10_000;
    private final List<String> done = new ArrayList<>();
    private final AdmissionController admission = new AdmissionController(new Recorded());

    private final class Recorded implements Actions {
        @Override
        public void send(long requestId, long upstream, double timeout) {
            done.add("send " + requestId);
        }

        @Override
        public void refuse(long requestId, double retryAfter) {
            done.add("refuse " + requestId + (retryAfter > 0 ? " later" : ""));
        }

        @Override
        public void fail(long requestId) {
            done.add("fail " + requestId);
        }

        @Override
        public void cancel(long requestId, int attempt) {
            done.add("cancel " + requestId);
        }

        @Override
        public void setTimer(long token, double at) {
            done.add("timer " + token + " " + (long) at);
        }

        @Override
        public void healthCheck(long upstream) {
            throw new AssertionError();
        }

        @Override
        public void closeIdle(long upstream) {
            throw new AssertionError();
        }

        @Override
        public void fetch() {
            throw new AssertionError();
        }

        @Override
        public void watch(boolean on) {
            throw new AssertionError();
        }

        @Override
        public void tell(int peer, byte[] payload) {
            throw new AssertionError();
        }

        @Override
        public void log(String text) {
            throw new AssertionError();
        }
    }

    private void expect(String... what) {
        assertEquals(List.of(what), done);
        done.clear();
    }

    private void asks(double now, long id, int rank, long incarnation, double deadline, double timeoutMs) {
        admission.request(now, new Request(id, 0, rank, incarnation, deadline, timeoutMs, false, true, 0));
    }

    private void asks(double now, long id) {
        asks(now, id, 0, INCARNATION, DEADLINE, 500);
    }

    private void ends(double now, long id, Result result) {
        admission.attemptFinished(
                now, new Outcome(id, 0, AdmissionController.UPSTREAM, result, result == Result.OK, 1, null));
    }

    @Test
    void nothingGoesInBeforeTheUpstreamHasSaidThatItIsThere() {
        asks(0, 1);
        expect("refuse 1");
    }

    @Test
    void asManyGoInAsThereAreSlotsAndTheNextWaitsForOne() {
        admission.open(0, INCARNATION, 2);
        asks(0, 1);
        asks(0, 2);
        asks(0, 3);
        expect("send 1", "send 2", "timer 3 500");
        assertEquals(2, admission.running());
        assertEquals(1, admission.waiting());
        ends(10, 1, Result.OK);
        expect("send 3");
    }

    @Test
    void whenTheProcessIsAboutToEndThenWhatStillWaitsIsRefusedInTime() {
        admission.open(0, INCARNATION, 1);
        asks(0, 1);
        asks(0, 2);
        asks(0, 3);
        admission.drain(100);
        expect("send 1", "timer 2 500", "timer 3 500", "timer 0 100");
        ends(99, 1, Result.OK);
        expect("send 2");
        admission.timer(100, 0);
        expect("refuse 3");
        ends(101, 2, Result.OK);
        admission.open(102, INCARNATION + 1, 1);
        asks(103, 4, 0, INCARNATION + 1, DEADLINE, 500);
        expect("refuse 4");
    }

    @Test
    void theHighestRankGoesFirstAndOfOneRankWhatHasTheLeastTimeLeft() {
        admission.open(0, INCARNATION, 2);
        asks(0, 1);
        asks(0, 2);
        asks(0, 3, 2, INCARNATION, 1_000, 500);
        asks(0, 4, 1, INCARNATION, 9_000, 500);
        asks(0, 5, 1, INCARNATION, 8_000, 500);
        done.clear();
        ends(10, 1, Result.OK);
        ends(11, 2, Result.OK);
        ends(12, 5, Result.OK);
        expect("send 5", "send 4", "send 3");
    }

    @Test
    void oneWaitsForAsLongAsItWasGivenAndNoLonger() {
        admission.open(0, INCARNATION, 1);
        asks(0, 1);
        asks(5, 2, 0, INCARNATION, DEADLINE, 300);
        expect("send 1", "timer 2 305");
        admission.timer(305, 2);
        expect("refuse 2 later");
        ends(400, 1, Result.OK);
        expect();
    }

    @Test
    void whatMayNotWaitIsRefusedAtOnceAndSoIsWhatFindsAllPlacesTaken() {
        admission.open(0, INCARNATION, 1);
        asks(0, 1);
        asks(0, 2, 0, INCARNATION, DEADLINE, 0);
        expect("send 1", "refuse 2 later");
        for (int id = 3; id <= 5; id++) {
            asks(0, id);
        }
        done.clear();
        asks(0, 6);
        expect("refuse 6 later");
    }

    @Test
    void anotherLifeIsRefusedAtItsArrivalAndWhereItWaited() {
        admission.open(0, INCARNATION, 1);
        asks(0, 1, 0, INCARNATION + 1, DEADLINE, 500);
        expect("refuse 1");
        asks(0, 2);
        asks(0, 3);
        done.clear();
        admission.open(10, INCARNATION + 1, 1);
        ends(11, 2, Result.RESET);
        expect("fail 2", "refuse 3");
    }

    @Test
    void anUpstreamThatLeavesTakesWhatComesUntilItsTimeAndNothingFromThenOn() {
        admission.open(0, INCARNATION, 1);
        admission.closes(0, INCARNATION, 100);
        asks(99, 1);
        asks(99, 2);
        expect("send 1", "timer 2 599");
        admission.closes(100, INCARNATION, 100);
        expect("refuse 2");
        asks(100, 3);
        expect("refuse 3");
        ends(200, 1, Result.OK);
        expect();
    }

    @Test
    void whatWaitedWhenItsTimeCameIsNotSentEvenIfNobodyWokeTheGate() {
        admission.open(0, INCARNATION, 1);
        asks(0, 1);
        asks(0, 2);
        admission.closes(50, INCARNATION, 100);
        done.clear();
        ends(101, 1, Result.OK);
        expect("refuse 2");
    }

    @Test
    void aLateBeatOfTheSameLifeDoesNotOpenTheGateAgainButTheNextLifeDoes() {
        admission.open(0, INCARNATION, 1);
        admission.closes(0, INCARNATION, 0);
        admission.open(10, INCARNATION, 1);
        asks(10, 1);
        expect("refuse 1");
        admission.open(20, INCARNATION + 1, 1);
        asks(20, 2, 0, INCARNATION + 1, DEADLINE, 500);
        expect("send 2");
        admission.closes(30, INCARNATION, 30);
        ends(31, 2, Result.OK);
        asks(32, 3, 0, INCARNATION + 1, DEADLINE, 500);
        expect("send 3");
    }

    @ParameterizedTest
    @EnumSource(Result.class)
    void onlyWhatIsProvenNotToHaveRunIsRefused(Result result) {
        admission.open(0, INCARNATION, 1);
        asks(0, 1);
        done.clear();
        ends(10, 1, result);
        switch (result) {
            case OK -> expect();
            case FULL, CONNECT_FAILED, NOT_SENT -> expect("refuse 1 later");
            default -> expect("fail 1");
        }
        assertEquals(0, admission.running());
    }

    @Test
    void whoeverLeavesWhileItWaitsIsForgottenAndWhoLeavesAtWorkKeepsItsSlotUntilItsEnd() {
        admission.open(0, INCARNATION, 1);
        asks(0, 1);
        asks(0, 2);
        asks(0, 3);
        done.clear();
        admission.clientGone(5, 2);
        admission.timer(500, 2);
        expect();
        admission.clientGone(6, 1);
        expect("cancel 1");
        assertEquals(1, admission.running());
        ends(7, 1, Result.CANCELLED);
        expect("send 3");
    }
}

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

/** Tests admission decisions in virtual time. */
class AdmissionControllerTest {

    private static final long INCARNATION = 7;
    private static final double DEADLINE = 10_000;
    private final List<String> recorded = new ArrayList<>();
    private final AdmissionController admission = new AdmissionController(new RecordingActions());

    private final class RecordingActions implements Actions {
        @Override
        public void send(long requestId, long upstream, double timeout) {
            recorded.add("send " + requestId);
        }

        @Override
        public void refuse(long requestId, double retryAfter) {
            recorded.add("refuse " + requestId + (retryAfter > 0 ? " later" : ""));
        }

        @Override
        public void fail(long requestId) {
            recorded.add("fail " + requestId);
        }

        @Override
        public void cancel(long requestId, int attempt) {
            recorded.add("cancel " + requestId);
        }

        @Override
        public void setTimer(long token, double at) {
            recorded.add("timer " + token + " " + (long) at);
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

    private void expect(String... expected) {
        assertEquals(List.of(expected), recorded);
        recorded.clear();
    }

    private void request(double now, long id, int priority, long incarnation, double deadline, double timeoutMs) {
        admission.request(now, new Request(id, 0, priority, incarnation, deadline, timeoutMs, false, true, 0));
    }

    private void request(double now, long id) {
        request(now, id, 0, INCARNATION, DEADLINE, 500);
    }

    private void finish(double now, long id, Result result) {
        admission.attemptFinished(
                now, new Outcome(id, 0, AdmissionController.UPSTREAM, result, result == Result.OK, 1, null));
    }

    @Test
    void refusesRequestsBeforeTheUpstreamIsReady() {
        request(0, 1);
        expect("refuse 1");
    }

    @Test
    void sendsUpToTheNumberOfSlotsAndQueuesTheNext() {
        admission.open(0, INCARNATION, 2);
        request(0, 1);
        request(0, 2);
        request(0, 3);
        expect("send 1", "send 2", "timer 3 500");
        assertEquals(2, admission.running());
        assertEquals(1, admission.waiting());
        finish(10, 1, Result.OK);
        expect("send 3");
    }

    @Test
    void drainRefusesWaitingRequestsAtTheDeadline() {
        admission.open(0, INCARNATION, 1);
        request(0, 1);
        request(0, 2);
        request(0, 3);
        admission.drain(100);
        expect("send 1", "timer 2 500", "timer 3 500", "timer 0 100");
        finish(99, 1, Result.OK);
        expect("send 2");
        admission.timer(100, 0);
        expect("refuse 3");
        finish(101, 2, Result.OK);
        admission.open(102, INCARNATION + 1, 1);
        request(103, 4, 0, INCARNATION + 1, DEADLINE, 500);
        expect("refuse 4");
    }

    @Test
    void sendsWaitingRequestsByPriorityThenDeadline() {
        admission.open(0, INCARNATION, 2);
        request(0, 1);
        request(0, 2);
        request(0, 3, 2, INCARNATION, 1_000, 500);
        request(0, 4, 1, INCARNATION, 9_000, 500);
        request(0, 5, 1, INCARNATION, 8_000, 500);
        recorded.clear();
        finish(10, 1, Result.OK);
        finish(11, 2, Result.OK);
        finish(12, 5, Result.OK);
        expect("send 5", "send 4", "send 3");
    }

    @Test
    void refusesWaitingRequestAfterItsTimeout() {
        admission.open(0, INCARNATION, 1);
        request(0, 1);
        request(5, 2, 0, INCARNATION, DEADLINE, 300);
        expect("send 1", "timer 2 305");
        admission.timer(305, 2);
        expect("refuse 2 later");
        finish(400, 1, Result.OK);
        expect();
    }

    @Test
    void refusesImmediatelyWithoutWaitTimeOrWithFullQueue() {
        admission.open(0, INCARNATION, 1);
        request(0, 1);
        request(0, 2, 0, INCARNATION, DEADLINE, 0);
        expect("send 1", "refuse 2 later");
        for (int id = 3; id <= 5; id++) {
            request(0, id);
        }
        recorded.clear();
        request(0, 6);
        expect("refuse 6 later");
    }

    @Test
    void refusesRequestsForAnotherIncarnationOnArrivalAndInTheQueue() {
        admission.open(0, INCARNATION, 1);
        request(0, 1, 0, INCARNATION + 1, DEADLINE, 500);
        expect("refuse 1");
        request(0, 2);
        request(0, 3);
        recorded.clear();
        admission.open(10, INCARNATION + 1, 1);
        finish(11, 2, Result.RESET);
        expect("fail 2", "refuse 3");
    }

    @Test
    void acceptsRequestsUntilTheCloseTimeAndNoneAfterIt() {
        admission.open(0, INCARNATION, 1);
        admission.closeAt(0, INCARNATION, 100);
        request(99, 1);
        request(99, 2);
        expect("send 1", "timer 2 599");
        admission.closeAt(100, INCARNATION, 100);
        expect("refuse 2");
        request(100, 3);
        expect("refuse 3");
        finish(200, 1, Result.OK);
        expect();
    }

    @Test
    void doesNotSendWaitingRequestsAfterTheCloseTimeWithoutATick() {
        admission.open(0, INCARNATION, 1);
        request(0, 1);
        request(0, 2);
        admission.closeAt(50, INCARNATION, 100);
        recorded.clear();
        finish(101, 1, Result.OK);
        expect("refuse 2");
    }

    @Test
    void reopensForTheNextIncarnationButNotForALateHeartbeatOfTheSameOne() {
        admission.open(0, INCARNATION, 1);
        admission.closeAt(0, INCARNATION, 0);
        admission.open(10, INCARNATION, 1);
        request(10, 1);
        expect("refuse 1");
        admission.open(20, INCARNATION + 1, 1);
        request(20, 2, 0, INCARNATION + 1, DEADLINE, 500);
        expect("send 2");
        admission.closeAt(30, INCARNATION, 30);
        finish(31, 2, Result.OK);
        request(32, 3, 0, INCARNATION + 1, DEADLINE, 500);
        expect("send 3");
    }

    @ParameterizedTest
    @EnumSource(Result.class)
    void refusesOnlyRequestsProvenNotToHaveRun(Result result) {
        admission.open(0, INCARNATION, 1);
        request(0, 1);
        recorded.clear();
        finish(10, 1, result);
        switch (result) {
            case OK -> expect();
            case FULL, CONNECT_FAILED, NOT_SENT -> expect("refuse 1 later");
            default -> expect("fail 1");
        }
        assertEquals(0, admission.running());
    }

    @Test
    void dropsCancelledWaitingRequestsAndHoldsTheSlotOfCancelledRunningOnes() {
        admission.open(0, INCARNATION, 1);
        request(0, 1);
        request(0, 2);
        request(0, 3);
        recorded.clear();
        admission.clientGone(5, 2);
        admission.timer(500, 2);
        expect();
        admission.clientGone(6, 1);
        expect("cancel 1");
        assertEquals(1, admission.running());
        finish(7, 1, Result.CANCELLED);
        expect("send 3");
    }
}

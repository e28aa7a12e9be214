package sablehinge.dataplane.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sablehinge.dataplane.budget.AttemptBudgets.Admission;
import sablehinge.dataplane.budget.AttemptBudgets.Grant;
import sablehinge.dataplane.budget.AttemptBudgets.Refusal;
import sablehinge.dataplane.budget.HeaderText.Found;
import sablehinge.dataplane.budget.HeaderText.Kind;

/** Tests the budgets of one hop. */
class AttemptBudgetsTest {

    private static final long RENDER = 0xbbbb;
    private static final long FRONT = 0xaaaa;

    private static BudgetSettings settings(boolean last, int calls, int attemptBudgets) {
        return new BudgetSettings(8, 10_000, 100, 1, calls, 1, last, 5, 2, 0.5, 0, attemptBudgets);
    }

    private static Found<Budget> carriedHeader(long grant, int attempts, double remaining, Long... path) {
        return new Found<>(Kind.READ, new Budget(grant, attempts, remaining, 7, List.of(path)));
    }

    private static Admission arriveFromClient(AttemptBudgets attemptBudgets, double now) {
        return attemptBudgets.admit(now, new Found<>(Kind.MISSING, null), true, 1_000, 0, 3);
    }

    @Test
    void reservesAPartForRetriesAndReturnsUnspentAttempts() {
        AttemptBudgets front = new AttemptBudgets(settings(false, 1, 10), FRONT, 1);
        Admission client = arriveFromClient(front, 0);
        Grant first = front.grant(client.call(), 0, true, 0);
        assertEquals(4, first.attempts());
        Budget budget = first.budget(100);
        // 1,000 ms less the margin of 5 ms, the network time of 2 ms and the 100 ms that have passed.
        assertEquals(893, budget.remaining());
        assertEquals(List.of(FRONT), budget.path());
        assertEquals(3, budget.value());
        front.onAttemptFinished(first, new Report(budget.grant(), 1, true), false);
        assertEquals(7, client.call().attempts());
        Grant second = front.grant(client.call(), 200, true, 0);
        // Without a report the whole grant counts as spent.
        front.onAttemptFinished(second, null, false);
        assertEquals(8 - 1 - second.attempts(), client.call().attempts());
        assertEquals(1 + second.attempts(), front.close(client.call(), true).spent());
    }

    @Test
    void grantsTheWholeBudgetIfRetriesAreNotAllowed() {
        AttemptBudgets front = new AttemptBudgets(settings(false, 1, 10), FRONT, 1);
        Admission client = arriveFromClient(front, 0);
        Grant only = front.grant(client.call(), 0, false, 0);
        assertEquals(8, only.attempts());
        front.onAttemptNeverRan(only);
        front.onAttemptNeverRan(only);
        assertEquals(8, client.call().attempts());
    }

    /** An attempt that makes up to three calls to the tier below is granted three attempts, if available. */
    @Test
    void grantsTheAttemptsThatOneAttemptMayNeed() {
        AttemptBudgets front =
                new AttemptBudgets(new BudgetSettings(7, 10_000, 100, 1, 1, 3, false, 5, 2, 0.9, 0, 10), FRONT, 1);
        Admission client = arriveFromClient(front, 0);
        assertEquals(2, client.call().attempts());
        assertEquals(3, front.grant(client.call(), 0, true, 0).attempts());
        assertEquals(3, front.grant(client.call(), 0, true, 0).attempts());
        assertNull(front.grant(client.call(), 0, true, 0), "the remaining attempt is not enough for a retry");
        AttemptBudgets smallBudget =
                new AttemptBudgets(new BudgetSettings(2, 10_000, 100, 1, 1, 3, false, 5, 2, 0.5, 0, 10), FRONT, 1);
        Admission first = arriveFromClient(smallBudget, 0);
        assertEquals(
                2,
                smallBudget.grant(first.call(), 0, true, 0).attempts(),
                "a first attempt is granted whatever remains");
    }

    /** The tier below has already retried, so this tier must not retry. */
    @Test
    void makesNoRetryIfTheReportForbidsIt() {
        AttemptBudgets front = new AttemptBudgets(settings(false, 1, 10), FRONT, 1);
        Admission client = arriveFromClient(front, 0);
        Grant first = front.grant(client.call(), 0, true, 0);
        front.onAttemptFinished(first, new Report(first.budget(0).grant(), 2, false), false);
        assertEquals(0, client.call().attempts());
        assertNull(front.grant(client.call(), 1, true, 0));
        assertFalse(front.close(client.call(), true).retryable());
    }

    /** A call with one attempt at this tier may be retried at the tier above; a call with two may not. */
    @Test
    void onlyOneTierRetries() {
        AttemptBudgets store = new AttemptBudgets(settings(true, 1, 10), RENDER, 1);
        for (int tries = 1; tries <= 2; tries++) {
            Admission call = store.admit(0, carriedHeader(tries, 4, 900, FRONT), false, 900, 0, 1);
            for (int i = 0; i < tries; i++) {
                store.onAttemptFinished(store.grant(call.call(), 0, true, 0), null, false);
            }
            assertEquals(new Report(tries, tries, tries == 1), store.close(call.call(), true));
        }
    }

    /** A report for another grant, or of more attempts than granted, spends no more than the grant. */
    @Test
    void boundsReportsByTheirGrant() {
        AttemptBudgets front = new AttemptBudgets(settings(false, 1, 10), FRONT, 1);
        Admission client = arriveFromClient(front, 0);
        Grant first = front.grant(client.call(), 0, true, 0);
        front.onAttemptFinished(first, new Report(99, 0, true), false);
        assertEquals(4, client.call().attempts());
        Grant second = front.grant(client.call(), 0, true, 0);
        front.onAttemptFinished(second, new Report(second.budget(0).grant(), 9_999, true), false);
        assertEquals(2, client.call().attempts());
    }

    @Test
    void callsOfOneGrantShareOneBudget() {
        AttemptBudgets store = new AttemptBudgets(settings(true, 3, 10), RENDER, 1);
        Admission first = store.admit(0, carriedHeader(5, 4, 900), false, 900, 0, 1);
        // Of four attempts, two are reserved for expected calls.
        assertEquals(2, first.call().attempts());
        store.onAttemptFinished(store.grant(first.call(), 0, true, 0), null, false);
        store.onAttemptFinished(store.grant(first.call(), 0, true, 0), null, false);
        assertNull(store.grant(first.call(), 0, true, 0));
        store.close(first.call(), false);
        for (int i = 0; i < 2; i++) {
            Admission next = store.admit(10, carriedHeader(5, 4, 900), false, 900, 0, 1);
            assertNotNull(store.grant(next.call(), 10, true, 0));
            assertNull(store.grant(next.call(), 10, true, 0));
            store.close(next.call(), true);
        }
        assertEquals(
                Refusal.SPENT,
                store.admit(20, carriedHeader(5, 4, 900), false, 900, 0, 1).refusal());
        // The same grant with more attempts is still the same budget.
        assertEquals(
                Refusal.SPENT,
                store.admit(30, carriedHeader(5, 8, 900), false, 900, 0, 1).refusal());
        assertEquals(1, store.size());
    }

    @Test
    void refusesCallsWithoutTimeAndNeverForwardsThem() {
        AttemptBudgets store = new AttemptBudgets(settings(true, 1, 10), RENDER, 1);
        assertEquals(
                Refusal.DEAD,
                store.admit(0, carriedHeader(1, 4, 5), false, 900, 0, 1).refusal());
        assertEquals(
                Refusal.DEAD,
                store.admit(0, carriedHeader(2, 4, 900), false, 5, 0, 1).refusal());
        // The call waited unread while the process was paused.
        assertEquals(
                Refusal.DEAD,
                store.admit(0, carriedHeader(3, 4, 900), false, 900, 896, 1).refusal());
        assertEquals(0, store.size());
        Admission alive = store.admit(0, carriedHeader(4, 4, 900), false, 900, 0, 1);
        assertNull(store.grant(alive.call(), 890, true, 10), "the tier below needs 10 ms");
        Grant late = store.grant(alive.call(), 800, true, 10);
        assertNull(late.budget(894), "connecting took too long");
        // A later call of the same grant has the deadline of the first one.
        assertEquals(
                Refusal.DEAD,
                store.admit(896, carriedHeader(4, 4, 900), false, 900, 0, 1).refusal());
    }

    @Test
    void refusesCallsThatReturnToAServiceOnTheirPath() {
        AttemptBudgets front = new AttemptBudgets(settings(false, 1, 10), FRONT, 1);
        Admission loop = front.admit(0, carriedHeader(1, 4, 900, FRONT, RENDER, 0xccccL), false, 900, 0, 1);
        assertEquals(Refusal.LOOP, loop.refusal());
        assertEquals(List.of(FRONT, RENDER, 0xccccL, FRONT), loop.path());
        assertEquals(
                Refusal.LOOP,
                front.admit(0, carriedHeader(1, 4, 900, FRONT), false, 900, 0, 1)
                        .refusal());
        // A call to another service, and a second call to it with the same path.
        AttemptBudgets render = new AttemptBudgets(settings(false, 2, 10), RENDER, 1);
        assertNull(render.admit(0, carriedHeader(1, 4, 900, FRONT), false, 900, 0, 1)
                .refusal());
        assertNull(render.admit(1, carriedHeader(1, 4, 900, FRONT), false, 900, 0, 1)
                .refusal());
        // An operator may allow one reentry.
        AttemptBudgets twice =
                new AttemptBudgets(new BudgetSettings(8, 10_000, 100, 1, 1, 1, false, 5, 2, 0.5, 1, 10), FRONT, 1);
        assertNull(twice.admit(0, carriedHeader(1, 4, 900, FRONT), false, 900, 0, 1)
                .refusal());
        assertEquals(
                Refusal.LOOP,
                twice.admit(0, carriedHeader(2, 4, 900, FRONT, FRONT), false, 900, 0, 1)
                        .refusal());
        Long[] sixteen = new Long[16];
        java.util.Arrays.setAll(sixteen, i -> (long) i);
        assertEquals(
                Refusal.LOOP,
                front.admit(0, carriedHeader(3, 4, 900, sixteen), false, 900, 0, 1)
                        .refusal());
    }

    @Test
    void boundsBudgetsOfCallers() {
        AttemptBudgets front = new AttemptBudgets(settings(false, 1, 10), FRONT, 1);
        Admission excessive = front.admit(
                0, new Found<>(Kind.READ, new Budget(1, 9_999, 3_000_000, 1e6, List.of())), true, 1e9, 0, 3);
        assertEquals(8, excessive.call().attempts());
        assertEquals(9_995, excessive.call().deadline());
        AttemptBudgets store = new AttemptBudgets(settings(true, 1, 10), RENDER, 1);
        Admission excessiveBelow = store.admit(
                0, new Found<>(Kind.READ, new Budget(1, 9_999, 3_000_000, 1e6, List.of())), false, 1e9, 0, 3);
        assertEquals(
                List.of(8.0, 9_995.0, 100.0),
                List.of(
                        (double) excessiveBelow.call().attempts(),
                        excessiveBelow.call().deadline(),
                        excessiveBelow.call().value()));
        for (Kind kind : List.of(Kind.MISSING, Kind.UNREADABLE, Kind.FORGED)) {
            assertEquals(
                    1,
                    store.admit(0, new Found<>(kind, null), false, 900, 0, 3)
                            .call()
                            .attempts());
            assertEquals(1, store.headerCounts().get(kind));
        }
    }

    @Test
    void boundsTheNumberOfBudgets() {
        AttemptBudgets store = new AttemptBudgets(settings(true, 1, 3), RENDER, 1);
        List<Admission> open = new ArrayList<>();
        for (long grant = 0; grant < 3; grant++) {
            open.add(store.admit(0, carriedHeader(grant, 4, 900), false, 900, 0, 1));
        }
        assertEquals(
                Refusal.FULL,
                store.admit(1, carriedHeader(9, 4, 900), false, 900, 0, 1).refusal());
        store.close(open.get(1).call(), true);
        // The call is closed, but another call of the same grant may follow until its deadline.
        assertEquals(
                Refusal.FULL,
                store.admit(2, carriedHeader(9, 4, 900), false, 900, 0, 1).refusal());
        assertNull(store.admit(896, carriedHeader(9, 4, 900), false, 900, 0, 1).refusal());
        assertEquals(3, store.size());
    }

    /** Clients whose requests have been answered must not fill the table of budgets. */
    @Test
    void remembersNoBudgetOfCallsWithoutOne() {
        AttemptBudgets front = new AttemptBudgets(settings(false, 1, 2), FRONT, 1);
        for (int i = 0; i < 100; i++) {
            Admission client = arriveFromClient(front, i);
            assertNotNull(client.call());
            front.onAttemptFinished(front.grant(client.call(), i, true, 0), null, true);
            front.close(client.call(), false);
        }
        assertEquals(0, front.size());
    }

    @Test
    void identifiesALoopIndependentlyOfItsStart() {
        LoopDetector detector = new LoopDetector(2);
        assertTrue(detector.isNew(List.of(1L, 2L, 3L, 1L)));
        assertFalse(detector.isNew(List.of(9L, 2L, 3L, 1L, 2L)));
        assertEquals(2, detector.calls(List.of(3L, 1L, 2L, 3L)));
        assertTrue(detector.isNew(List.of(4L, 4L)));
        assertTrue(detector.isNew(List.of(1L, 3L, 2L, 1L)), "the reverse order is another loop");
        assertEquals(0, detector.calls(List.of(1L, 2L, 3L, 1L)), "the oldest loop was evicted");
    }

    @Test
    void countsAPauseAsWaitingTimeOfUnreadCalls() {
        PauseDetector detector = new PauseDetector(20, 0);
        for (double now = 20; now <= 100; now += 20) {
            detector.tick(now + 5);
            assertEquals(0, detector.waitedMs(now + 15));
        }
        // Calls read before and after the late tick that follows a pause of 900 ms.
        assertEquals(880, detector.waitedMs(1_005));
        detector.tick(1_005);
        assertEquals(880, detector.waitedMs(1_007));
        assertEquals(0, detector.waitedMs(1_015));
        detector.tick(1_025);
        assertEquals(0, detector.waitedMs(1_027));
    }

    @Test
    void learnsTheMinimumTimeAndLetsItDecay() {
        MinimumTime minimumTime = new MinimumTime();
        java.util.SplittableRandom random = new java.util.SplittableRandom(5);
        for (int i = 0; i < 19; i++) {
            minimumTime.recordServed(i, 100);
            assertEquals(0, minimumTime.value(i), "too few samples");
        }
        for (int i = 0; i < 5_000; i++) {
            minimumTime.recordServed(i, 20 + 100 * random.nextDouble());
        }
        double value = minimumTime.value(5_000);
        assertTrue(value > 18 && value < 35, "quantile 0.05 of 20 to 120 ms: " + value);
        assertEquals(minimumTime.value(4_999) / 2, minimumTime.value(6_999), 0.01);
    }
}

package sablehinge.dataplane.proxy;

import java.util.List;
import sablehinge.dataplane.budget.AttemptBudgets;
import sablehinge.policy.LoadBalancer;

/**
 * Whether a request is taken in, before it reaches the module. What is refused here has not run, so that its caller may
 * try again without harm.
 */
final class RequestAdmission {

    /** Null where budgets are off. */
    private ChainBudgets budgets;

    /**
     * What becomes of an arrival.
     *
     * @param arrival as it is taken in, by its budget perhaps with an earlier deadline
     * @param budget null where budgets are off, or where it is refused
     * @param refusal null where it is taken in
     */
    record Decision(Arrival arrival, AttemptBudgets.Call budget, Answer refusal) {

        private static Decision refused(Arrival arrival, Answer answer) {
            return new Decision(arrival, null, answer);
        }
    }

    /** Switches budgets on for what arrives from now on. */
    void setBudgets(ChainBudgets chainBudgets) {
        budgets = chainBudgets;
    }

    /** Decides on an arrival, while so many requests are at work. */
    Decision decide(double now, Version version, Arrival arrival, int open) {
        LoadBalancer.Limits limits = version.settings().limits();
        if (open >= limits.maxOpen()) {
            // So many are at work that the module isn't consulted.
            return Decision.refused(arrival, new Answer(Answer.Kind.REFUSED, Payload.NONE, retryAfter(limits)));
        }
        if (budgets == null || arrival.budget() == null) {
            return new Decision(arrival, null, null);
        }
        double value = version.settings().classes().get(arrival.serviceClass()).value();
        AttemptBudgets.Admission admission = budgets.attemptBudgets.admit(
                now, arrival.budget(), budgets.entry, arrival.deadline() - now, budgets.waited(now), value);
        AttemptBudgets.Call call = admission.call();
        if (call == null) {
            return Decision.refused(arrival, withoutBudget(admission, limits));
        }
        if (!budgets.admits(now, arrival, admission)) {
            return Decision.refused(arrival, shed(call, limits));
        }
        return new Decision(arrival.withDeadline(Math.min(arrival.deadline(), call.deadline())), call, null);
    }

    /** What has the least value is refused first, and another attempt elsewhere is no use: all are as busy. */
    private Answer shed(AttemptBudgets.Call call, LoadBalancer.Limits limits) {
        return new Answer(
                Answer.Kind.REFUSED,
                Payload.NONE,
                retryAfter(limits),
                budgets.attemptBudgets.close(call, false),
                List.of());
    }

    private Answer withoutBudget(AttemptBudgets.Admission admission, LoadBalancer.Limits limits) {
        if (admission.refusal() == AttemptBudgets.Refusal.LOOP) {
            budgets.looped(admission.path());
            return new Answer(Answer.Kind.LOOP, Payload.NONE, 0, admission.report(), admission.path());
        }
        boolean full = admission.refusal() == AttemptBudgets.Refusal.FULL;
        return new Answer(
                Answer.Kind.REFUSED, Payload.NONE, full ? retryAfter(limits) : 0, admission.report(), List.of());
    }

    /** After how many s a caller that is refused may try again; 0 where nothing is said of it. */
    private static double retryAfter(LoadBalancer.Limits limits) {
        return limits.retryAfter() ? limits.maxRetryAfter() : 0;
    }
}

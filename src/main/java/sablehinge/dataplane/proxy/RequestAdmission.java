package sablehinge.dataplane.proxy;

import java.util.List;
import sablehinge.dataplane.budget.AttemptBudgets;
import sablehinge.policy.LoadBalancer;

/**
 * Admission control for requests before they reach the module. A request that is rejected here has not run, so the
 * client can retry it safely.
 */
final class RequestAdmission {

    /** Null if budgets are off. */
    private ChainBudgets budgets;

    /**
     * The admission decision for a request.
     *
     * @param arrival the request as admitted; its budget may have moved its deadline forward
     * @param budget null if budgets are off or the request is rejected
     * @param refusal null if the request is admitted
     */
    record Decision(Arrival arrival, AttemptBudgets.Call budget, Answer refusal) {

        private static Decision rejected(Arrival arrival, Answer answer) {
            return new Decision(arrival, null, answer);
        }
    }

    /** Enables budgets for requests that arrive from now on. */
    void setBudgets(ChainBudgets chainBudgets) {
        budgets = chainBudgets;
    }

    /** Decides whether to admit a request while {@code open} requests are in flight. */
    Decision decide(double now, Version version, Arrival arrival, int open) {
        LoadBalancer.Limits limits = version.settings().limits();
        if (open >= limits.maxOpen()) {
            // At the limit of requests in flight, the module is not consulted.
            return Decision.rejected(arrival, new Answer(Answer.Kind.REFUSED, Payload.NONE, retryAfter(limits)));
        }
        if (budgets == null || arrival.budget() == null) {
            return new Decision(arrival, null, null);
        }
        double value = version.settings().classes().get(arrival.serviceClass()).value();
        AttemptBudgets.Admission admission = budgets.attemptBudgets.admit(
                now, arrival.budget(), budgets.entry, arrival.deadline() - now, budgets.pausedMs(now), value);
        AttemptBudgets.Call call = admission.call();
        if (call == null) {
            return Decision.rejected(arrival, rejectByBudget(admission, limits));
        }
        if (!budgets.admits(now, arrival, admission)) {
            return Decision.rejected(arrival, rejectByLoadShedding(call, limits));
        }
        return new Decision(arrival.withDeadline(Math.min(arrival.deadline(), call.deadline())), call, null);
    }

    /**
     * Load shedding rejects requests of the least value first. Retrying through another proxy is useless, as all are
     * equally loaded.
     */
    private Answer rejectByLoadShedding(AttemptBudgets.Call call, LoadBalancer.Limits limits) {
        return new Answer(
                Answer.Kind.REFUSED,
                Payload.NONE,
                retryAfter(limits),
                budgets.attemptBudgets.close(call, false),
                List.of());
    }

    private Answer rejectByBudget(AttemptBudgets.Admission admission, LoadBalancer.Limits limits) {
        if (admission.refusal() == AttemptBudgets.Refusal.LOOP) {
            budgets.reportLoop(admission.path());
            return new Answer(Answer.Kind.LOOP, Payload.NONE, 0, admission.report(), admission.path());
        }
        boolean full = admission.refusal() == AttemptBudgets.Refusal.FULL;
        return new Answer(
                Answer.Kind.REFUSED, Payload.NONE, full ? retryAfter(limits) : 0, admission.report(), List.of());
    }

    /** When a rejected client may retry; 0 if the settings give no advice. */
    private static double retryAfter(LoadBalancer.Limits limits) {
        return limits.retryAfter() ? limits.maxRetryAfter() : 0;
    }
}

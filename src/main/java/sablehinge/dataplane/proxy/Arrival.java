package sablehinge.dataplane.proxy;

import sablehinge.common.eventloop.Clock;
import sablehinge.dataplane.budget.Budget;
import sablehinge.dataplane.budget.HeaderText;
import sablehinge.policy.LoadBalancer.Request;

/**
 * A request as read by a front end, before the proxy assigns its number.
 *
 * @param serviceClass index into the classes of the version under which it arrived
 * @param tenant index into the tenants of that version
 * @param key key shared by related requests; 0 for none
 * @param deadline when the client stops waiting, in ms of the {@link Clock}
 * @param cost expected work in ms of a standard core; 0 if unknown
 * @param retry whether the client marked the request as a retry
 * @param write whether the request may change state
 * @param budget attempt budget; null if budgets are off
 * @param maxAttempts the number of servers that the request may reach; 0 for the limit of the version
 */
public record Arrival(
        int serviceClass,
        int tenant,
        long key,
        double deadline,
        double cost,
        boolean retry,
        boolean write,
        HeaderText.Found<Budget> budget,
        int maxAttempts) {

    /** Creates a request without a budget. */
    public Arrival(int serviceClass, int tenant, long key, double deadline, double cost, boolean retry, boolean write) {
        this(serviceClass, tenant, key, deadline, cost, retry, write, null, 0);
    }

    Arrival withDeadline(double earlierDeadline) {
        return new Arrival(serviceClass, tenant, key, earlierDeadline, cost, retry, write, budget, maxAttempts);
    }

    /** Returns a copy with an attempt budget. */
    public Arrival withBudget(HeaderText.Found<Budget> newBudget) {
        return new Arrival(serviceClass, tenant, key, deadline, cost, retry, write, newBudget, maxAttempts);
    }

    /** Returns a copy that may reach at most the given number of servers. */
    public Arrival withMaxAttempts(int newMaxAttempts) {
        return new Arrival(serviceClass, tenant, key, deadline, cost, retry, write, budget, newMaxAttempts);
    }

    Request withId(long id, int maxSends) {
        return new Request(id, serviceClass, tenant, key, deadline, cost, retry, write, maxSends);
    }
}

package sablehinge.dataplane.proxy;

import sablehinge.common.eventloop.Clock;
import sablehinge.dataplane.budget.Budget;
import sablehinge.dataplane.budget.HeaderText;
import sablehinge.policy.LoadBalancer.Request;

/**
 * A request as a front has read it, before core gives it its number.
 *
 * @param serviceClass index into the classes of the version under which it arrived
 * @param tenant index into the tenants of that version
 * @param key what ties requests together; 0 for none
 * @param deadline when its caller gives up, in ms of the {@link Clock}
 * @param cost expected work in ms of a standard core; 0 where not known
 * @param retry whether its caller marked it as a repeat
 * @param write whether it changes something
 * @param budget its attempt budget; null where budgets are off
 * @param maxAttempts the most servers that it may reach; 0 for as many as the version's limits allow
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

    /** A request where budgets are off. */
    public Arrival(int serviceClass, int tenant, long key, double deadline, double cost, boolean retry, boolean write) {
        this(serviceClass, tenant, key, deadline, cost, retry, write, null, 0);
    }

    Arrival withDeadline(double earlierDeadline) {
        return new Arrival(serviceClass, tenant, key, earlierDeadline, cost, retry, write, budget, maxAttempts);
    }

    /** The same with its attempt budget. */
    public Arrival withBudget(HeaderText.Found<Budget> newBudget) {
        return new Arrival(serviceClass, tenant, key, deadline, cost, retry, write, newBudget, maxAttempts);
    }

    /** The same, which may reach so many servers at most. */
    public Arrival withMaxAttempts(int newMaxAttempts) {
        return new Arrival(serviceClass, tenant, key, deadline, cost, retry, write, budget, newMaxAttempts);
    }

    Request withId(long id, int sends) {
        return new Request(id, serviceClass, tenant, key, deadline, cost, retry, write, sends);
    }
}

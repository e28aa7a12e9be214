package sablehinge.dataplane.proxy;

import java.util.List;
import java.util.function.Consumer;
import sablehinge.common.eventloop.Clock;
import sablehinge.common.eventloop.Timers;
import sablehinge.dataplane.budget.AttemptBudgets;
import sablehinge.dataplane.budget.BudgetSettings;
import sablehinge.dataplane.budget.LoadShedder;
import sablehinge.dataplane.budget.LoopDetector;
import sablehinge.dataplane.budget.MinimumTime;
import sablehinge.dataplane.budget.PauseDetector;
import sablehinge.dataplane.budget.Report;
import sablehinge.policy.LoadBalancer;
import sablehinge.policy.LoadBalancer.Result;

/** Attempt budgets, load shedding and loop detection at one hop of a chain of services. */
public final class ChainBudgets {

    private static final int MAX_LOOPS = 64;

    final AttemptBudgets attemptBudgets;
    final MinimumTime minimumTime = new MinimumTime();
    /** Whether this hop is the entry of the chain: budgets sent by external clients are ignored. */
    final boolean entry;

    private static final double TICK_MS = 20;
    /** An attempt that ends after more than this share of its time is counted as a sign of overload. */
    private static final double LATE_SHARE_OF_TIME = 0.8;

    /** Null if load shedding is off. */
    private final LoadShedder shedder;

    private PauseDetector pauses;
    private final LoopDetector loops = new LoopDetector(MAX_LOOPS);
    private final Consumer<String> report;

    /**
     * Creates the budgets of a hop that represents a service.
     *
     * @param shedding settings of load shedding by value; null to switch it off
     * @param report receives lines for operators
     */
    public ChainBudgets(
            BudgetSettings settings,
            LoadShedder.Settings shedding,
            long service,
            boolean entry,
            long seed,
            Consumer<String> report) {
        shedder = shedding == null ? null : new LoadShedder(shedding, seed);
        attemptBudgets = new AttemptBudgets(settings, service, seed);
        this.entry = entry;
        this.report = report;
    }

    void start(Timers timers, Clock clock) {
        pauses = new PauseDetector(TICK_MS, clock.now());
        tick(timers, clock);
    }

    private void tick(Timers timers, Clock clock) {
        pauses.tick(clock.now());
        timers.at(clock.now() + TICK_MS, () -> tick(timers, clock));
    }

    double pausedMs(double now) {
        return pauses.waitedMs(now);
    }

    /** Whether load shedding lets an admitted call proceed, by its value compared with the calls of all callers. */
    boolean admits(double now, Arrival arrival, AttemptBudgets.Admission admission) {
        if (shedder == null) {
            return true;
        }
        // The direct caller: the previous service of the path, or the tenant at the entry.
        String caller = admission.path().size() < 2
                ? "tenant " + arrival.tenant()
                : Long.toHexString(admission.path().get(admission.path().size() - 2));
        return shedder.admits(now, caller, admission.call().value(), arrival.cost() > 0 ? arrival.cost() : 1);
    }

    /** Records the end of an attempt: a late end or a rejection by a full server is a sign of overload. */
    private void recordAttemptEnd(double now, double sentAt, double deadline, Result result) {
        if (result == Result.OK) {
            minimumTime.recordServed(now, now - sentAt);
        }
        boolean late = result == Result.FULL || now - sentAt > LATE_SHARE_OF_TIME * (deadline - sentAt);
        if (shedder != null && (late || result == Result.OK)) {
            shedder.recordLoad(now, late);
        }
    }

    /** Grants the next attempt a part of the request's budget; null if the budget is used up. */
    AttemptBudgets.Grant grantAttempt(Exchange exchange, double now) {
        return attemptBudgets.grant(exchange.budget, now, mayRepeat(exchange), minimumTime.value(now));
    }

    /** Settles the grant of an attempt that has ended, whether it was sent or not. */
    void attemptFinished(double now, SentAttempt sent, AttemptResult result) {
        Exchange exchange = sent.exchange;
        AttemptBudgets.Grant grant = sent.number < exchange.grants.size() ? exchange.grants.get(sent.number) : null;
        if (grant == null) {
            return;
        }
        if (result.result().neverRan()) {
            attemptBudgets.onAttemptNeverRan(grant);
        } else {
            attemptBudgets.onAttemptFinished(grant, result.spent(), result.result() == Result.OK);
        }
        if (result.result() != Result.NOT_SENT && result.result() != Result.CANCELLED) {
            recordAttemptEnd(now, Math.max(sent.sentAt, exchange.receivedAt), exchange.deadline, result.result());
        }
    }

    /**
     * Closes the budget of an answered request and returns what it has spent. A rejection promises that a retry is
     * safe.
     */
    Report close(Exchange exchange, Answer.Kind kind) {
        // A failed request may be retried if its class allows it.
        boolean mayRetry = kind == Answer.Kind.REFUSED || kind != Answer.Kind.SERVED && mayRepeat(exchange);
        return attemptBudgets.close(exchange.budget, mayRetry);
    }

    /** Closes the budget of a request that is removed. */
    void close(Exchange exchange) {
        attemptBudgets.close(exchange.budget, false);
    }

    /** Whether the class of a request lets it run more than once. */
    private static boolean mayRepeat(Exchange exchange) {
        return exchange.version.settings().classes().get(exchange.serviceClass).repeat()
                != LoadBalancer.Repeat.AT_MOST_ONCE;
    }

    /** Logs a call that returned to this service, once for each distinct loop. */
    void reportLoop(List<Long> path) {
        if (loops.isNew(path)) {
            report.accept("call loop detected: " + formatPath(path) + "; upstreams of "
                    + (path.size() < 2 ? "the first service" : Long.toHexString(path.get(path.size() - 2)))
                    + " call back into this service");
        }
    }

    /** Formats a path for logs and headers. */
    public static String formatPath(List<Long> path) {
        return String.join(" > ", path.stream().map(Long::toHexString).toList());
    }
}

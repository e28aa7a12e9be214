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

/** The budgets of a chain of tiers at this hop, where they are switched on. */
public final class ChainBudgets {

    private static final int MAX_LOOPS = 64;

    final AttemptBudgets attemptBudgets;
    final MinimumTime least = new MinimumTime();
    /** Whether it is clients of outside that call here, whose word on budgets counts for nothing. */
    final boolean entry;

    private static final double TICK_MS = 20;
    /** Share of the time of an attempt after which its end is a sign of too much work. */
    private static final double LATE = 0.8;

    /** Null where no load is shed here. */
    private final LoadShedder shedder;

    private PauseDetector pauses;
    private final LoopDetector loops = new LoopDetector(MAX_LOOPS);
    private final Consumer<String> report;

    /**
     * The budgets of a hop that stands for a service.
     *
     * @param shed how load is shed by value; null for not at all
     * @param report takes a line for operators
     */
    public ChainBudgets(
            BudgetSettings terms,
            LoadShedder.Settings shed,
            long service,
            boolean entry,
            long seed,
            Consumer<String> report) {
        shedder = shed == null ? null : new LoadShedder(shed, seed);
        attemptBudgets = new AttemptBudgets(terms, service, seed);
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

    double waited(double now) {
        return pauses.waitedMs(now);
    }

    /** Whether a call that was taken in may go on, by its value among those of all callers. */
    boolean admits(double now, Arrival arrival, AttemptBudgets.Admission admission) {
        if (shedder == null) {
            return true;
        }
        // Who called last: the service before this one, or at the entry the tenant.
        String caller = admission.path().size() < 2
                ? "tenant " + arrival.tenant()
                : Long.toHexString(admission.path().get(admission.path().size() - 2));
        return shedder.admits(now, caller, admission.call().value(), arrival.cost() > 0 ? arrival.cost() : 1);
    }

    /** How an attempt ended: what is late, or was rejected by a full server, is a sign of overload. */
    private void ended(double now, double sentAt, double deadline, Result result) {
        if (result == Result.OK) {
            least.recordServed(now, now - sentAt);
        }
        boolean late = result == Result.FULL || now - sentAt > LATE * (deadline - sentAt);
        if (shedder != null && (late || result == Result.OK)) {
            shedder.recordLoad(now, late);
        }
    }

    /** What the next attempt of a request may take of its budget; null if that is used up. */
    AttemptBudgets.Grant take(Exchange exchange, double now) {
        return attemptBudgets.grant(exchange.budget, now, mayRepeat(exchange), least.value(now));
    }

    /** An attempt is over, whether it went out or not: its grant is settled. */
    void attemptFinished(double now, SentAttempt sent, AttemptResult end) {
        Exchange exchange = sent.exchange;
        AttemptBudgets.Grant grant = sent.number < exchange.grants.size() ? exchange.grants.get(sent.number) : null;
        if (grant == null) {
            return;
        }
        if (end.result().neverRan()) {
            attemptBudgets.onAttemptNeverRan(grant);
        } else {
            attemptBudgets.onAttemptFinished(grant, end.spent(), end.result() == Result.OK);
        }
        if (end.result() != Result.NOT_SENT && end.result() != Result.CANCELLED) {
            ended(now, Math.max(sent.at, exchange.endedAt), exchange.deadline, end.result());
        }
    }

    /** A request is answered; what it has spent. A refusal promises that another try is harmless. */
    Report close(Exchange exchange, Answer.Kind kind) {
        // A failure may be tried again where its class may.
        boolean again = kind == Answer.Kind.REFUSED || kind != Answer.Kind.SERVED && mayRepeat(exchange);
        return attemptBudgets.close(exchange.budget, again);
    }

    /** A request is forgotten. */
    void close(Exchange exchange) {
        attemptBudgets.close(exchange.budget, false);
    }

    /** Whether the class of a request lets it run more than once. */
    private static boolean mayRepeat(Exchange exchange) {
        return exchange.version.settings().classes().get(exchange.serviceClass).repeat()
                != LoadBalancer.Repeat.AT_MOST_ONCE;
    }

    /** A call has come back to this service: logged once a loop. */
    void looped(List<Long> path) {
        if (loops.isNew(path)) {
            report.accept("a loop of calls: " + formatPath(path) + "; what "
                    + (path.size() < 2 ? "came first" : Long.toHexString(path.get(path.size() - 2)))
                    + " sends to comes back here");
        }
    }

    /** A path as it is shown. */
    public static String formatPath(List<Long> path) {
        return String.join(" > ", path.stream().map(Long::toHexString).toList());
    }
}

package sablehinge.core;

import java.util.List;
import java.util.function.Consumer;
import sablehinge.budget.LeastTime;
import sablehinge.budget.LoopWatch;
import sablehinge.budget.Purses;
import sablehinge.budget.Terms;

/** The budgets of a chain of tiers at this hop, where they are switched on. */
public final class ChainBudgets {

    private static final int MOST_LOOPS = 64;

    final Purses purses;
    final LeastTime least = new LeastTime();
    /** Whether it is clients of outside that call here, whose word on budgets counts for nothing. */
    final boolean entry;
    private final LoopWatch loops = new LoopWatch(MOST_LOOPS);
    private final Consumer<String> report;

    /** The budgets of a hop that stands for a service; {@code report} takes a line for operators. */
    public ChainBudgets(Terms terms, long service, boolean entry, long seed, Consumer<String> report) {
        purses = new Purses(terms, service, seed);
        this.entry = entry;
        this.report = report;
    }

    /** A call has come back to this service: told once a loop. */
    void looped(List<Long> path) {
        if (loops.isNew(path)) {
            report.accept("a loop of calls: " + text(path) + "; what " + (path.size() < 2 ? "came first"
                    : Long.toHexString(path.get(path.size() - 2))) + " sends to comes back here");
        }
    }

    /** A path as it is shown. */
    public static String text(List<Long> path) {
        return String.join(" > ", path.stream().map(Long::toHexString).toList());
    }
}

package sablehinge.watermaster;

import java.util.concurrent.atomic.LongAdder;

/** What the schedules came to: without work there is nothing to check. */
final class Tally {

    final LongAdder schedules = new LongAdder();
    final LongAdder steps = new LongAdder();
    final LongAdder committed = new LongAdder();
    final LongAdder acknowledged = new LongAdder();
    final LongAdder changes = new LongAdder();
    final LongAdder terms = new LongAdder();

    void add(Weir weir) {
        schedules.increment();
        steps.add(weir.done());
        committed.add(weir.committed.size());
        acknowledged.add(weir.claims.acknowledged());
        changes.add(weir.changes);
        terms.add(weir.leaders.size());
    }
}

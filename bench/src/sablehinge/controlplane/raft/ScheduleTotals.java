package sablehinge.controlplane.raft;

import java.util.concurrent.atomic.LongAdder;

/** What the schedules came to: without work there is nothing to check. */
final class ScheduleTotals {

    final LongAdder schedules = new LongAdder();
    final LongAdder steps = new LongAdder();
    final LongAdder committed = new LongAdder();
    final LongAdder acknowledged = new LongAdder();
    final LongAdder changes = new LongAdder();
    final LongAdder timing = new LongAdder();
    /** Schedules that lost more at once than the core is to bear, so that nothing was required of their calm. */
    final LongAdder beyond = new LongAdder();

    void add(SteppedCluster cluster) {
        schedules.increment();
        steps.add(cluster.done());
        committed.add(cluster.committed.size());
        acknowledged.add(cluster.claims.acknowledged());
        changes.add(cluster.memberChanges);
        timing.add(cluster.leaders.size());
        beyond.add(cluster.isBeyond() ? 1 : 0);
    }
}

package sablehinge.controlplane.raft;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sablehinge.controlplane.raft.SimulatedCluster.Machine;

/**
 * Holds that a change of the voters is carried by those that are voters after it: when a leader appends it, a majority
 * of them has on disk what the leader had committed some questions before. With less, the loss of one more disk ends a
 * core that has stated to bear it, for as long as the others take to catch up.
 */
final class CarriedChanges {

    /** A leader that looks at its clock after so long asks its peers something, ms. */
    private static final double ASKS = RaftConfig.defaults().heartbeatIntervalMs();
    /**
     * A voter counts as caught up by the latest question or the one before, and both may be one look older than the
     * change.
     */
    private static final int LOOKS = 3;

    /** What a machine had applied when it last looked at its clock, the oldest look first, in one incarnation. */
    private static final class Looks {
        private long incarnation = -1;
        private long term;
        private double last;
        private final long[] applied = new long[LOOKS];
    }

    private final Map<String, Looks> looks = new HashMap<>();

    /** A machine is about to look at its clock. */
    void ticks(Machine machine) {
        if (!machine.leads()) {
            return;
        }
        Looks its = looks.computeIfAbsent(machine.address, address -> new Looks());
        double now = machine.clock();
        if (its.incarnation != machine.incarnation || its.term != machine.raftStatus.term()) {
            its.incarnation = machine.incarnation;
            its.term = machine.raftStatus.term();
            Arrays.fill(its.applied, 0);
            its.last = now;
        } else if (now - its.last >= ASKS) {
            System.arraycopy(its.applied, 1, its.applied, 0, LOOKS - 1);
            its.applied[LOOKS - 1] = machine.applied;
            its.last = now;
        }
    }

    /** A leader has appended a list. */
    void check(SimulatedCluster cluster, Machine leader, List<Member> list) {
        Looks its = looks.get(leader.address);
        if (its == null
                || its.incarnation != leader.incarnation
                || its.term != leader.raftStatus.term()
                || its.applied[0] == 0) {
            return;
        }
        Entry entry = cluster.committed.get((int) its.applied[0] - 1);
        int on = cluster.disksWith(entry, list);
        cluster.check(
                on > list.size() / 2,
                leader,
                () -> "a change to " + list.size() + " voters of which " + on + " have entry " + entry.index()
                        + ", committed long before");
    }
}

package sablehinge.controlplane.raft;

import sablehinge.controlplane.raft.SimulatedCluster.Machine;

/**
 * A time in which nothing goes wrong. All machines run (a process that was ordered to end has ended, and is back),
 * nothing is cut, all writes end and all messages arrive. Within a bounded time one machine leads, the core has as many
 * voters as the losses that it is to bear ask for, every running machine holds all that is committed, and an order is
 * taken.
 */
final class Calm {

    /** What a breach of progress begins with. */
    static final String LIVENESS = "liveness: ";

    /** Between two looks, ms; time passes for all. */
    private static final int STEP_MS = 50;
    /** Within how long the core must be complete, ms. */
    private static final int BOUND = 20_000;
    /** Messages and writes between two looks; what is left waits for the next. */
    private static final int MAX_MOVES = 600;

    private final SteppedCluster cluster;

    Calm(SteppedCluster cluster) {
        this.cluster = cluster;
    }

    /**
     * Lets time pass until the core is complete; fails if it is not within the bound, unless more was lost at once than
     * it is to bear.
     */
    void await() {
        cluster.healAll();
        double end = cluster.now + (cluster.isBeyond() ? BOUND / 10 : BOUND);
        long before = -1;
        String missing = "";
        while (cluster.now < end) {
            startAll();
            flow();
            cluster.take(Step.pass(STEP_MS));
            flow();
            missing = missing();
            if (!missing.isEmpty()) {
                continue;
            }
            if (before >= 0 && cluster.claims.acknowledged() > before) {
                return;
            }
            before = before < 0 ? cluster.claims.acknowledged() : before;
            missing = "no order is taken";
            cluster.leader().propose();
        }
        if (cluster.isBeyond()) {
            return;
        }
        throw new AssertionError("seed " + cluster.seed + ", " + cluster.now + " ms: " + LIVENESS + missing + " after "
                + BOUND + " ms of calm: " + cluster.line());
    }

    private void startAll() {
        for (int i = 0; i < cluster.size(); i++) {
            cluster.endLeaving(i);
            cluster.start(cluster.machine(i));
        }
    }

    /** Messages and writes go on, one of each link and disk in turn, until there are none left. */
    private void flow() {
        int moves = 0;
        boolean moved = true;
        while (moved && moves < MAX_MOVES) {
            moved = false;
            for (int a = 0; a < cluster.size(); a++) {
                if (cluster.syncOne(a)) {
                    moved = true;
                    moves++;
                }
                for (int b = 0; b < cluster.size(); b++) {
                    if (!cluster.link(a, b).isEmpty()) {
                        cluster.take(new Step(Step.Kind.DELIVER, a, b, 0));
                        moved = true;
                        moves++;
                    }
                }
            }
        }
    }

    /** What the core lacks to be complete; empty if nothing. */
    private String missing() {
        Machine leader = null;
        for (int i = 0; i < cluster.size(); i++) {
            Machine machine = cluster.machine(i);
            if (!machine.up() || machine.raftStatus == null) {
                return machine.address + " does not run";
            }
            if (machine.leads()) {
                if (leader != null) {
                    return "two machines lead";
                }
                leader = machine;
            }
        }
        if (leader == null) {
            return "nobody leads";
        }
        int voters = leader.raftStatus.members().size();
        if (voters < voters()) {
            return voters + " voters of " + voters();
        }
        for (Member voter : leader.raftStatus.members()) {
            if (cluster.machines.get(voter.address()).self.id() != voter.id()) {
                return "a voter at " + voter.address() + " that lost its disk is not replaced";
            }
        }
        for (int i = 0; i < cluster.size(); i++) {
            Machine machine = cluster.machine(i);
            if (machine.applied < cluster.committed.size()) {
                return machine.address + " has applied " + machine.applied + " of " + cluster.committed.size();
            }
            if (!machine.raftStatus.members().equals(leader.raftStatus.members())) {
                return machine.address + " knows other voters than the leader";
            }
            boolean listed = leader.raftStatus.members().contains(machine.self);
            if (listed == (machine.raftStatus.role() == RaftStatus.Role.OUTSIDER)) {
                return machine.address + " takes itself for " + machine.raftStatus.role();
            }
        }
        return "";
    }

    /** Voters that bear the losses which the core is to bear, or as many as the machines allow. */
    private int voters() {
        int odd = cluster.size() - 1 + cluster.size() % 2;
        return Math.min(2 * cluster.tolerates() + 1, odd);
    }
}

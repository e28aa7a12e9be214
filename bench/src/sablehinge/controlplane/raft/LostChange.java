package sablehinge.controlplane.raft;

import sablehinge.controlplane.raft.SimulatedCluster.Machine;

/**
 * A schedule in which a follower takes commands and a change of the voters that their leader loses with its power, and
 * is cut off until the others have committed something else in their place and cut their logs to a snapshot that ends
 * before the change. What the follower had beyond the snapshot's end is void with it.
 */
final class LostChange {

    private static final int STEP_MS = 50;
    private static final int SHORT = 20;
    /** Rounds within which a newcomer has all that is committed. */
    private static final int SETTLES = 10;
    /** Rounds within which an unresponsive voter is about to be replaced, and then is. */
    private static final int WAITS = 30;

    private static final int MAX_COMMANDS = 4;
    /** Commands are proposed so long before an unresponsive voter may be replaced, ms of the leader's clock. */
    private static final double BEFORE = 60;

    private final Player player;
    private final SteppedCluster cluster;

    LostChange(Player player) {
        this.player = player;
        cluster = player.cluster;
    }

    /** Plays up to the moment at which the follower is back, if there are three voters. */
    void play() {
        player.elect();
        player.take(Step.of(Step.Kind.NEWCOMER, cluster.size()));
        for (int i = 0; i < SETTLES; i++) {
            player.take(Step.pass(STEP_MS));
            player.flow();
        }
        int first = player.leader();
        int[] others = player.followers(first);
        if (!cluster.machine(first).leads() || others.length != 2) {
            return;
        }
        int turn = player.random.nextInt(2);
        int behind = others[turn];
        int away = others[1 - turn];
        int commands = 1 + player.random.nextInt(MAX_COMMANDS);
        player.ways(Step.Kind.CUT, away);
        if (!appendChange(first, behind, away, commands)) {
            player.ways(Step.Kind.MEND, away);
            return;
        }
        player.ways(Step.Kind.CUT, behind);
        player.lose(first, behind);
        player.depose(first);
        player.ways(Step.Kind.MEND, away);
        cutShort(behind, commands);
        player.ways(Step.Kind.MEND, behind);
    }

    /** The leader has commands and a change in memory, the follower has them too; whether it came to that. */
    private boolean appendChange(int first, int behind, int away, int commands) {
        Machine leader = cluster.machine(first);
        double nearlyUnresponsive = cluster.timing.voterLostMs() - BEFORE;
        for (int i = 0; i < WAITS && leader.leads() && sinceLastMessageMs(leader, away) < nearlyUnresponsive; i++) {
            player.take(Step.pass(SHORT));
            player.flow();
        }
        for (int i = 0; i < commands; i++) {
            player.take(Step.of(Step.Kind.PROPOSE, first));
        }
        int before = cluster.committedMembers.size();
        for (int i = 0;
                i < WAITS && leader.leads() && leader.raftStatus.members().size() == before;
                i++) {
            player.take(Step.pass(SHORT));
            handOver(first, behind);
        }
        if (!leader.leads() || leader.raftStatus.members().size() == before) {
            return false;
        }
        handOver(first, behind);
        return true;
    }

    /** What is on the way between the two arrives; of their disks only the follower's takes anything. */
    private void handOver(int first, int behind) {
        boolean moved = true;
        while (moved) {
            moved = player.deliver(first, behind) | player.deliver(behind, first);
            moved |= player.chance(0.9) && player.sync(behind);
        }
    }

    private double sinceLastMessageMs(Machine leader, int of) {
        return leader.raft
                .metrics(leader.clock())
                .sinceLastMessageMs()
                .getOrDefault(cluster.machine(of).self.id(), Double.MAX_VALUE);
    }

    /** The others go on without the one, for fewer entries than it has, and keep none of them. */
    private void cutShort(int behind, int commands) {
        player.elect();
        int second = player.leader();
        if (second == behind || !cluster.machine(second).leads()) {
            return;
        }
        for (int i = player.random.nextInt(commands); i > 0; i--) {
            player.take(Step.of(Step.Kind.PROPOSE, second));
            player.flow();
        }
        player.take(Step.of(Step.Kind.COMPACT, second));
        player.take(Step.of(Step.Kind.FORGET, second));
    }
}

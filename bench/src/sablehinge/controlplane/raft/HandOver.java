package sablehinge.controlplane.raft;

/**
 * A schedule in which a leader that is ordered to end requests another to take over while an answer to its last
 * question is still on its way: the lease that it gave up must not come back with that answer.
 */
final class HandOver {

    private static final int HEARTBEAT = 115;

    private final Player player;

    HandOver(Player player) {
        this.player = player;
    }

    /** Plays up to the moment at which the successor leads and the late answer has come. */
    void play() {
        player.elect();
        int leader = player.leader();
        int[] others = player.followers(leader);
        if (!player.cluster.machine(leader).leads() || others.length != 2) {
            return;
        }
        int turn = player.random.nextInt(2);
        int successor = others[turn];
        int voter = others[1 - turn];
        player.take(Step.pass(HEARTBEAT));
        player.deliver(leader, voter);
        player.take(Step.of(Step.Kind.LEAVE, leader));
        exchange(leader, successor);
        exchange(successor, voter);
        while (player.deliver(voter, leader)) {
            continue;
        }
        exchange(successor, voter);
    }

    /** All that the first has for the second arrives, and the answers; both write what they have to. */
    private void exchange(int first, int second) {
        boolean moved = true;
        while (moved) {
            moved = player.deliver(first, second);
            moved |= player.sync(second);
            moved |= player.deliver(second, first);
            moved |= player.sync(first);
        }
    }
}

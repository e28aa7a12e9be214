package sablehinge.controlplane.raft;

/**
 * A schedule in which one follower's disk hangs although it answers its leader, and the other is cut off for so long
 * that a newcomer may take its place: then those that are left could commit nothing.
 */
final class SlowFollower {

    private static final int STEP_MS = 50;
    private static final int SETTLES = 10;
    /** Rounds within which an unresponsive voter would be replaced. */
    private static final int WAITS = 30;

    private static final int MAX_COMMANDS = 3;

    private final Player player;

    SlowFollower(Player player) {
        this.player = player;
    }

    /** Plays up to the moment at which both are back, if there are three voters. */
    void play() {
        player.elect();
        player.take(Step.of(Step.Kind.NEWCOMER, player.cluster.size()));
        for (int i = 0; i < SETTLES; i++) {
            player.take(Step.pass(STEP_MS));
            player.flow();
        }
        int leader = player.leader();
        int[] others = player.followers(leader);
        if (!player.cluster.machine(leader).leads() || others.length != 2) {
            return;
        }
        int turn = player.random.nextInt(2);
        int slow = others[turn];
        int away = others[1 - turn];
        for (int i = 1 + player.random.nextInt(MAX_COMMANDS); i > 0; i--) {
            player.take(Step.of(Step.Kind.PROPOSE, leader));
            player.flow(slow);
        }
        player.ways(Step.Kind.CUT, away);
        for (int i = 0; i < WAITS; i++) {
            player.take(Step.pass(STEP_MS));
            player.flow(slow);
        }
        player.ways(Step.Kind.MEND, away);
    }
}

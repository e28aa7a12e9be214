package sablehinge.controlplane.raft;

/**
 * A schedule in which a follower takes entries that their leader loses with its power before its own disk has them, and
 * is cut off while others lead one term after the other. When it is back its log parts from theirs below what they have
 * committed, and may hold more than it shares with them.
 */
final class Outrun {

    private static final int MAX_BEFORE = 3;
    private static final int MAX_ENTRIES = 4;
    private static final int MAX_TERMS = 3;

    private final Player player;

    Outrun(Player player) {
        this.player = player;
    }

    /** Plays up to the moment at which the follower is back. */
    void play() {
        player.elect();
        int first = player.leader();
        for (int i = player.random.nextInt(MAX_BEFORE); i > 0; i--) {
            player.take(Step.of(Step.Kind.PROPOSE, first));
            player.flow();
        }
        if (!player.cluster.machine(first).leads()) {
            return;
        }
        int size = player.cluster.size();
        int behind = (first + 1 + player.random.nextInt(size - 1)) % size;
        for (int i = 1 + player.random.nextInt(MAX_ENTRIES); i > 0; i--) {
            player.take(Step.of(Step.Kind.PROPOSE, first));
        }
        handOut(first, behind);
        player.ways(Step.Kind.CUT, behind);
        player.lose(first, behind);
        player.depose(first);
        for (int i = 1 + player.random.nextInt(MAX_TERMS); i > 0; i--) {
            player.elect();
            if (i > 1) {
                player.depose(player.leader());
            }
        }
        player.ways(Step.Kind.MEND, behind);
    }

    /** The one that will be behind has all the entries, the others some of them. */
    private void handOut(int first, int behind) {
        while (player.deliver(first, behind)) {
            if (player.chance(0.8)) {
                player.sync(behind);
            }
        }
        for (int other = 0; other < player.cluster.size(); other++) {
            int waiting =
                    other == behind ? 0 : player.cluster.link(first, other).size();
            for (int i = player.random.nextInt(waiting + 1); i > 0; i--) {
                player.deliver(first, other);
            }
            while (other != first && player.chance(0.9) && player.sync(other)) {
                continue;
            }
        }
    }
}

package sablehinge.controlplane.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import sablehinge.controlplane.raft.SimulatedCluster.Machine;

/** Takes steps in the cluster of a seed and keeps them, so that what breaks is a script. */
final class Player {

    private static final int STEP_MS = 30;
    private static final int ROUNDS = 80;
    private static final int MAX_MOVES = 200;
    /** Stands for no machine's disk. */
    private static final int NO_DISK = -1;

    final SteppedCluster cluster;
    final Random random;
    private final List<Step> steps = new ArrayList<>();

    Player(long seed) {
        cluster = new SteppedCluster(seed);
        random = new Random(seed * 7919 + 1);
    }

    Script script() {
        return new Script(cluster.seed, steps);
    }

    /** Whether something happens that does with a chance. */
    boolean chance(double part) {
        return random.nextDouble() < part;
    }

    void take(Step step) {
        steps.add(step);
        cluster.take(step);
    }

    /** The place of the leader of the latest term; of any machine if nobody leads. */
    int leader() {
        Machine leader = cluster.leader();
        for (int i = 0; i < cluster.size(); i++) {
            if (cluster.machine(i) == leader) {
                return i;
            }
        }
        return random.nextInt(cluster.size());
    }

    void power(int machine) {
        int waiting = cluster.isStarting(machine)
                ? 1
                : cluster.machine(machine).unsynced.size();
        take(new Step(Step.Kind.POWER, machine, 0, chance(0.6) ? 0 : random.nextInt(waiting + 1)));
    }

    /** Starts each machine that is down, with a chance. */
    void startSome(double part) {
        for (int i = 0; i < cluster.size(); i++) {
            if (!cluster.machine(i).up() && chance(part)) {
                take(Step.of(Step.Kind.START, i));
            }
        }
    }

    /** Cuts or mends all ways between one machine and the others. */
    void ways(Step.Kind kind, int one) {
        for (int other = 0; other < cluster.size(); other++) {
            for (int[] way : new int[][] {{one, other}, {other, one}}) {
                if (one != other && cluster.isCut(way[0], way[1]) == (kind == Step.Kind.MEND)) {
                    take(new Step(kind, way[0], way[1], 0));
                }
            }
        }
    }

    /** Lets time pass until a leader of a later term than the last has a commit of its own. */
    void elect() {
        long before = cluster.leaders.size();
        for (int i = 0; i < ROUNDS && !isLedSince(before); i++) {
            take(Step.pass(STEP_MS));
            flow();
        }
    }

    private boolean isLedSince(long before) {
        Machine leader = cluster.leader();
        return leader != null
                && cluster.leaders.size() > before
                && leader.applied > 0
                && cluster.committed.get((int) leader.applied - 1).term() == leader.raftStatus.term();
    }

    /** All writes and messages go on until there are none left, or no more may. */
    void flow() {
        flow(NO_DISK);
    }

    /** The same while one disk hangs, by its machine's place. */
    void flow(int hangs) {
        boolean moved = true;
        for (int moves = 0; moved && moves < MAX_MOVES; ) {
            moved = false;
            for (int a = 0; a < cluster.size(); a++) {
                if (a != hangs && sync(a)) {
                    moved = true;
                    moves++;
                }
                for (int b = 0; b < cluster.size(); b++) {
                    if (deliver(a, b)) {
                        moved = true;
                        moves++;
                    }
                }
            }
        }
    }

    /** The places of the voters beside one, as that one knows them. */
    int[] followers(int leader) {
        Machine machine = cluster.machine(leader);
        List<Member> voters = machine.raftStatus == null ? List.of() : machine.raftStatus.members();
        return IntStream.range(0, cluster.size())
                .filter(i -> i != leader && voters.contains(cluster.machine(i).self))
                .toArray();
    }

    /** What is on the way between two is lost. */
    void lose(int one, int other) {
        while (!cluster.link(one, other).isEmpty()) {
            take(new Step(Step.Kind.DROP, one, other, 0));
        }
        while (!cluster.link(other, one).isEmpty()) {
            take(new Step(Step.Kind.DROP, other, one, 0));
        }
    }

    /** A leader loses power and every write that was under way, and starts again. */
    void depose(int leader) {
        power(leader);
        take(Step.of(Step.Kind.START, leader));
    }

    /** The oldest write of a machine ends; false if it has none. */
    boolean sync(int machine) {
        boolean waits = cluster.isStarting(machine)
                || !cluster.machine(machine).unsynced.isEmpty();
        if (waits) {
            take(Step.of(Step.Kind.SYNC, machine));
        }
        return waits;
    }

    /** The oldest message from one to another arrives; false if there is none. */
    boolean deliver(int from, int to) {
        boolean waits = !cluster.link(from, to).isEmpty();
        if (waits) {
            take(new Step(Step.Kind.DELIVER, from, to, 0));
        }
        return waits;
    }
}

package sablehinge.controlplane.raft;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import sablehinge.controlplane.raft.SimulatedCluster.Machine;

/**
 * All orders of a few steps from a state in which a core of three is at work, each followed by a calm time in which
 * nobody or one of them is cut off. An order that comes to a state that was seen before, with as many steps to go, ends
 * there.
 */
final class EveryOrder {

    /** States from which orders begin. */
    enum From {
        /** The founders have started and nobody leads. */
        FOUNDED,
        /** One leads, and an operator's call and a heartbeat are on their way. */
        CALLED,
        /** One led whose entry reached nobody, another leads, and the first is back. */
        DEPOSED,
        /**
         * One led whose entry reached nobody, nor did that of the next; the first leads again, and the third is about
         * to sync the old entry.
         */
        OUTRUN,
        /** A member has lost its disk, and its successor is being let in. */
        REPLACED
    }

    private static final int HEARTBEAT = 110;
    private static final int ELECTION = 600;
    private static final int CALM_ROUNDS = 60;
    private static final int CALM_STEP_MS = 30;
    private static final int CALM_MOVES = 200;
    /** Faults and waits in an order, at most. */
    private static final int FAULTS = 2;

    private static final int WAITS = 2;

    private final From from;
    private final int depth;
    private final ScheduleTotals totals;
    private final Map<Long, Integer> seen = new HashMap<>();
    private List<Step> steps = new ArrayList<>();
    private SteppedCluster cluster;

    EveryOrder(From from, int depth, ScheduleTotals totals) {
        this.from = from;
        this.depth = depth;
        this.totals = totals;
    }

    /** Plays the orders from all states, each of so many steps; those that break something. */
    static List<Script> all(int depth, ScheduleTotals totals) {
        return Arrays.stream(From.values())
                .parallel()
                .map(from -> new EveryOrder(from, depth, totals).breaking())
                .filter(Objects::nonNull)
                .toList();
    }

    /** The first order that breaks something; null if none does. */
    Script breaking() {
        List<Integer> path = new ArrayList<>();
        do {
            try {
                play(path);
            } catch (AssertionError e) {
                return new Script(SteppedCluster.PLAIN, steps);
            } finally {
                totals.add(cluster);
            }
        } while (!path.isEmpty());
        return null;
    }

    /** Plays the order at a path, to its end, and leaves the path of the next one; none after the last. */
    private void play(List<Integer> path) {
        cluster = new SteppedCluster(SteppedCluster.PLAIN);
        steps = new ArrayList<>();
        begin();
        int faults = 0;
        int waits = 0;
        List<Integer> widths = new ArrayList<>();
        for (int at = 0; at <= depth; at++) {
            if (at == path.size()) {
                if (isSeen(depth - at, faults, waits)) {
                    next(path, widths);
                    return;
                }
                path.add(0);
            }
            if (at == depth) {
                break;
            }
            List<Step> choices = choices(faults < FAULTS, waits < WAITS);
            widths.add(choices.size());
            Step step = choices.get(path.get(at));
            faults += isFault(step) ? 1 : 0;
            waits += step.waits() ? 1 : 0;
            take(step);
        }
        // At last who is cut off in the calm after it: nobody, or one of them.
        widths.add(cluster.size() + 1);
        int apart = path.get(depth) - 1;
        next(path, widths);
        calm(apart);
        calm(-1);
    }

    private static void next(List<Integer> path, List<Integer> widths) {
        while (!path.isEmpty()) {
            int last = path.size() - 1;
            int choice = path.remove(last) + 1;
            if (choice < widths.get(last)) {
                path.add(choice);
                return;
            }
        }
    }

    private boolean isSeen(int left, int faults, int waits) {
        Fingerprint print = new Fingerprint()
                .add(faults)
                .add(waits)
                .add(cluster.now)
                .add(cluster.cuts)
                .add(cluster.committed)
                .add(cluster.leaders)
                .add(cluster.lostDisks)
                .add(cluster.createdEntries)
                .add(cluster.claims)
                .add(cluster.carried());
        for (int i = 0; i < cluster.size(); i++) {
            print.add(cluster.machine(i));
            for (int j = 0; j < cluster.size(); j++) {
                print.add(cluster.link(i, j));
            }
        }
        Integer before = seen.get(print.sum());
        if (before != null && before >= left) {
            return true;
        }
        seen.put(print.sum(), left);
        return false;
    }

    private static boolean isFault(Step step) {
        return switch (step.kind()) {
            case DROP, DOUBLE, POWER, WIPE, CUT -> true;
            default -> false;
        };
    }

    private List<Step> choices(boolean fault, boolean wait) {
        List<Step> choices = new ArrayList<>();
        for (int a = 0; a < cluster.size(); a++) {
            Machine machine = cluster.machine(a);
            for (int b = 0; b < cluster.size(); b++) {
                if (!cluster.link(a, b).isEmpty()) {
                    choices.add(new Step(Step.Kind.DELIVER, a, b, 0));
                    if (fault) {
                        choices.add(new Step(Step.Kind.DROP, a, b, 0));
                        choices.add(new Step(Step.Kind.DOUBLE, a, b, 0));
                    }
                }
                if (fault && a != b && !cluster.isCut(a, b)) {
                    choices.add(new Step(Step.Kind.CUT, a, b, 0));
                }
            }
            if (!machine.up()) {
                choices.add(Step.of(Step.Kind.START, a));
                continue;
            }
            if (!machine.unsynced.isEmpty()) {
                choices.add(Step.of(Step.Kind.SYNC, a));
            }
            if (fault) {
                choices.add(new Step(Step.Kind.POWER, a, 0, 0));
                if (machine.unsynced.size() > 1) {
                    choices.add(new Step(Step.Kind.POWER, a, 0, 1));
                }
                if (cluster.isComplete()) {
                    choices.add(Step.of(Step.Kind.WIPE, a));
                }
            }
            if (wait) {
                choices.add(new Step(Step.Kind.TICK, a, 0, machine.leads() ? HEARTBEAT : ELECTION));
            }
        }
        return choices;
    }

    private void take(Step step) {
        steps.add(step);
        cluster.take(step);
    }

    private void begin() {
        for (int i = 0; i < cluster.size(); i++) {
            take(Step.of(Step.Kind.SYNC, i));
        }
        if (from == From.FOUNDED) {
            take(Step.pass(ELECTION));
            return;
        }
        int leader = led();
        if (from == From.CALLED) {
            take(Step.of(Step.Kind.PROPOSE, leader));
            take(Step.of(Step.Kind.BARRIER, leader));
        } else if (from == From.DEPOSED) {
            cut(leader, Step.Kind.CUT);
            take(Step.of(Step.Kind.PROPOSE, leader));
            flow();
            int next = led();
            cut(leader, Step.Kind.MEND);
            take(Step.of(Step.Kind.PROPOSE, next));
        } else if (from == From.OUTRUN) {
            outrun(leader);
        } else {
            int lost = (leader + 1) % cluster.size();
            take(Step.of(Step.Kind.PROPOSE, leader));
            flow();
            take(Step.of(Step.Kind.COMPACT, leader));
            take(Step.of(Step.Kind.WIPE, lost));
            take(Step.of(Step.Kind.START, lost));
            for (int i = 0; i < CALM_ROUNDS && cluster.memberChanges == 0; i++) {
                take(Step.pass(CALM_STEP_MS));
                if (cluster.memberChanges == 0) {
                    flow();
                }
            }
        }
    }

    private void outrun(int first) {
        cut(first, Step.Kind.CUT);
        take(Step.of(Step.Kind.PROPOSE, first));
        flow();
        int second = elected(first);
        take(Step.of(Step.Kind.SYNC, second));
        cut(second, Step.Kind.CUT);
        for (int other = 0; other < cluster.size(); other++) {
            while (!cluster.link(second, other).isEmpty()) {
                take(new Step(Step.Kind.DROP, second, other, 0));
            }
        }
        int third = cluster.size() - first - second;
        for (int[] link : new int[][] {{first, third}, {third, first}}) {
            take(new Step(Step.Kind.MEND, link[0], link[1], 0));
        }
        elected(second);
        while (cluster.machine(third).unsynced.stream()
                .allMatch(change -> change.append().isEmpty())) {
            take(new Step(Step.Kind.DELIVER, first, third, 0));
            take(new Step(Step.Kind.DELIVER, third, first, 0));
        }
    }

    /** Lets time pass until another than the last leads, and no longer. */
    private int elected(int last) {
        long before = cluster.leaders.size();
        for (int i = 0; i < CALM_ROUNDS && cluster.leaders.size() == before; i++) {
            take(Step.pass(CALM_STEP_MS));
            flow(before + 1);
        }
        int next = place(cluster.leader());
        if (next == last) {
            throw new IllegalStateException("nobody else leads: " + cluster.line());
        }
        return next;
    }

    /** Lets time pass until somebody leads whose term has a commit and whom a majority follows. */
    private int led() {
        long before = cluster.leaders.size();
        for (int i = 0; i < CALM_ROUNDS; i++) {
            take(Step.pass(CALM_STEP_MS));
            flow();
            Machine leader = cluster.leader();
            if (cluster.leaders.size() > before
                    && leader != null
                    && leader.applied > 0
                    && cluster.committed.get((int) leader.applied - 1).term() == leader.raftStatus.term()) {
                return place(leader);
            }
        }
        throw new IllegalStateException("nobody leads: " + cluster.line());
    }

    private int place(Machine machine) {
        for (int i = 0; i < cluster.size(); i++) {
            if (cluster.machine(i) == machine) {
                return i;
            }
        }
        throw new IllegalStateException(machine.address + " has no place");
    }

    private void cut(int one, Step.Kind kind) {
        for (int other = 0; other < cluster.size(); other++) {
            take(new Step(kind, one, other, 0));
            take(new Step(kind, other, one, 0));
        }
    }

    /** All writes and messages go on until there are none left. */
    private void flow() {
        flow(Long.MAX_VALUE);
    }

    /** They do until there have been so many leaders. */
    private void flow(long leaders) {
        int moves = 0;
        while (moves < CALM_MOVES && cluster.leaders.size() < leaders && moveOne(moves)) {
            moves++;
        }
    }

    /** Moves one, not of the same machine each time; false if there is none. */
    private boolean moveOne(int turn) {
        int size = cluster.size();
        for (int i = 0; i < size; i++) {
            int a = (turn + i) % size;
            if (cluster.machine(a).up() && !cluster.machine(a).unsynced.isEmpty()) {
                take(Step.of(Step.Kind.SYNC, a));
                return true;
            }
            for (int b = 0; b < size; b++) {
                if (!cluster.link(a, b).isEmpty()) {
                    take(new Step(Step.Kind.DELIVER, a, b, 0));
                    return true;
                }
            }
        }
        return false;
    }

    /** All come back, one is cut off or none; who leads then has two calls. */
    private void calm(int apart) {
        for (int a = 0; a < cluster.size(); a++) {
            for (int b = 0; b < cluster.size(); b++) {
                if (a != b && (a == apart || b == apart) != cluster.isCut(a, b)) {
                    take(new Step(cluster.isCut(a, b) ? Step.Kind.MEND : Step.Kind.CUT, a, b, 0));
                }
            }
            if (a != apart && !cluster.machine(a).up()) {
                take(Step.of(Step.Kind.START, a));
            }
        }
        long before = cluster.committed.size();
        for (int i = 0; i < CALM_ROUNDS && cluster.committed.size() < before + 2; i++) {
            take(Step.pass(CALM_STEP_MS));
            flow();
            for (int a = 0; a < cluster.size(); a++) {
                if (cluster.machine(a).leads()) {
                    take(Step.of(Step.Kind.PROPOSE, a));
                    take(Step.of(Step.Kind.BARRIER, a));
                }
            }
        }
        flow();
    }
}

package sablehinge.controlplane.raft;

import java.util.ArrayList;
import java.util.List;
import sablehinge.controlplane.raft.SimulatedCluster.Machine;

/**
 * A schedule by chance. It goes in spells, each of which has its own rate, links that lag, disks that hang, and
 * machines that are cut off; between two of them a machine or all lose power, one loses its disk, one comes in. What
 * comes how often is its {@link Focus}. At its end there is a calm in which all must heal.
 */
final class RandomScheduler {

    private static final int[] PACES = {5, 20, 50, 100};
    private static final int SPELLS = 10;
    /** Behind a beginning that leads somewhere there are fewer spells than this. */
    private static final int FEW_SPELLS = 4;
    /** The part of the schedules of a focus that have such a beginning. */
    private static final double LED = 0.1;

    private static final int MIN_LENGTH = 15;
    private static final int VARIES = 80;
    private static final int LONG_WAIT = 350;
    private static final int NEWCOMERS = 2;
    /** Rounds within which all hear of each other. */
    private static final int SETTLES = 4;
    /** Orders that an operator may send again. */
    private static final int ORDERS = 8;

    private final Player player;
    private final SteppedCluster cluster;
    private final Focus focus;
    private final boolean[] lags = new boolean[SteppedCluster.MAX * SteppedCluster.MAX];
    private final boolean[] hangs = new boolean[SteppedCluster.MAX];
    /** Who does nothing in this spell, though it may be called in its last moment; -1 for none. */
    private int frozen = -1;
    /** Whether every other spell is without troubles. */
    private boolean settles;

    private int newcomers;
    private double loss;
    private double overtaking;
    private double doubling;

    private RandomScheduler(long seed) {
        player = new Player(seed);
        cluster = player.cluster;
        focus = Focus.of(seed);
    }

    /** Plays the schedule of a seed; its script up to what breaks, or null. */
    static Script breaking(long seed, ScheduleTotals totals) {
        RandomScheduler scheduler = new RandomScheduler(seed);
        try {
            scheduler.go();
            return null;
        } catch (AssertionError e) {
            return scheduler.player.script();
        } finally {
            totals.add(scheduler.cluster);
        }
    }

    private boolean chance(double part) {
        return player.chance(part);
    }

    private int draw(int bound) {
        return player.random.nextInt(bound);
    }

    private void take(Step step) {
        player.take(step);
    }

    private void go() {
        loss = draw(3) * 0.04;
        overtaking = draw(3) * 0.05;
        doubling = draw(2) * 0.03;
        settles = chance(0.5);
        player.startSome(chance(0.5) ? 1 : 0.8);
        int spells = begin() ? draw(FEW_SPELLS) : SPELLS;
        for (int spell = 0; spell < spells; spell++) {
            spell(spell == 0 || settles && spell % 2 == 0);
            if (chance(0.75)) {
                fault();
            }
            player.startSome(0.6);
        }
        take(Step.of(Step.Kind.CALM, 0));
    }

    /** Leads to where a rare fault would bite, in some schedules; whether it did. */
    private boolean begin() {
        if (focus == Focus.OUTRUN) {
            new Outrun(player).play();
        } else if (focus == Focus.SNAPSHOTS && chance(LED)) {
            new LostChange(player).play();
        } else if (focus == Focus.MEMBERSHIP && chance(LED)) {
            new SlowFollower(player).play();
        } else if (focus == Focus.CUT_OFF && chance(LED)) {
            new HandOver(player).play();
        } else {
            return false;
        }
        return true;
    }

    private void spell(boolean calm) {
        int stepMs = PACES[draw(PACES.length)];
        double lagging = calm ? 0 : draw(3) * 0.15;
        double hanging = calm ? 0 : draw(3) * 0.15;
        frozen = calm || chance(0.8) ? -1 : player.leader();
        for (int i = 0; i < lags.length; i++) {
            lags[i] = chance(lagging);
        }
        for (int i = 0; i < hangs.length; i++) {
            hangs[i] = chance(hanging);
        }
        List<Step> cuts = calm || !chance(focus.cuts) ? List.of() : cuts();
        cuts.forEach(this::take);
        int rounds = MIN_LENGTH + draw(VARIES);
        if (!calm && focus == Focus.CUT_OFF && chance(0.15)) {
            // As long as it takes until a leader gives up for its disk.
            hangs[player.leader()] = true;
            rounds *= 3;
        }
        for (int i = rounds; i > 0; i--) {
            round(stepMs);
        }
        if (chance(0.7)) {
            cuts.forEach(cut -> take(new Step(Step.Kind.MEND, cut.a(), cut.b(), 0)));
        }
    }

    /** Cuts one machine off, in one direction or both, from one other or all. */
    private List<Step> cuts() {
        int one = chance(0.5) ? player.leader() : draw(cluster.size());
        int only = chance(focus.cutsFromOne) ? draw(cluster.size()) : -1;
        int way = draw(4);
        List<Step> cuts = new ArrayList<>();
        for (int other = 0; other < cluster.size(); other++) {
            if (other != one && (only < 0 || only == other)) {
                if (way != 0) {
                    cuts.add(new Step(Step.Kind.CUT, one, other, 0));
                }
                if (way != 1) {
                    cuts.add(new Step(Step.Kind.CUT, other, one, 0));
                }
            }
        }
        return cuts;
    }

    private void round(int stepMs) {
        double what = player.random.nextDouble();
        if (what < focus.calls) {
            call(focus.call(player.random));
        } else if (what < focus.calls + focus.waits || !moveOne()) {
            pass(stepMs);
        }
    }

    private void pass(int stepMs) {
        if (frozen >= 0) {
            take(new Step(Step.Kind.TICK, (frozen + 1) % cluster.size(), 0, stepMs));
            for (int i = 2; i < cluster.size(); i++) {
                take(new Step(Step.Kind.TICK, (frozen + i) % cluster.size(), 0, 0));
            }
        } else if (chance(0.75)) {
            take(Step.pass(stepMs));
        } else {
            take(new Step(Step.Kind.TICK, draw(cluster.size()), 0, chance(0.2) ? LONG_WAIT : stepMs));
        }
    }

    /** Calls who leads or thinks so, and sometimes any; a host may compact anywhere. */
    private void call(Step.Kind kind) {
        int from = draw(cluster.size());
        boolean anywhere = focus == Focus.ORDERS && chance(0.2)
                || kind == Step.Kind.CAPTURE
                || kind == Step.Kind.COMPACT
                || kind == Step.Kind.FORGET;
        for (int i = 0; i < cluster.size(); i++) {
            int at = (from + i) % cluster.size();
            Machine machine = cluster.machine(at);
            if (anywhere ? machine.applied > 0 && machine.up() : machine.leads()) {
                take(new Step(kind, at, 0, kind.numbered() ? draw(ORDERS) : 0));
                return;
            }
        }
    }

    /** A message or a write goes on; false if none may. */
    private boolean moveOne() {
        int size = cluster.size();
        int from = draw(size * size + size);
        for (int i = 0; i < size * size + size; i++) {
            int at = (from + i) % (size * size + size);
            if (at >= size * size) {
                int disk = at - size * size;
                if (!hangs[disk] && disk != frozen && player.sync(disk)) {
                    return true;
                }
            } else if (!cluster.link(at / size, at % size).isEmpty()
                    && !lags[at / size * SteppedCluster.MAX + at % size]
                    && at % size != frozen) {
                int waiting = cluster.link(at / size, at % size).size();
                Step.Kind kind =
                        chance(loss) ? Step.Kind.DROP : chance(doubling) ? Step.Kind.DOUBLE : Step.Kind.DELIVER;
                take(new Step(kind, at / size, at % size, chance(overtaking) ? draw(waiting) : 0));
                return true;
            }
        }
        return false;
    }

    private void fault() {
        int hit = chance(0.5) ? player.leader() : draw(cluster.size());
        switch (focus.fault(player.random)) {
            case POWER -> player.power(hit);
            case POWER_ALL -> {
                for (int i = 0; i < cluster.size(); i++) {
                    player.power(i);
                }
            }
            case WIPE -> {
                if (chance(0.5)) {
                    settle();
                }
                take(Step.of(Step.Kind.WIPE, hit));
            }
            case NEWCOMER -> newcomer();
            case LEAVE -> leave(hit);
            default -> {
                if (newcomers < NEWCOMERS) {
                    player.power(hit);
                }
                newcomer();
            }
        }
    }

    /** A process is ordered to end; when it may, it does, or loses power before. */
    private void leave(int machine) {
        take(Step.of(Step.Kind.LEAVE, machine));
        for (int i = 0; i < SETTLES; i++) {
            take(Step.pass(PACES[PACES.length - 1]));
            player.flow();
        }
        take(Step.of(Step.Kind.RETIRE, machine));
        player.power(machine);
    }

    /** Nothing is cut, and all hear of each other: then the loss of a disk is one that the core must bear. */
    private void settle() {
        for (int i = 0; i < cluster.size(); i++) {
            player.ways(Step.Kind.MEND, i);
        }
        player.startSome(1);
        for (int i = 0; i < SETTLES; i++) {
            take(Step.pass(PACES[PACES.length - 1]));
            player.flow();
        }
    }

    private void newcomer() {
        if (newcomers++ < NEWCOMERS) {
            take(Step.of(Step.Kind.NEWCOMER, cluster.size()));
        }
    }
}

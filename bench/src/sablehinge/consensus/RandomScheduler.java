package sablehinge.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import sablehinge.consensus.SimulatedCluster.Machine;

/**
 * A schedule by chance. It goes in spells, each of which has its own pace, links that lag, disks that hang,
 * and machines that are cut off; between two of them a machine or all lose power, one loses its disk, one
 * comes in.
 */
final class RandomScheduler {

    private static final int[] PACES = {5, 20, 50, 100};
    private static final int SPELLS = 14;
    private static final int SHORTEST = 15;
    private static final int VARIES = 80;
    private static final int LONG_WAIT = 350;
    private static final int NEWCOMERS = 2;

    private final SteppedCluster cluster;
    private final Random random;
    private final List<Step> steps = new ArrayList<>();
    private final boolean[] lags = new boolean[SteppedCluster.MOST * SteppedCluster.MOST];
    private final boolean[] hangs = new boolean[SteppedCluster.MOST];
    /** Who does nothing in this spell, though it may be called in its last moment; -1 for none. */
    private int frozen = -1;
    /** Whether every other spell is without troubles. */
    private boolean settles;
    private int newcomers;
    private double loss;
    private double overtaking;
    private double doubling;

    private RandomScheduler(long seed) {
        cluster = new SteppedCluster(seed);
        random = new Random(seed * 7919 + 1);
    }

    /** Plays the schedule of a seed; its script up to what breaks, or null. */
    static Script breaking(long seed, Tally tally) {
        RandomScheduler scheduler = new RandomScheduler(seed);
        try {
            scheduler.go();
            return null;
        } catch (AssertionError e) {
            return new Script(seed, scheduler.steps);
        } finally {
            tally.add(scheduler.cluster);
        }
    }

    /** Whether something happens that does with a chance. */
    private boolean chance(double part) {
        return random.nextDouble() < part;
    }

    private void take(Step step) {
        steps.add(step);
        cluster.take(step);
    }

    private void go() {
        loss = random.nextInt(3) * 0.04;
        overtaking = random.nextInt(3) * 0.05;
        doubling = random.nextInt(2) * 0.03;
        settles = chance(0.5);
        for (int spell = 0; spell < SPELLS; spell++) {
            spell(spell == 0 || settles && spell % 2 == 0);
            if (chance(0.75)) {
                fault();
            }
            for (int i = 0; i < cluster.size(); i++) {
                if (!cluster.machine(i).up() && chance(0.6)) {
                    take(Step.of(Step.Kind.START, i));
                }
            }
        }
    }

    private void spell(boolean calm) {
        int pace = PACES[random.nextInt(PACES.length)];
        double lagging = calm ? 0 : random.nextInt(3) * 0.15;
        double hanging = calm ? 0 : random.nextInt(3) * 0.15;
        frozen = calm || chance(0.8) ? -1 : leader();
        for (int i = 0; i < lags.length; i++) {
            lags[i] = chance(lagging);
        }
        for (int i = 0; i < hangs.length; i++) {
            hangs[i] = chance(hanging);
        }
        List<Step> cuts = calm || chance(0.5) ? List.of() : cuts();
        cuts.forEach(this::take);
        for (int i = SHORTEST + random.nextInt(VARIES); i > 0; i--) {
            round(pace);
        }
        if (chance(0.7)) {
            cuts.forEach(cut -> take(new Step(Step.Kind.MEND, cut.a(), cut.b(), 0)));
        }
    }

    /** Cuts one machine off, in one direction or both, from one other or all. */
    private List<Step> cuts() {
        int one = chance(0.5) ? leader() : random.nextInt(cluster.size());
        int only = chance(0.4) ? random.nextInt(cluster.size()) : -1;
        int way = random.nextInt(4);
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

    private int leader() {
        Machine leader = cluster.leader();
        for (int i = 0; i < cluster.size(); i++) {
            if (cluster.machine(i) == leader) {
                return i;
            }
        }
        return random.nextInt(cluster.size());
    }

    private void round(int pace) {
        double what = random.nextDouble();
        if (what < 0.1) {
            call();
        } else if (what < 0.2 || !moveOne()) {
            pass(pace);
        }
    }

    private void pass(int pace) {
        if (frozen >= 0) {
            take(new Step(Step.Kind.TICK, (frozen + 1) % cluster.size(), 0, pace));
            for (int i = 2; i < cluster.size(); i++) {
                take(new Step(Step.Kind.TICK, (frozen + i) % cluster.size(), 0, 0));
            }
        } else if (chance(0.75)) {
            take(Step.pass(pace));
        } else {
            take(new Step(Step.Kind.TICK, random.nextInt(cluster.size()), 0, chance(0.2) ? LONG_WAIT : pace));
        }
    }

    /** Somebody calls who leads, or who thinks so. */
    private void call() {
        int from = random.nextInt(cluster.size());
        for (int i = 0; i < cluster.size(); i++) {
            int at = (from + i) % cluster.size();
            if (cluster.machine(at).leads()) {
                double what = random.nextDouble();
                take(Step.of(what < 0.6 ? Step.Kind.PROPOSE : what < 0.7 ? Step.Kind.REPEAT
                        : what < 0.9 ? Step.Kind.BARRIER : Step.Kind.COMPACT, at));
                return;
            }
        }
    }

    /** A message or a write goes on; false if none may. */
    private boolean moveOne() {
        int size = cluster.size();
        int from = random.nextInt(size * size + size);
        for (int i = 0; i < size * size + size; i++) {
            int at = (from + i) % (size * size + size);
            if (at >= size * size) {
                int disk = at - size * size;
                if (!hangs[disk] && disk != frozen && !cluster.machine(disk).unsynced.isEmpty()) {
                    take(Step.of(Step.Kind.SYNC, disk));
                    return true;
                }
            } else if (!cluster.link(at / size, at % size).isEmpty()
                    && !lags[at / size * SteppedCluster.MOST + at % size] && at % size != frozen) {
                int waiting = cluster.link(at / size, at % size).size();
                Step.Kind kind = chance(loss) ? Step.Kind.DROP
                        : chance(doubling) ? Step.Kind.DOUBLE : Step.Kind.DELIVER;
                take(new Step(kind, at / size, at % size,
                        chance(overtaking) ? random.nextInt(waiting) : 0));
                return true;
            }
        }
        return false;
    }

    private void fault() {
        int hit = chance(0.5) ? leader() : random.nextInt(cluster.size());
        switch (random.nextInt(8)) {
            case 0, 1, 2 -> power(hit);
            case 3 -> {
                for (int i = 0; i < cluster.size(); i++) {
                    power(i);
                }
            }
            case 4, 5 -> take(Step.of(Step.Kind.WIPE, hit));
            case 6 -> {
                if (newcomers++ < NEWCOMERS) {
                    take(Step.of(Step.Kind.NEWCOMER, cluster.size()));
                }
            }
            default -> {
                if (newcomers++ < NEWCOMERS) {
                    power(hit);
                    take(Step.of(Step.Kind.NEWCOMER, cluster.size()));
                }
            }
        }
    }

    private void power(int machine) {
        int waiting = cluster.machine(machine).unsynced.size();
        take(new Step(Step.Kind.POWER, machine, 0, chance(0.6) ? 0 : random.nextInt(waiting + 1)));
    }
}

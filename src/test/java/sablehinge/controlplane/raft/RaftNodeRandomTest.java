package sablehinge.controlplane.raft;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import sablehinge.controlplane.raft.SimulatedCluster.Machine;

/** Random concurrent faults; {@link SimulatedCluster} checks the safety properties at each event. */
class RaftNodeRandomTest {

    private static final int SEEDS = Integer.getInteger("watermaster.seeds", 300);
    private static final long FIRST_SEED = Long.getLong("watermaster.first", 1);
    static final double DURATION_MS = 10_000;

    @Test
    void losesNothingUnderRandomFaults() {
        long startedAt = System.nanoTime();
        // The runs share no state, so they may run in parallel.
        long[] sums = LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
                .parallel()
                .mapToObj(seed -> {
                    SimulatedCluster cluster = play(seed);
                    return new long[] {cluster.committed.size(), cluster.memberChanges, cluster.events};
                })
                .reduce(new long[3], (a, b) -> new long[] {a[0] + b[0], a[1] + b[1], a[2] + b[2]});
        long commands = sums[0];
        long changes = sums[1];
        System.out.printf(
                "watermaster: %d seeds, %d events, %d entries committed, %d changes of members, " + "%.1f s%n",
                SEEDS, sums[2], commands, changes, (System.nanoTime() - startedAt) / 1e9);
        assertTrue(commands > SEEDS * 100L, commands + " entries only: the faults leave too few commits to check");
        assertTrue(changes > SEEDS, changes + " changes of members only");
    }

    static SimulatedCluster play(long seed) {
        Random random = new Random(seed * 7919);
        SimulatedCluster cluster = new SimulatedCluster(seed, seed % 10 == 0 ? 5 : 3);
        cluster.lossRate = random.nextInt(3) * 0.03;
        cluster.duplicationRate = random.nextInt(3) * 0.05;
        cluster.longDelayRate = random.nextInt(3) * 0.02;
        cluster.jitterMs = 1 + random.nextInt(3) * 5;
        double faultAt = 1500;
        int added = 0;
        try {
            while (cluster.now < DURATION_MS) {
                cluster.run(random.nextDouble() * 20);
                for (Machine machine : List.copyOf(cluster.machines.values())) {
                    if (machine.leads()) {
                        for (int i = random.nextInt(4); i > 0; i--) {
                            machine.propose();
                        }
                        if (random.nextInt(5) == 0) {
                            machine.barrier();
                        }
                    }
                }
                if (cluster.now >= faultAt) {
                    faultAt = cluster.now + random.nextDouble() * 1200;
                    added += fault(cluster, random, added);
                }
            }
            heal(cluster);
        } catch (IllegalStateException | IndexOutOfBoundsException | NullPointerException e) {
            throw new AssertionError("seed " + seed + ", " + cluster.now + " ms", e);
        }
        return cluster;
    }

    private static int fault(SimulatedCluster cluster, Random random, int added) {
        List<Machine> all = new ArrayList<>(cluster.machines.values());
        Machine target = all.get(random.nextInt(all.size()));
        Machine leader = cluster.leader();
        if (leader != null && random.nextInt(3) == 0) {
            target = leader;
        }
        Machine hit = target;
        Machine other = all.get(random.nextInt(all.size()));
        double durationMs = 50 + random.nextDouble() * random.nextInt(5000);
        switch (random.nextInt(11)) {
            case 0 -> {
                cluster.cut(hit, other);
                cluster.after(durationMs, () -> cluster.cuts.remove(hit.address + ">" + other.address));
            }
            case 1 -> {
                cluster.cutOff(hit);
                cluster.after(durationMs, cluster.cuts::clear);
            }
            case 2, 3 -> hit.stall(durationMs);
            case 4, 5 -> restart(cluster, hit, durationMs, random.nextBoolean());
            case 6 ->
                all.forEach(machine -> {
                    machine.powerLoss();
                    cluster.after(random.nextDouble() * 300, () -> restartIfDown(machine));
                });
            case 7, 8 -> {
                if (cluster.isComplete() && hit.self != null) {
                    hit.wipe();
                    cluster.after(durationMs, hit::startAsNewMember);
                }
            }
            case 9 -> {
                if (added < 4 && cluster.isComplete()) {
                    hit.kill(true);
                    cluster.add("10.0.1." + added + ":1").startAsNewMember();
                    cluster.after(durationMs * 3, () -> restartIfDown(hit));
                    return 1;
                }
            }
            default -> {
                all.forEach(machine -> restart(cluster, machine, random.nextDouble() * 500, true));
            }
        }
        return 0;
    }

    private static void restart(SimulatedCluster cluster, Machine machine, double downMs, boolean losePower) {
        if (machine.up()) {
            machine.kill(losePower);
            cluster.after(downMs, () -> restartIfDown(machine));
        }
    }

    /** Starts a machine, unless it was wiped in the meantime and will return as a new member. */
    private static void restartIfDown(Machine machine) {
        if (!machine.up() && machine.disk.self != null) {
            machine.start();
        }
    }

    private static void heal(SimulatedCluster cluster) {
        cluster.run(3000);
        cluster.cuts.clear();
        cluster.lossRate = 0;
        cluster.duplicationRate = 0;
        cluster.longDelayRate = 0;
        for (Machine machine : cluster.machines.values()) {
            machine.stalledUntil = 0;
            restartIfDown(machine);
            if (!machine.up()) {
                machine.startAsNewMember();
            }
        }
        cluster.run(7000);
        cluster.commitOne(4000);
        cluster.run(2000);
        if (!cluster.isComplete()) {
            throw new AssertionError("seed " + cluster.seed + ": not complete again, " + cluster.committedMembers + "\n"
                    + cluster.describe());
        }
        for (Member member : cluster.committedMembers) {
            Machine machine = cluster.machines.get(member.address());
            cluster.check(cluster.committed.size() == machine.applied, machine, cluster::describe);
        }
    }
}

package sablehinge.controlplane.raft;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * One core in virtual time whose leader is struck once: how long nothing is committed, and how long until the struck
 * machine is at full strength again.
 */
final class LeaderLoss extends SimulatedCluster {

    /** What befalls the leader. */
    enum Kind {
        /** Its process is killed. */
        KILL,
        /** Its process stands still. */
        FREEZE,
        /** It is cut off from the others both ways. */
        CUT,
        /** Its disk answers nothing. */
        STALL,
        /** It loses its power and what was not synced. */
        POWER,
        /** It loses its power and its disk. */
        WIPE,
        /** All machines lose their power at once. */
        POWER_ALL
    }

    /**
     * What was seen, in ms.
     *
     * @param unled from the strike until a command that came after it was committed
     * @param back from the end of the strike until all machines hold all that is committed and are voters
     */
    record Outcome(double unled, double back) {}

    private static final double CALM_MS = 3_000;
    private static final double STRUCK_MS = 5_000;
    /** From a kill or a loss of power to the next start of the process. */
    private static final double DOWN_MS = 500;

    private static final double WITHIN_MS = 30_000;
    private static final double LOOK_MS = 5;
    private static final double TICK_MS = 20;

    private final Set<Machine> frozen = new HashSet<>();
    private final List<Runnable> held = new ArrayList<>();
    private final int size;

    /** A core of so many machines, of which the smaller half may be lost. */
    LeaderLoss(long seed, int size) {
        super(seed, size);
        this.size = size;
    }

    /** Strikes the leader, at a moment that the seed draws, and lets it come back. */
    Outcome play(Kind kind) {
        awaitLeader();
        run(CALM_MS + random.nextDouble() * timing.heartbeatIntervalMs());
        commitOne(WITHIN_MS);
        double struckAt = now;
        Machine struck = leader();
        strike(kind, struck);
        double mendedAt = now + (isDown(kind) ? DOWN_MS : STRUCK_MS);
        after(mendedAt - now, () -> heal(kind, struck));
        double unled = untilCommitted(struck);
        run(Math.max(0, mendedAt - now));
        while (!isAtFullStrength()) {
            check(now - struckAt < WITHIN_MS, struck, () -> "not at full strength: " + describe());
            run(LOOK_MS);
        }
        return new Outcome(unled, now - mendedAt);
    }

    /** Orders go to whoever leads and does not stand still, until one is committed; the ms that it took. */
    private double untilCommitted(Machine struck) {
        double from = now;
        int before = committed.size();
        while (committed.stream().skip(before).noneMatch(entry -> entry.kind() == Entry.Kind.COMMAND)) {
            check(now - from < WITHIN_MS, struck, () -> "nothing committed: " + describe());
            for (Machine machine : machines.values()) {
                if (machine.leads() && !frozen.contains(machine)) {
                    machine.propose();
                }
            }
            run(LOOK_MS);
        }
        return now - from;
    }

    private static boolean isDown(Kind kind) {
        return kind == Kind.KILL || kind == Kind.POWER || kind == Kind.WIPE || kind == Kind.POWER_ALL;
    }

    private void strike(Kind kind, Machine struck) {
        switch (kind) {
            case KILL -> struck.kill(false);
            case FREEZE -> frozen.add(struck);
            case CUT -> cutOff(struck);
            case STALL -> struck.stall(STRUCK_MS);
            case POWER -> struck.powerLoss();
            case WIPE -> struck.wipe();
            default -> machines.values().forEach(Machine::powerLoss);
        }
    }

    private void heal(Kind kind, Machine struck) {
        switch (kind) {
            case KILL, POWER -> struck.start();
            case FREEZE -> {
                frozen.remove(struck);
                List<Runnable> late = List.copyOf(held);
                held.clear();
                late.forEach(Runnable::run);
            }
            case CUT -> cuts.clear();
            case WIPE -> struck.startAsNewMember();
            case POWER_ALL -> machines.values().forEach(Machine::start);
            default -> {
                // A stall ends by itself.
            }
        }
    }

    private boolean isAtFullStrength() {
        for (Machine machine : machines.values()) {
            if (!machine.up()
                    || machine.raftStatus == null
                    || machine.applied < committed.size()
                    || machine.raftStatus.role() == RaftStatus.Role.OUTSIDER
                    || machine.raftStatus.members().size() != size
                    || now < machine.stalledUntil) {
                return false;
            }
        }
        return leader() != null;
    }

    /** The process has begun: it has its ticks, but for those of while it stands still. */
    @Override
    void onNodeCreated(Machine machine) {
        tick(machine, machine.incarnation);
    }

    private void tick(Machine machine, long incarnation) {
        after(TICK_MS, () -> {
            if (machine.incarnation == incarnation) {
                if (!frozen.contains(machine)) {
                    machine.raft.tick(machine.clock());
                }
                tick(machine, incarnation);
            }
        });
    }

    /** What arrives at a process that stands still waits in its buffers. */
    @Override
    void transmit(Member from, String to, Message message) {
        if (frozen.contains(machines.get(to))) {
            held.add(() -> super.transmit(from, to, message));
        } else {
            super.transmit(from, to, message);
        }
    }
}

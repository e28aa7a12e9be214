package sablehinge.tools.standin.mesh;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** When processes and upstreams of a soak run began and ended, and why. Times in ms of {@link TrafficLog#now}. */
final class SoakLives {

    /** One process of a machine, from its start to its end. */
    static final class Life {
        final int machine;
        final double startedAt;
        /** When it was sent the first SIGTERM; NaN where it was not. */
        volatile double stoppedAt = Double.NaN;
        /** How long after that it said that it leaves, ms; NaN where it did not. */
        volatile double heardAfterMs = Double.NaN;
        /** When it was sent SIGKILL; NaN where it was not. */
        volatile double killedAt = Double.NaN;
        /** When it was seen to be gone; NaN while it runs. */
        volatile double endedAt = Double.NaN;

        Life(int machine, double startedAt) {
            this.machine = machine;
            this.startedAt = startedAt;
        }

        boolean wasToEnd() {
            return !Double.isNaN(stoppedAt) || !Double.isNaN(killedAt);
        }
    }

    private final List<List<Life>> machines = new ArrayList<>();
    /** When the upstream of a machine crashed, by machine. */
    private final List<List<Double>> crashes = new ArrayList<>();

    /** So many machines of which nothing runs yet. */
    SoakLives(int count) {
        for (int i = 0; i < count; i++) {
            machines.add(new CopyOnWriteArrayList<>());
            crashes.add(new CopyOnWriteArrayList<>());
        }
    }

    /** A process of a machine starts now. */
    Life starts(int machine) {
        return startsAt(machine, TrafficLog.now());
    }

    /** A process of a machine starts at a time. */
    Life startsAt(int machine, double time) {
        Life life = new Life(machine, time);
        machines.get(machine).add(life);
        return life;
    }

    /** The upstream of a machine crashes now. */
    void crashes(int machine) {
        crashes.get(machine).add(TrafficLog.now());
    }

    /** The newest life of a machine. */
    Life current(int machine) {
        List<Life> lives = machines.get(machine);
        return lives.get(lives.size() - 1);
    }

    /** The lives of a machine, the oldest first. */
    List<Life> of(int machine) {
        return List.copyOf(machines.get(machine));
    }

    /** The life of a machine at a time, or the one before it; null where there is none. */
    Life at(int machine, double time) {
        Life found = null;
        for (Life life : machines.get(machine)) {
            if (life.startedAt <= time) {
                found = life;
            }
        }
        return found;
    }

    /** Whether a process of a machine was killed between two times. */
    boolean wasKilled(int machine, double from, double until) {
        return machines.get(machine).stream().anyMatch(life -> life.killedAt >= from && life.killedAt <= until);
    }

    /** Whether the upstream of a machine crashed between two times. */
    boolean hasCrashed(int machine, double from, double until) {
        return crashes.get(machine).stream().anyMatch(at -> at >= from && at <= until);
    }
}

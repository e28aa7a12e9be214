package sablehinge.tools.standin.mesh;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What is done to a mesh in one run, drawn from a seed: sidecars are stopped in series, and beside that anything may
 * come at any time, also to the same machine. The same seed gives the same schedule.
 *
 * @param workMs the longest that an upstream takes for a request
 * @param runsPerUnframed of so many responses of upstreams one ends with its connection; 0 for none
 * @param events in the order of their times
 */
record SoakSchedule(
        long seed, int sidecars, int controlNodes, int workMs, int runsPerUnframed, List<SoakEvent> events) {

    private static final int[] WORK_MS = {30, 250, 900, 1_600};
    private static final int CONTROL_NODES = 3;
    private static final int MS_PER_S = 1_000;
    /** One event beside the series for each so much time, at most. */
    private static final int EVENT_GAP_MS = 700;

    private static final int MAX_CHANGES = 60;
    private static final int MAX_GAP_MS = 150;
    private static final int MAX_SLOWNESS = 4;
    /** One sign-off for each so much time, where upstreams sign off first. */
    private static final int SIGN_OFF_GAP_MS = 3_000;
    /** Of so many responses one ends with its connection, where upstreams sign off first. */
    private static final int RUNS_PER_UNFRAMED = 4;
    /** Makes the numbers of sign-offs others than those of the schedule that they come on top of. */
    private static final long SIGN_OFF_SEED = 0x516e_0ffL;

    SoakSchedule {
        events = List.copyOf(events);
    }

    /**
     * Draws a schedule.
     *
     * @param seconds in which events begin
     * @param processes daemons at the beginning
     */
    static SoakSchedule draw(long seed, int seconds, int processes) {
        SplittableRandom random = new SplittableRandom(seed);
        int sidecars = processes - CONTROL_NODES;
        int workMs = WORK_MS[random.nextInt(WORK_MS.length)];
        List<SoakEvent> events = new ArrayList<>(series(random, seconds * MS_PER_S, sidecars));
        int more = seconds * MS_PER_S / EVENT_GAP_MS;
        boolean replaced = false;
        for (int i = 0; i < more; i++) {
            SoakEvent.Kind kind = SoakEvent.Kind.USUAL.get(random.nextInt(SoakEvent.Kind.USUAL.size()));
            if (kind == SoakEvent.Kind.CONTROL_REPLACE && replaced) {
                kind = SoakEvent.Kind.CHANGES;
            }
            replaced |= kind == SoakEvent.Kind.CONTROL_REPLACE;
            events.add(one(random, kind, random.nextInt(seconds * MS_PER_S), sidecars));
        }
        Collections.sort(events);
        return new SoakSchedule(seed, sidecars, CONTROL_NODES, workMs, 0, events);
    }

    /** The schedule with upstreams that also sign off first, and with responses that end with their connection. */
    SoakSchedule withSignOffs(int seconds) {
        SplittableRandom random = new SplittableRandom(seed ^ SIGN_OFF_SEED);
        List<SoakEvent> more = new ArrayList<>(events);
        for (int i = 0; i < 1 + seconds * MS_PER_S / SIGN_OFF_GAP_MS; i++) {
            more.add(one(random, SoakEvent.Kind.UPSTREAM_SIGNS_OFF, random.nextInt(seconds * MS_PER_S), sidecars));
        }
        Collections.sort(more);
        return new SoakSchedule(seed, sidecars, controlNodes, workMs, RUNS_PER_UNFRAMED, more);
    }

    /** Sidecars are stopped one after the other, so that stops overlap. */
    private static List<SoakEvent> series(SplittableRandom random, int ms, int sidecars) {
        List<SoakEvent> events = new ArrayList<>();
        long gapMs = random.nextInt(Math.max(1, ms / sidecars / 2), Math.max(2, 2 * ms / sidecars));
        long delayMs = random.nextInt(2 * MS_PER_S);
        long at = random.nextInt(2 * MS_PER_S);
        for (int place = 0; at < ms; place = (place + 1) % sidecars) {
            events.add(new SoakEvent(at, SoakEvent.Kind.STOP, place, delayMs, 1));
            at += gapMs;
        }
        return events;
    }

    private static SoakEvent one(SplittableRandom random, SoakEvent.Kind kind, long at, int sidecars) {
        int place = random.nextInt(kind.isOfCore() ? CONTROL_NODES : sidecars);
        long delayMs = kind == SoakEvent.Kind.CHANGES
                ? random.nextInt(MAX_GAP_MS)
                : random.nextInt(kind == SoakEvent.Kind.UPSTREAM_SLOWS ? 8 * MS_PER_S : 2 * MS_PER_S);
        int count =
                switch (kind) {
                    case CHANGES -> 1 + random.nextInt(MAX_CHANGES);
                    case UPSTREAM_SLOWS -> 2 + random.nextInt(MAX_SLOWNESS - 1);
                    default -> 1;
                };
        return new SoakEvent(at, kind, place, delayMs, count);
    }
}

package sablehinge.controlplane.raft;

import java.util.Random;
import sablehinge.controlplane.raft.Step.Kind;

/**
 * What schedules by chance turn on: which calls and which faults come how often. Rare orders of events are looked for
 * where they lie, not by playing more of everything.
 */
enum Focus {
    /** A little of all. */
    GENERAL(0.10, 0.1, 0.5, 0.4, new int[] {50, 6, 4, 4, 20, 3, 9, 4}, new int[] {3, 1, 2, 1, 1, 1}),
    /** Machines that are cut off, frozen or slow, with questions to whoever takes itself for the leader. */
    CUT_OFF(0.10, 0.2, 0.9, 0.7, new int[] {35, 5, 5, 5, 45, 0, 4, 1}, new int[] {4, 1, 0, 0, 0, 0}),
    /** Orders that are sent again, sent elsewhere, or have something in common. */
    ORDERS(0.30, 0.1, 0.5, 0.4, new int[] {30, 15, 25, 20, 3, 2, 4, 1}, new int[] {5, 2, 1, 0, 0, 0}),
    /** Machines that come, go and lose their disks, one after the other. */
    MEMBERSHIP(0.10, 0.1, 0.5, 0.4, new int[] {60, 4, 2, 2, 10, 4, 12, 6}, new int[] {2, 1, 4, 2, 2, 3}),
    /** Compaction and snapshots under way. */
    SNAPSHOTS(0.25, 0.1, 0.5, 0.4, new int[] {50, 4, 2, 2, 2, 12, 16, 12}, new int[] {4, 1, 3, 1, 0, 0}),
    /** A follower with a deposed leader's entries meets a leader who never had them; see {@link Outrun}. */
    OUTRUN(0.15, 0.1, 0.5, 0.4, new int[] {70, 4, 4, 4, 8, 3, 5, 2}, new int[] {4, 1, 0, 0, 0, 0});

    /** A fault between two spells. */
    enum Fault {
        /** One loses power. */
        POWER,
        /** All do. */
        POWER_ALL,
        /** One loses its disk. */
        WIPE,
        /** A machine comes in. */
        NEWCOMER,
        /** One loses power, and another comes in. */
        SUCCESSOR,
        /** One is ordered to end, and ends a while after. */
        LEAVE
    }

    private static final Kind[] CALLS = {
        Kind.PROPOSE, Kind.REPEAT, Kind.RESEND, Kind.VARY, Kind.BARRIER, Kind.CAPTURE, Kind.COMPACT, Kind.FORGET
    };

    /** The part of the rounds in which somebody calls. */
    final double calls;
    /** The part of the rounds in which time passes though something could move. */
    final double waits;
    /** The part of the spells in which somebody is cut off, and the part of these in which from one only. */
    final double cuts;

    final double cutsFromOne;
    private final int[] callWeights;
    private final int[] faultWeights;

    Focus(double calls, double waits, double cuts, double cutsFromOne, int[] callWeights, int[] faultWeights) {
        this.calls = calls;
        this.waits = waits;
        this.cuts = cuts;
        this.cutsFromOne = cutsFromOne;
        this.callWeights = callWeights;
        this.faultWeights = faultWeights;
    }

    /** What the schedule of a seed turns on. */
    static Focus of(long seed) {
        return values()[(int) Math.floorMod(seed, (long) values().length)];
    }

    /** The so many-th seed, from 0, whose schedule turns on this. */
    long seed(long number) {
        return (number + 1) * values().length + ordinal();
    }

    Kind call(Random random) {
        return CALLS[drawn(callWeights, random)];
    }

    Fault fault(Random random) {
        return Fault.values()[drawn(faultWeights, random)];
    }

    private static int drawn(int[] weights, Random random) {
        int sum = 0;
        for (int weight : weights) {
            sum += weight;
        }
        int left = random.nextInt(sum);
        int drawn = 0;
        while (left >= weights[drawn]) {
            left -= weights[drawn++];
        }
        return drawn;
    }
}

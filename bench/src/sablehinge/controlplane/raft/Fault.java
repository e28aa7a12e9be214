package sablehinge.controlplane.raft;

import sablehinge.torture.Mutant;

/**
 * A fault that somebody could make in the agreement, by what it touches.
 *
 * @param point what goes wrong by it
 */
record Fault(Point point, Mutant mutant) {

    /** What can go wrong, with the schedules in which it is looked for. */
    enum Point {
        /** Votes and the log itself. */
        LOG(Focus.GENERAL),
        /** Entries of a leader that was deposed before its disk had them. */
        DEPOSED(Focus.OUTRUN),
        /** A machine that is cut off, frozen or deposed answers as if it led. */
        CUT_OFF(Focus.CUT_OFF),
        /** Orders confirmed beside each other, or refused though they are in force. */
        ORDERS(Focus.ORDERS),
        /** Losses after a replacement; members that come and go against each other. */
        MEMBERSHIP(Focus.MEMBERSHIP),
        /** Compaction, snapshots under way, members that come back after them. */
        SNAPSHOTS(Focus.SNAPSHOTS);

        private final Focus focus;

        Point(Focus focus) {
            this.focus = focus;
        }

        Focus focus() {
            return focus;
        }
    }

    String name() {
        return mutant.name();
    }
}

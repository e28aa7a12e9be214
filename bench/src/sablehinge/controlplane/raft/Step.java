package sablehinge.controlplane.raft;

import java.util.Locale;

/**
 * One thing that happens in a {@link SteppedCluster}. A step that can't happen does nothing, so that any part of a
 * script is a script.
 *
 * @param a the machine, or who has sent the message; 0 for {@code a}, the first founder
 * @param b who is to get the message; the other end of a cut
 * @param n a place on the way, from 0 for the oldest message; ms of true time; writes that are kept
 */
record Step(Kind kind, int a, int b, int n) {

    /** What may happen, with the machines and the number that it has. */
    enum Kind {
        /** A message arrives: from, to, place. */
        DELIVER(2, true),
        /** It arrives, and a copy is on its way still. */
        DOUBLE(2, true),
        /** It is lost. */
        DROP(2, true),
        /** The oldest write that is under way is on the disk, and the process is notified. */
        SYNC(1, false),
        /** Time passes, and then this one looks at its clock. */
        TICK(1, true),
        /** Time passes, and then all look at their clocks. */
        PASS(0, true),
        /** An operator replaces the configuration that is read there by another. */
        PROPOSE(1, false),
        /** An operator repeats the last such call, perhaps to another. */
        REPEAT(1, false),
        /** An operator sends one of the latest orders once more, by its place, from 0 for the newest. */
        RESEND(1, true),
        /** Another operator sends an order that shares its base, its edition or its body with that one. */
        VARY(1, true),
        /** Somebody wants to be sure that nothing newer is agreed. */
        BARRIER(1, false),
        /** The state is put aside for a snapshot. */
        CAPTURE(1, false),
        /** A snapshot takes the place of all that was applied by the last capture, or by now without one. */
        COMPACT(1, false),
        /** Entries behind its snapshot are kept no more: who lacks one of them needs the snapshot. */
        FORGET(1, false),
        /** Process and power are lost, and all writes under way but the first so many. */
        POWER(1, true),
        /** It starts with what its disk holds; as another if that is nothing. */
        START(1, false),
        /** It is down, and its disk is empty; unless more is broken already than the core must bear. */
        WIPE(1, false),
        /** Its process is ordered to end, and hands over what hangs on it. */
        LEAVE(1, false),
        /** Once it may end, it ends, and its disk is gone; unless more is broken already, as in a wipe. */
        RETIRE(1, false),
        /** A machine at an address of its own, with an empty disk, starts. */
        NEWCOMER(1, false),
        /** Nothing more is carried from one to the other. */
        CUT(2, false),
        /** It is again. */
        MEND(2, false),
        /** Nothing more goes wrong, and within a bounded time the core is complete; see {@link Calm}. */
        CALM(0, false);

        private final int machines;
        private final boolean numbered;

        Kind(int machines, boolean numbered) {
            this.machines = machines;
            this.numbered = numbered;
        }

        /** Whether it has a number. */
        boolean numbered() {
            return numbered;
        }
    }

    static Step of(Kind kind, int a) {
        return new Step(kind, a, 0, 0);
    }

    static Step pass(int ms) {
        return new Step(Kind.PASS, 0, 0, ms);
    }

    /** Whether time may pass in it. */
    boolean waits() {
        return kind == Kind.PASS || kind == Kind.TICK;
    }

    static char machineName(int machine) {
        return (char) ('a' + machine);
    }

    /** Reads what {@link #toString} has written. */
    static Step parse(String text) {
        String[] words = text.strip().split("\\s+");
        Kind kind;
        try {
            kind = Kind.valueOf(words[0].toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("no step is called '" + words[0] + "'", e);
        }
        if (words.length != 1 + kind.machines + (kind.numbered ? 1 : 0)) {
            throw new IllegalArgumentException("'" + text.strip() + "': expected " + kind.machines + " machines"
                    + (kind.numbered ? " and a number" : ""));
        }
        return new Step(
                kind,
                kind.machines > 0 ? machine(words[1]) : 0,
                kind.machines > 1 ? machine(words[2]) : 0,
                kind.numbered ? Integer.parseUnsignedInt(words[words.length - 1]) : 0);
    }

    private static int machine(String word) {
        int machine = word.charAt(0) - 'a';
        if (word.length() != 1 || machine < 0 || machine >= SteppedCluster.MAX) {
            throw new IllegalArgumentException(
                    "no machine is called '" + word + "'; a to " + machineName(SteppedCluster.MAX - 1) + " may be");
        }
        return machine;
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(kind.name().toLowerCase(Locale.ROOT));
        if (kind.machines > 0) {
            text.append(' ').append(machineName(a));
        }
        if (kind.machines > 1) {
            text.append(' ').append(machineName(b));
        }
        if (kind.numbered) {
            text.append(' ').append(n);
        }
        return text.toString();
    }
}

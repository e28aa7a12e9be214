package sablehinge.tools.standin.mesh;

import java.util.Arrays;
import java.util.List;

/**
 * Something that is done to a mesh while its clients go on.
 *
 * @param atMs after the clients began
 * @param kind what is done
 * @param place the machine, among those with an upstream or those of the core, as the kind has it; 0 where it has none
 * @param delayMs until it is undone or done again, as the kind has it
 * @param count how often or how many times as much, as the kind has it
 */
record SoakEvent(long atMs, Kind kind, int place, long delayMs, int count) implements Comparable<SoakEvent> {

    /** What is done, and to whom. */
    enum Kind {
        /** SIGTERM to a sidecar; it starts again that much after it has ended. */
        STOP,
        /** The same; a second SIGTERM follows the first one. */
        STOP_TWICE,
        /** The same; SIGHUP comes right before SIGTERM, and once more right after it. */
        STOP_WITH_HANGUPS,
        /** The same; the new process has SIGTERM that much after its start, ready or not, and starts again at once. */
        STOP_EARLY,
        /** SIGKILL to a sidecar; it starts again that much later. */
        KILL,
        /** SIGHUP to a sidecar. */
        HANGUP,
        /** An upstream leaves in order; the next one comes that much later. */
        UPSTREAM_LEAVES,
        /** An upstream goes without a word; the next one comes that much later. */
        UPSTREAM_CRASHES,
        /** An upstream takes {@code count} times as long for that much time. */
        UPSTREAM_SLOWS,
        /** {@code count} changes of the configuration, with that much time between them. */
        CHANGES,
        /** SIGKILL to a machine of the core; it starts again that much later. */
        CONTROL_KILL,
        /** SIGTERM to a machine of the core; it starts again that much after it has ended. */
        CONTROL_STOP,
        /** SIGTERM to the machine that leads; it starts again that much after it has ended. */
        LEADER_STOP,
        /** A machine of the core is gone for good; that much later an empty one comes at another address. */
        CONTROL_REPLACE,
        /**
         * An upstream signs off first and serves on; the sidecar beside it has SIGKILL and starts again that much
         * later, and the last heartbeat of the upstream arrives late. Not among those that every schedule draws from.
         */
        UPSTREAM_SIGNS_OFF;

        /** Those that every schedule draws from, so that a seed keeps its schedule. */
        static final List<Kind> USUAL = Arrays.stream(values())
                .filter(kind -> kind != UPSTREAM_SIGNS_OFF)
                .toList();

        /** Whether it is done to a machine of the core. */
        boolean isOfCore() {
            return ordinal() >= CONTROL_KILL.ordinal() && this != UPSTREAM_SIGNS_OFF;
        }
    }

    @Override
    public int compareTo(SoakEvent other) {
        return Long.compare(atMs, other.atMs);
    }
}

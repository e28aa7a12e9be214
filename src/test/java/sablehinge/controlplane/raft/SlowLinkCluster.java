package sablehinge.controlplane.raft;

import java.util.HashMap;
import java.util.Map;
import sablehinge.common.rpc.Connection;
import sablehinge.controlplane.node.RaftMessageCodec;

/**
 * A cluster whose links carry so many bytes per ms, in order, as one connection between two machines does: what is sent
 * waits behind what was sent before it. A connection with more waiting bytes than {@link Connection} lets wait breaks,
 * and all that waits is lost.
 */
final class SlowLinkCluster extends SimulatedCluster {

    /** As in {@link Connection}: what waits at most, bytes. */
    private static final long MAX_WAITING = 2L * Connection.MAX_BYTES;

    private static final double LATENCY = 0.5;
    private static final double FAST = 100_000;

    private static final class Link {
        double bytesPerMs = FAST;
        double freeAt;
        int incarnation;
        long messages;
    }

    private final Map<String, Link> links = new HashMap<>();
    private final Map<String, Long> compactedAt = new HashMap<>();
    /** After so many entries a machine cuts its log. */
    int compactsEvery = 10;
    /** All bytes of snapshots that were sent. */
    long snapshotBytes;
    /** Messages of snapshots that were sent. */
    long snapshotMessages;
    /** Questions for votes that were sent. */
    long votesRequested;
    /** Connections that broke as too much waited. */
    long broken;
    /** The largest message, bytes. */
    long largest;
    /** The longest that a message waited for those before it, ms. */
    double longestWait;

    SlowLinkCluster(long seed, int founders) {
        super(seed, founders);
    }

    private Link link(String from, String to) {
        return links.computeIfAbsent(from + ">" + to, none -> new Link());
    }

    /** What all links from and to a machine carry, bytes per ms. */
    void slow(Machine machine, double bytesPerMs) {
        for (Machine other : others(machine)) {
            link(machine.address, other.address).bytesPerMs = bytesPerMs;
            link(other.address, machine.address).bytesPerMs = bytesPerMs;
        }
    }

    @Override
    void carry(Member from, String to, Message message) {
        long size = RaftMessageCodec.write(message).length;
        largest = Math.max(largest, size);
        votesRequested += message instanceof Message.VoteRequest ? 1 : 0;
        if (message instanceof Message.InstallSnapshotRequest) {
            snapshotBytes += size;
            snapshotMessages++;
        }
        if (random.nextDouble() < loss) {
            return;
        }
        Link link = link(from.address(), to);
        double begins = Math.max(now, link.freeAt);
        longestWait = Math.max(longestWait, begins - now);
        if ((begins - now) * link.bytesPerMs > MAX_WAITING) {
            broken++;
            link.incarnation++;
            link.freeAt = now;
            return;
        }
        link.freeAt = begins + size / link.bytesPerMs;
        int incarnation = link.incarnation;
        after(link.freeAt - now + LATENCY, () -> {
            Machine machine = machines.get(to);
            if (link.incarnation == incarnation && machine != null && machine.up()) {
                machine.raft.handleMessage(machine.clock(), from, message);
            }
        });
    }

    @Override
    boolean compactsByItself() {
        return false;
    }

    /** Lets time pass; whoever has applied enough since it last did so cuts its log. */
    void runAndCompact(double ms) {
        double end = now + ms;
        while (now < end) {
            run(Math.min(5, end - now));
            for (Machine machine : machines.values()) {
                long last = compactedAt.getOrDefault(machine.address, 0L);
                if (machine.up() && machine.applied >= last + compactsEvery) {
                    compactedAt.put(machine.address, machine.applied);
                    machine.compact();
                } else if (machine.applied < last) {
                    compactedAt.put(machine.address, machine.applied);
                }
            }
        }
    }

    /** Operators keep up to {@code underWay} orders under way for some ms. */
    void storm(double ms, int underWay) {
        double end = now + ms;
        while (now < end) {
            Machine leader = leader();
            if (leader != null && leader.calls.size() < underWay) {
                leader.propose();
            }
            runAndCompact(20);
        }
    }

    /** How many entries a machine is behind the last that was committed. */
    long behind(Machine machine) {
        return committed.size() - machine.applied;
    }

    /** Lets time pass in calm until a machine has all that was committed; the ms that it took. */
    double catchUp(Machine machine, double atMost) {
        double start = now;
        while (behind(machine) > 0) {
            check(
                    now - start < atMost,
                    machine,
                    () -> "still " + behind(machine) + " entries behind after " + atMost + " ms of calm, "
                            + describe());
            runAndCompact(20);
        }
        return now - start;
    }
}

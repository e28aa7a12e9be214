package sablehinge.controlplane.raft;

import java.util.HashMap;
import java.util.Map;
import sablehinge.common.rpc.Connection;
import sablehinge.controlplane.node.RaftMessageCodec;

/**
 * A cluster whose links have a limited bandwidth and deliver in order, like one connection between two machines: each
 * message waits behind those sent before it. A connection with more waiting bytes than {@link Connection} permits
 * breaks, and all its waiting messages are lost.
 */
final class SlowLinkCluster extends SimulatedCluster {

    /** Maximum number of waiting bytes, as in {@link Connection}. */
    private static final long MAX_WAITING_BYTES = 2L * Connection.MAX_BYTES;

    private static final double LATENCY_MS = 0.5;
    private static final double FAST_BYTES_PER_MS = 100_000;

    private static final class Link {
        double bytesPerMs = FAST_BYTES_PER_MS;
        double freeAt;
        int incarnation;
        long messages;
    }

    private final Map<String, Link> links = new HashMap<>();
    private final Map<String, Long> compactedAt = new HashMap<>();
    /** Number of applied entries after which a machine compacts its log. */
    int compactionInterval = 10;
    /** Bytes sent in snapshot messages. */
    long snapshotBytes;
    /** Number of snapshot messages sent. */
    long snapshotMessages;
    /** Number of vote requests sent. */
    long votesRequested;
    /** Number of connections that broke because too many bytes were waiting. */
    long brokenConnections;
    /** Size of the largest message, bytes. */
    long largestMessageBytes;
    /** Longest time that a message waited for those sent before it, ms. */
    double longestWaitMs;

    SlowLinkCluster(long seed, int founders) {
        super(seed, founders);
    }

    private Link link(String from, String to) {
        return links.computeIfAbsent(from + ">" + to, none -> new Link());
    }

    /** Sets the bandwidth of all links from and to a machine, bytes per ms. */
    void setBandwidth(Machine machine, double bytesPerMs) {
        for (Machine other : others(machine)) {
            link(machine.address, other.address).bytesPerMs = bytesPerMs;
            link(other.address, machine.address).bytesPerMs = bytesPerMs;
        }
    }

    @Override
    void transmit(Member from, String to, Message message) {
        long size = RaftMessageCodec.write(message).length;
        largestMessageBytes = Math.max(largestMessageBytes, size);
        votesRequested += message instanceof Message.VoteRequest ? 1 : 0;
        if (message instanceof Message.InstallSnapshotRequest) {
            snapshotBytes += size;
            snapshotMessages++;
        }
        if (random.nextDouble() < lossRate) {
            return;
        }
        Link link = link(from.address(), to);
        double startsAt = Math.max(now, link.freeAt);
        longestWaitMs = Math.max(longestWaitMs, startsAt - now);
        if ((startsAt - now) * link.bytesPerMs > MAX_WAITING_BYTES) {
            brokenConnections++;
            link.incarnation++;
            link.freeAt = now;
            return;
        }
        link.freeAt = startsAt + size / link.bytesPerMs;
        int incarnation = link.incarnation;
        after(link.freeAt - now + LATENCY_MS, () -> {
            Machine machine = machines.get(to);
            if (link.incarnation == incarnation && machine != null && machine.up()) {
                machine.raft.handleMessage(machine.clock(), from, message);
            }
        });
    }

    @Override
    boolean compactsAutomatically() {
        return false;
    }

    /** Runs for some time; a machine compacts its log after each {@link #compactionInterval} applied entries. */
    void runAndCompact(double ms) {
        double end = now + ms;
        while (now < end) {
            run(Math.min(5, end - now));
            for (Machine machine : machines.values()) {
                long last = compactedAt.getOrDefault(machine.address, 0L);
                if (machine.up() && machine.applied >= last + compactionInterval) {
                    compactedAt.put(machine.address, machine.applied);
                    machine.compact();
                } else if (machine.applied < last) {
                    compactedAt.put(machine.address, machine.applied);
                }
            }
        }
    }

    /** Runs for some time with up to {@code maxConcurrent} calls of operators in progress. */
    void runWithLoad(double ms, int maxConcurrent) {
        double end = now + ms;
        while (now < end) {
            Machine leader = leader();
            if (leader != null && leader.calls.size() < maxConcurrent) {
                leader.propose();
            }
            runAndCompact(20);
        }
    }

    /** Number of committed entries that a machine has not applied. */
    long lag(Machine machine) {
        return committed.size() - machine.applied;
    }

    /** Runs without load until a machine has applied all committed entries; returns the time in ms that it took. */
    double awaitCaughtUp(Machine machine, double timeoutMs) {
        double start = now;
        while (lag(machine) > 0) {
            check(
                    now - start < timeoutMs,
                    machine,
                    () -> "still lags by " + lag(machine) + " entries after " + timeoutMs + " ms without load, "
                            + describe());
            runAndCompact(20);
        }
        return now - start;
    }
}

package sablehinge.controlplane.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import sablehinge.controlplane.raft.Member;
import sablehinge.controlplane.raft.RaftStatus;

/**
 * The only place that decides whether this node has the contact with a majority that an answer requires. Each decision
 * uses the time of the request, never a result of the last tick: after a pause, a process handles the requests in its
 * buffers before its first tick. {@code now} is a monotonic clock in ms.
 *
 * <p>A request is refused at once if the contact is known to be missing, otherwise within {@link #CALL_TIMEOUT_MS},
 * which is shorter than the second after which clients call another node.
 */
final class QuorumGate {

    /** The age up to which a majority's heartbeat answers count as recent; a leader resigns after the same time. */
    static final double MAJORITY_RECENT_MS = 900;
    /** Timeout of a confirmation by a majority. */
    static final double CALL_TIMEOUT_MS = 900;
    /** A follower that has received nothing from its leader for this long no longer redirects to the leader. */
    static final double LEADER_KNOWN_MS = 1_500;

    /** The state of this node's {@link sablehinge.controlplane.raft.RaftNode}, as far as the gate needs it. */
    interface RaftView {

        /** The Raft status of this node. */
        RaftStatus raftStatus();

        /** See {@link sablehinge.controlplane.raft.RaftNode#sinceMajorityMs}. */
        double sinceMajorityMs(double now);

        /** See {@link sablehinge.controlplane.raft.RaftNode#sinceLeaderMs}. */
        double sinceLeaderMs(double now);

        /** See {@link sablehinge.controlplane.raft.RaftNode#hasLease}. */
        boolean hasLease(double now);

        /** See {@link sablehinge.controlplane.raft.RaftNode#barrier}; it ends with {@link QuorumGate#barrierEnded}. */
        void barrier(double now, long token);
    }

    /**
     * The reason for a missing answer.
     *
     * @param leader the other node that is known as the leader; null if there is none
     * @param leads whether this node is the leader itself but lacks the required contact
     */
    record Refusal(Member leader, boolean leads) {}

    private record PendingRequest(double deadlineMs, Runnable granted, Consumer<Refusal> refused) {}

    private final RaftView raftView;
    private final Consumer<Runnable> deferredExecutor;
    private final Map<Long, PendingRequest> pending = new HashMap<>();
    private long lastToken;

    /**
     * A gate.
     *
     * @param deferredExecutor runs a task on the same thread after the current event: the Raft node must not be called
     *     from within its own callbacks
     */
    QuorumGate(RaftView raftView, Consumer<Runnable> deferredExecutor) {
        this.raftView = raftView;
        this.deferredExecutor = deferredExecutor;
    }

    /** Whether a request may be started now; for all but CONFIRMED and COMMITTED requests also whether to answer. */
    boolean allows(double now, ControlRequest request) {
        return switch (request.contact()) {
            case NONE -> true;
            case LEASE -> raftView.hasLease(now);
            case RECENT, CONFIRMED, COMMITTED ->
                raftView.raftStatus().role() == RaftStatus.Role.LEADER
                        && raftView.sinceMajorityMs(now) <= MAJORITY_RECENT_MS;
        };
    }

    /**
     * Runs exactly one of both callbacks, once: {@code granted} when the required contact exists, else {@code refused}.
     */
    void require(double now, ControlRequest request, Runnable granted, Consumer<Refusal> refused) {
        if (!allows(now, request)) {
            refused.accept(refusal(now));
        } else if (request.contact() == QuorumContact.CONFIRMED) {
            long token = ++lastToken;
            pending.put(token, new PendingRequest(now + CALL_TIMEOUT_MS, granted, refused));
            raftView.barrier(now, token);
        } else {
            granted.run();
        }
    }

    /** Called when a barrier ends; if confirmed, all entries committed before the barrier are applied here. */
    void barrierEnded(double now, long token, boolean confirmed) {
        PendingRequest request = pending.remove(token);
        if (request != null) {
            deferredExecutor.accept(confirmed ? request.granted : () -> request.refused.accept(refusal(now)));
        }
    }

    /** Refuses requests whose timeout has expired. */
    void expire(double now) {
        List<PendingRequest> expired = new ArrayList<>();
        pending.values().removeIf(request -> now > request.deadlineMs && expired.add(request));
        expired.forEach(request -> request.refused.accept(refusal(now)));
    }

    /** The refusal at this moment, with the leader if another node is known to be it. */
    Refusal refusal(double now) {
        RaftStatus raftStatus = raftView.raftStatus();
        boolean leads = raftStatus.role() == RaftStatus.Role.LEADER;
        boolean leaderKnown = !leads && raftStatus.leader() != null && raftView.sinceLeaderMs(now) <= LEADER_KNOWN_MS;
        return new Refusal(leaderKnown ? raftStatus.leader() : null, leads);
    }
}

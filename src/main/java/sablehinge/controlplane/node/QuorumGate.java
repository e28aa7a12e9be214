package sablehinge.controlplane.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import sablehinge.controlplane.raft.Member;
import sablehinge.controlplane.raft.RaftStatus;

/**
 * The one place where it is decided whether this machine has the contact with a majority that an answer needs. It looks
 * at the time of each act, never at what the last tick found: a process that stood still finds calls in its buffers
 * before its first tick. {@code now} is a steady clock in ms.
 *
 * <p>Refusals come at once where the contact is known to be missing, and within {@link #CALL_TIMEOUT_MS} otherwise,
 * which is shorter than the second after which callers go elsewhere.
 */
final class QuorumGate {

    /** The age, in ms, up to which a majority's answer counts as recent; a leader resigns after as much. */
    static final double MAJORITY_RECENT_MS = 900;
    /** How long a majority's confirmation is waited for, in ms. */
    static final double CALL_TIMEOUT_MS = 900;
    /** A follower that has not heard for so long of the leader that it knows names it no more, in ms. */
    static final double LEADER_KNOWN_MS = 1_500;

    /** What is known of the core; {@link sablehinge.controlplane.raft.RaftNode} is behind it. */
    interface Contact {

        /** The place of this machine. */
        RaftStatus raftStatus();

        /** See {@link sablehinge.controlplane.raft.RaftNode#sinceMajorityMs}. */
        double sinceMajorityMs(double now);

        /** See {@link sablehinge.controlplane.raft.RaftNode#sinceLeaderMs}. */
        double sinceLeaderMs(double now);

        /** See {@link sablehinge.controlplane.raft.RaftNode#hasLease}. */
        boolean hasLease(double now);

        /** See {@link sablehinge.controlplane.raft.RaftNode#barrier}; {@link QuorumGate#barrierEnded} tells its end. */
        void barrier(double now, long token);
    }

    /**
     * Why there is no answer, and who may have one.
     *
     * @param leader another machine that leads as far as is known; null where none is
     * @param leads whether this machine itself counts as the leader, without the contact that it needs
     */
    record Refusal(Member leader, boolean leads) {}

    private record Waiting(double until, Runnable granted, Consumer<Refusal> refused) {}

    private final Contact contact;
    private final Consumer<Runnable> deferred;
    private final Map<Long, Waiting> waiting = new HashMap<>();
    private long lastToken;

    /**
     * A gate.
     *
     * @param deferred runs something after the event that is being handled, on the same thread: the agreement may not
     *     be called from within what it calls
     */
    QuorumGate(Contact contact, Consumer<Runnable> deferred) {
        this.contact = contact;
        this.deferred = deferred;
    }

    /** Whether there is the contact by which something may be begun, or answered where that is enough. */
    boolean allows(double now, ControlRequest what) {
        return switch (what.contact()) {
            case NONE -> true;
            case LEASE -> contact.hasLease(now);
            case RECENT, CONFIRMED, COMMITTED ->
                contact.raftStatus().role() == RaftStatus.Role.LEADER
                        && contact.sinceMajorityMs(now) <= MAJORITY_RECENT_MS;
        };
    }

    /** Has something answered once there is the contact that it needs, or refused; one of both, once. */
    void require(double now, ControlRequest what, Runnable granted, Consumer<Refusal> refused) {
        if (!allows(now, what)) {
            refused.accept(refusal(now));
        } else if (what.contact() == QuorumContact.CONFIRMED) {
            long token = ++lastToken;
            waiting.put(token, new Waiting(now + CALL_TIMEOUT_MS, granted, refused));
            contact.barrier(now, token);
        } else {
            granted.run();
        }
    }

    /** A barrier has ended: everything committed before it is applied here, or none knows. */
    void barrierEnded(double now, long token, boolean confirmed) {
        Waiting one = waiting.remove(token);
        if (one != null) {
            deferred.accept(confirmed ? one.granted : () -> one.refused.accept(refusal(now)));
        }
    }

    /** Lets time pass: what has waited too long is refused. */
    void expire(double now) {
        List<Waiting> late = new ArrayList<>();
        waiting.values().removeIf(one -> now > one.until && late.add(one));
        late.forEach(one -> one.refused.accept(refusal(now)));
    }

    /** Who else may have an answer at this moment. */
    Refusal refusal(double now) {
        RaftStatus raftStatus = contact.raftStatus();
        boolean leads = raftStatus.role() == RaftStatus.Role.LEADER;
        boolean known = !leads && raftStatus.leader() != null && contact.sinceLeaderMs(now) <= LEADER_KNOWN_MS;
        return new Refusal(known ? raftStatus.leader() : null, leads);
    }
}

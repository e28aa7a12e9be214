package sablehinge.controlplane.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import sablehinge.controlplane.raft.Entry;
import sablehinge.controlplane.raft.RaftNode;
import sablehinge.controlplane.raft.RaftStatus;
import sablehinge.controlplane.state.BodyDigest;
import sablehinge.controlplane.state.ConfigurationState;

/**
 * Replicates operators' configuration changes through the Raft log. The outcome of a change is decided only when its
 * entry is applied, from the state that the preceding entries produced. Every member therefore reaches the same
 * decision, and a leader that has not yet applied the entries of earlier terms decides nothing. A change that ends in
 * any other way is answered as unclear, and the client may resend it unchanged.
 *
 * <p>{@code now} is a monotonic clock in ms. All calls come from one thread.
 */
final class ChangeCoordinator {

    /** Timeout of an operator's call: shorter than the second after which clients call another node. */
    static final double CALL_TIMEOUT_MS = 900;

    /**
     * An operator's request to replace the current configuration. Two requests are the same if all components are
     * equal.
     *
     * @param basedOn the edition that the new configuration replaces
     * @param edition the new configuration's edition, from its body
     * @param digest the digest of the body
     */
    record ChangeRequest(long basedOn, long edition, BodyDigest digest) {}

    /** The answer to a change request. */
    enum Verdict {
        /** Committed: a majority has the change on disk. */
        TAKEN,
        /** A different edition is current; this change will never be accepted. */
        STALE,
        /** The edition is not above the current one; this change will never be accepted. */
        OLD,
        /** Based on an edition that does not exist yet; the change may be accepted later. */
        AHEAD,
        /** Unknown whether the change is committed or will be. */
        UNCLEAR
    }

    private record Listener(double deadlineMs, Consumer<Verdict> callback) {}

    /** A proposed entry of the current term that is not yet applied, with the callers that wait for it. */
    private static final class PendingChange {
        final ChangeRequest request;
        final List<Listener> listeners = new ArrayList<>();

        PendingChange(ChangeRequest request) {
            this.request = request;
        }
    }

    private final RaftNode raft;
    private final ConfigurationState configurations;
    private final Consumer<Runnable> deferredExecutor;
    /** By entry index. The Raft node bounds the number of uncommitted entries. */
    private final Map<Long, PendingChange> pending = new HashMap<>();

    private long term;

    /**
     * A coordinator of changes to {@code configurations}.
     *
     * @param deferredExecutor runs a task on the same thread after the current event: an answer may trigger the next
     *     call, and the Raft node must not be called from within its own callbacks
     */
    ChangeCoordinator(RaftNode raft, ConfigurationState configurations, Consumer<Runnable> deferredExecutor) {
        this.raft = raft;
        this.configurations = configurations;
        this.deferredExecutor = deferredExecutor;
    }

    /**
     * Proposes a change. A request that equals a pending one waits for that entry and is not proposed a second time.
     *
     * @param timeOfDayMs the wall clock in ms since 1970; it is stored with the change and has no effect on the outcome
     */
    void submit(double now, ChangeRequest request, byte[] body, long timeOfDayMs, Consumer<Verdict> callback) {
        Listener listener = new Listener(now + CALL_TIMEOUT_MS, callback);
        for (PendingChange change : pending.values()) {
            if (change.request.equals(request)) {
                change.listeners.add(listener);
                return;
            }
        }
        long index = raft.propose(now, ConfigurationState.replace(request.basedOn, request.edition, body, timeOfDayMs));
        if (index == 0) {
            deferredExecutor.accept(() -> callback.accept(Verdict.UNCLEAR));
            return;
        }
        PendingChange change = new PendingChange(request);
        change.listeners.add(listener);
        pending.put(index, change);
    }

    /** Applies a committed command and answers the callers that wait for it. */
    ConfigurationState.Outcome apply(Entry entry) {
        ConfigurationState.Outcome outcome = configurations.apply(entry.data());
        PendingChange change = pending.remove(entry.index());
        if (change != null) {
            answer(
                    change,
                    entry.term() != term
                            ? Verdict.UNCLEAR
                            : switch (outcome) {
                                case TAKEN, REPEATED -> Verdict.TAKEN;
                                case STALE -> Verdict.STALE;
                                case OLD -> Verdict.OLD;
                                case AHEAD -> Verdict.AHEAD;
                                case FORGOTTEN -> Verdict.UNCLEAR;
                            });
        }
        return outcome;
    }

    private void answer(PendingChange change, Verdict verdict) {
        change.listeners.forEach(listener -> deferredExecutor.accept(() -> listener.callback.accept(verdict)));
    }

    /** Called when the Raft status changes. The outcome of entries proposed in an earlier term is unknown. */
    void onStatusChanged(RaftStatus raftStatus) {
        if (raftStatus.role() != RaftStatus.Role.LEADER || raftStatus.term() != term) {
            List<PendingChange> unresolved = List.copyOf(pending.values());
            pending.clear();
            unresolved.forEach(change -> answer(change, Verdict.UNCLEAR));
        }
        term = raftStatus.term();
    }

    /** Answers callers whose timeout has expired; their entries remain proposed. */
    void expire(double now) {
        for (PendingChange change : pending.values()) {
            for (Iterator<Listener> iterator = change.listeners.iterator(); iterator.hasNext(); ) {
                Listener listener = iterator.next();
                if (now > listener.deadlineMs) {
                    iterator.remove();
                    deferredExecutor.accept(() -> listener.callback.accept(Verdict.UNCLEAR));
                }
            }
        }
    }

    /** The configuration state that this node has applied. */
    ConfigurationState configurations() {
        return configurations;
    }
}

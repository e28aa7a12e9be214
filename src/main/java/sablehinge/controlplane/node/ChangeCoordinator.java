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
 * Takes operators' changes through the log. What becomes of a change is decided where its entry is applied, from the
 * state that the entries before it have made, and nowhere else: so each member comes to the same, and a leader that has
 * not yet applied what came before its term judges nothing. A change that ends in any other way has no clear answer,
 * and may be sent again as it was.
 *
 * <p>{@code now} is a steady clock in ms. All calls come from one thread.
 */
final class ChangeCoordinator {

    /** How long an operator's call waits, in ms: shorter than the second after which callers go elsewhere. */
    static final double CALL_TIMEOUT_MS = 900;

    /**
     * An operator's order to put a configuration in the place of another. Two are the same if all of their parts are.
     *
     * @param basedOn the version that it is to follow
     * @param edition of the configuration, as its body says
     * @param digest of the body
     */
    record Order(long basedOn, long edition, BodyDigest digest) {}

    /** The answer to an order. */
    enum Verdict {
        /** A majority has it on disk. */
        TAKEN,
        /** Another version is current, and this order will never be taken. */
        STALE,
        /** Its edition is not above the one in force, and this order will never be taken. */
        OLD,
        /** It is based on a version that is not there yet: it may be taken later. */
        AHEAD,
        /** Whether it is in force, or will be, is unknown. */
        UNCLEAR
    }

    private record Listener(double until, Consumer<Verdict> then) {}

    /** An entry of the present term that is not yet applied; those who wait for it. */
    private static final class Pending {
        final Order order;
        final List<Listener> listeners = new ArrayList<>();

        Pending(Order order) {
            this.order = order;
        }
    }

    private final RaftNode raft;
    private final ConfigurationState configurations;
    private final Consumer<Runnable> deferred;
    /** By the index of the entry; the agreement bounds how many entries may be uncommitted. */
    private final Map<Long, Pending> pending = new HashMap<>();

    private long term;

    /**
     * Changes of a state.
     *
     * @param deferred runs something after the event that is being handled, on the same thread: an answer may lead to
     *     the next call, which may not come from within what the agreement calls
     */
    ChangeCoordinator(RaftNode raft, ConfigurationState configurations, Consumer<Runnable> deferred) {
        this.raft = raft;
        this.configurations = configurations;
        this.deferred = deferred;
    }

    /**
     * Sends an order through the log. One that is on its way already is not sent a second time.
     *
     * @param at the time of day in ms since 1970; it is kept and decides nothing
     */
    void submit(double now, Order order, byte[] body, long at, Consumer<Verdict> then) {
        Listener listener = new Listener(now + CALL_TIMEOUT_MS, then);
        for (Pending one : pending.values()) {
            if (one.order.equals(order)) {
                one.listeners.add(listener);
                return;
            }
        }
        long index = raft.propose(now, ConfigurationState.replace(order.basedOn, order.edition, body, at));
        if (index == 0) {
            deferred.accept(() -> then.accept(Verdict.UNCLEAR));
            return;
        }
        Pending made = new Pending(order);
        made.listeners.add(listener);
        pending.put(index, made);
    }

    /** Executes a committed command, and answers the callers that wait for it. */
    ConfigurationState.Outcome applied(Entry entry) {
        ConfigurationState.Outcome outcome = configurations.apply(entry.data());
        Pending one = pending.remove(entry.index());
        if (one != null) {
            answer(
                    one,
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

    private void answer(Pending one, Verdict verdict) {
        one.listeners.forEach(listener -> deferred.accept(() -> listener.then.accept(verdict)));
    }

    /** This machine's place has changed: what it proposed in an earlier term may come to anything. */
    void onStatusChanged(RaftStatus raftStatus) {
        if (raftStatus.role() != RaftStatus.Role.LEADER || raftStatus.term() != term) {
            List<Pending> left = List.copyOf(pending.values());
            pending.clear();
            left.forEach(one -> answer(one, Verdict.UNCLEAR));
        }
        term = raftStatus.term();
    }

    /** Lets time pass: who has waited too long is answered; their entry goes its way. */
    void expire(double now) {
        for (Pending one : pending.values()) {
            for (Iterator<Listener> each = one.listeners.iterator(); each.hasNext(); ) {
                Listener listener = each.next();
                if (now > listener.until) {
                    each.remove();
                    deferred.accept(() -> listener.then.accept(Verdict.UNCLEAR));
                }
            }
        }
    }

    /** The configuration that is in force here. */
    ConfigurationState configurations() {
        return configurations;
    }
}

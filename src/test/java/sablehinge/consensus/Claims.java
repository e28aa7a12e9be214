package sablehinge.consensus;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import sablehinge.state.ConfigurationState;
import sablehinge.consensus.SimulatedCluster.Machine;

/** What operators were told about configurations, held against every state that a machine comes to. */
final class Claims {

    /** An operator's call; the term in which it was proposed is 0 in one that is only repeated. */
    record Call(long basedOn, long edition, byte[] body, long term) {
    }

    private record Acknowledged(long index, Call call) {
    }

    private final SimulatedCluster cluster;
    private final List<Acknowledged> acknowledged = new ArrayList<>();
    /** The index of the entry by which an edition was followed by another. */
    private final Map<Long, Long> successors = new HashMap<>();
    /** What came of each entry, by its index. */
    private final Map<Long, String> outcomes = new HashMap<>();
    private Call latest;
    private long proposed;
    /** Length of the configurations that are proposed; at least 8, so that they differ. */
    int bodyBytes = Long.BYTES;

    Claims(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    int acknowledged() {
        return acknowledged.size();
    }

    /** Proposes a configuration, which differs from all others, to who may lead; whether it was taken on. */
    boolean propose(Machine at) {
        long edition = at.configurations.edition();
        // Not each edition is the next number, so that two on one may differ in theirs.
        return propose(at, new Call(edition, edition + 1 + proposed % 2,
                ByteBuffer.allocate(bodyBytes).putLong(proposed).array(), 0));
    }

    /** Proposes the latest configuration again, perhaps to another. */
    boolean repeat(Machine at) {
        return latest != null && propose(at, latest);
    }

    private boolean propose(Machine at, Call call) {
        double now = at.clock();
        long index = at.master.propose(now, ConfigurationState.replace(call.basedOn, call.edition, call.body,
                (long) now));
        if (index > 0) {
            proposed++;
            latest = call;
            at.calls.put(index, new Call(call.basedOn, call.edition, call.body, at.standing.term()));
        }
        return index > 0;
    }

    /** Carries out a committed entry. */
    void applied(Machine at, Entry entry) {
        boolean taken = entry.kind() == Entry.Kind.COMMAND && command(at, entry);
        if (at.leads() && entry.term() == at.standing.term()) {
            holds(at, one -> one.call.term < entry.term());
        }
        Call call = at.calls.remove(entry.index());
        if (call != null && call.term == entry.term() && taken) {
            acknowledged.add(new Acknowledged(entry.index(), call));
        }
    }

    /** Whether the operator is told that it is in force, or was. */
    private boolean command(Machine at, Entry entry) {
        long before = at.configurations.edition();
        ConfigurationState.Outcome outcome = at.configurations.apply(entry.data());
        cluster.check(at.configurations.edition() >= before, at,
                () -> "edition " + at.configurations.edition() + " after " + before);
        String came = outcome + " " + at.configurations.edition();
        String other = outcomes.putIfAbsent(entry.index(), came);
        cluster.check(other == null || other.equals(came), at,
                () -> "entry " + entry.index() + " comes to " + came + ", elsewhere to " + other);
        if (outcome == ConfigurationState.Outcome.TAKEN) {
            long basedOn = ByteBuffer.wrap(entry.data()).getLong(1);
            Long index = successors.putIfAbsent(basedOn, entry.index());
            cluster.check(index == null || index == entry.index(), at, () -> "edition " + basedOn
                    + " is followed by entry " + index + " and by " + entry.index());
        }
        return outcome == ConfigurationState.Outcome.TAKEN || outcome == ConfigurationState.Outcome.REPEATED;
    }

    /** Takes a snapshot's state over. */
    void restored(Machine at, long index, byte[] state) {
        long before = at.configurations.edition();
        at.configurations.restore(state);
        cluster.check(at.configurations.edition() >= before, at,
                () -> "edition " + at.configurations.edition() + " restored over " + before);
        holds(at, one -> one.index <= index);
    }

    /** What was acknowledged must be known: to a leader of a later term, and where the entry is applied. */
    private void holds(Machine at, Predicate<Acknowledged> which) {
        for (Acknowledged one : acknowledged) {
            cluster.check(!which.test(one) || knows(at, one.call), at, () -> "acknowledged edition "
                    + one.call.edition + " of entry " + one.index + " is lost");
        }
    }

    private static boolean knows(Machine at, Call call) {
        return at.configurations.foresee(call.basedOn, call.edition,
                call.body) == ConfigurationState.Outcome.REPEATED;
    }
}

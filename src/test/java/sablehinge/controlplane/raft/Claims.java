package sablehinge.controlplane.raft;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import sablehinge.controlplane.raft.SimulatedCluster.Machine;
import sablehinge.controlplane.state.BodyDigest;
import sablehinge.controlplane.state.ConfigurationState;

/** What operators were answered about configurations, held against every state that a machine comes to. */
final class Claims {

    /** An operator's call; the term in which it was proposed is 0 in one that is only repeated. */
    record Call(long basedOn, long edition, byte[] body, long term) {}

    /** A confirmed order; its digest is made once, as it is looked for in every state that comes after. */
    private record Acknowledged(long index, Call call, BodyDigest digest) {}

    /** One that a state has taken. */
    private record Taken(long basedOn, int length, BodyDigest digest) {}

    /** Orders that operators remember, to send them again: the latest ones. */
    private static final int REMEMBERED = 8;
    /** By how much each edition makes a state longer, besides its body. */
    private static final int EDITION_BYTES = editionBytes();

    private final SimulatedCluster cluster;
    private final List<Acknowledged> acknowledged = new ArrayList<>();
    /** The index of the entry by which an edition was followed by another. */
    private final Map<Long, Long> successors = new HashMap<>();
    /** What came of each entry, by its index. */
    private final Map<Long, String> outcomes = new HashMap<>();
    /** Orders that came into force, and those whose operators were answered that they never will. */
    private final List<Call> inForce = new ArrayList<>();

    private final List<Call> refused = new ArrayList<>();
    /** The latest orders, the newest last. */
    private final List<Call> sent = new ArrayList<>();

    private Call latest;
    private long proposed;
    /** Length of the configurations that are proposed; at least 8, so that they differ. */
    int bodyBytes = Long.BYTES;
    /**
     * Length to which configurations fill the state; 0 where their own length is given. States of one length and
     * another content are those whose chunks could be mixed unseen.
     */
    int stateBytes;

    Claims(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    private static int editionBytes() {
        ConfigurationState state = new ConfigurationState();
        int before = state.state().length;
        state.apply(ConfigurationState.replace(0, 1, new byte[0], 0));
        return state.state().length - before;
    }

    int acknowledged() {
        return acknowledged.size();
    }

    /** Proposes a configuration, which differs from all others, to who may lead; whether it was taken on. */
    boolean propose(Machine at) {
        long edition = at.configurations.edition();
        // Not each edition is the next number, so that two on one may differ in theirs.
        return propose(at, new Call(edition, edition + 1 + proposed % 2, body(at), 0));
    }

    /** A configuration that differs from all others in each of its parts. */
    private byte[] body(Machine at) {
        int length = bodyBytes;
        if (stateBytes > 0) {
            int others = at.configurations.state().length - at.configurations.body().length;
            length = Math.max(bodyBytes, stateBytes - others - EDITION_BYTES);
        }
        byte[] body = new byte[length];
        byte[] number = ByteBuffer.allocate(Long.BYTES).putLong(proposed).array();
        for (int i = 0; i < length; i++) {
            body[i] = number[i % Long.BYTES];
        }
        return body;
    }

    /** Proposes the latest configuration again, perhaps to another. */
    boolean repeat(Machine at) {
        return latest != null && propose(at, latest);
    }

    /** Sends one of the latest orders once more, as an operator does who had no answer. */
    boolean resend(Machine at, int which) {
        return which < sent.size() && propose(at, sent.get(sent.size() - 1 - which));
    }

    /** Another operator's order that has something in common with one of the latest. */
    boolean vary(Machine at, int which) {
        if (which >= sent.size()) {
            return false;
        }
        Call like = sent.get(sent.size() - 1 - which);
        byte[] other = ByteBuffer.allocate(Long.BYTES).putLong(-1 - proposed).array();
        long edition = at.configurations.edition();
        return propose(
                at,
                switch ((int) (proposed % 5)) {
                    case 0 -> new Call(like.basedOn, like.edition, other, 0);
                    case 1 -> new Call(like.basedOn, like.edition + 1, like.body, 0);
                    case 2 -> new Call(edition, Math.max(edition, like.edition) + 1, like.body, 0);
                    case 3 -> new Call(edition, like.edition, other, 0);
                    default -> new Call(edition, like.edition, like.body, 0);
                });
    }

    private boolean propose(Machine at, Call call) {
        double now = at.clock();
        long index =
                at.raft.propose(now, ConfigurationState.replace(call.basedOn, call.edition, call.body, (long) now));
        if (index > 0) {
            proposed++;
            latest = call;
            remember(call);
            at.calls.put(index, new Call(call.basedOn, call.edition, call.body, at.raftStatus.term()));
        }
        return index > 0;
    }

    private void remember(Call call) {
        if (sent.stream().noneMatch(one -> isSame(one, call))) {
            sent.add(call);
            if (sent.size() > REMEMBERED) {
                sent.remove(0);
            }
        }
    }

    private static boolean isSame(Call one, Call other) {
        return one.basedOn == other.basedOn && one.edition == other.edition && Arrays.equals(one.body, other.body);
    }

    /** Executes a committed entry. */
    void applied(Machine at, Entry entry) {
        ConfigurationState.Outcome outcome = entry.kind() == Entry.Kind.COMMAND ? command(at, entry) : null;
        if (at.leads() && entry.term() == at.raftStatus.term()) {
            holds(at, one -> one.call.term < entry.term());
        }
        Call call = at.calls.remove(entry.index());
        if (call != null && call.term == entry.term() && outcome != null) {
            answer(at, entry, call, outcome);
        }
    }

    /** The operator is answered that its order is in force or was, or that it never will be. */
    private void answer(Machine at, Entry entry, Call call, ConfigurationState.Outcome outcome) {
        if (outcome == ConfigurationState.Outcome.TAKEN || outcome == ConfigurationState.Outcome.REPEATED) {
            for (Acknowledged one : acknowledged) {
                cluster.check(
                        one.call.edition != call.edition || Arrays.equals(one.call.body, call.body),
                        at,
                        () -> "two orders were confirmed as edition " + call.edition);
            }
            cluster.check(
                    inForce.stream().anyMatch(one -> isSame(one, call)),
                    at,
                    () -> "the order of edition " + call.edition + " is confirmed and was never in force");
            acknowledged.add(new Acknowledged(entry.index(), call, BodyDigest.of(call.body)));
        } else if (outcome == ConfigurationState.Outcome.STALE || outcome == ConfigurationState.Outcome.OLD) {
            cluster.check(
                    inForce.stream().noneMatch(one -> isSame(one, call)),
                    at,
                    () -> "the order of edition " + call.edition + " is refused and was in force");
            refused.add(call);
        }
    }

    private void tookForce(Machine at, Call call) {
        inForce.add(call);
        cluster.check(
                refused.stream().noneMatch(one -> isSame(one, call)),
                at,
                () -> "the order of edition " + call.edition + " comes into force and was refused");
    }

    /** What a committed command comes to. */
    private ConfigurationState.Outcome command(Machine at, Entry entry) {
        long before = at.configurations.edition();
        ConfigurationState.Outcome outcome = at.configurations.apply(entry.data());
        cluster.check(
                at.configurations.edition() >= before,
                at,
                () -> "edition " + at.configurations.edition() + " after " + before);
        String came = outcome + " " + at.configurations.edition();
        String other = outcomes.putIfAbsent(entry.index(), came);
        cluster.check(
                other == null || other.equals(came),
                at,
                () -> "entry " + entry.index() + " comes to " + came + ", elsewhere to " + other);
        if (outcome == ConfigurationState.Outcome.TAKEN) {
            Call call = call(entry.data());
            long basedOn = call.basedOn;
            Long index = successors.putIfAbsent(basedOn, entry.index());
            cluster.check(
                    index == null || index == entry.index(),
                    at,
                    () -> "edition " + basedOn + " is followed by entry " + index + " and by " + entry.index());
            if (index == null) {
                tookForce(at, call);
            }
        }
        return outcome;
    }

    /** Reads what {@link ConfigurationState#replace} has written. */
    private static Call call(byte[] command) {
        ByteBuffer in = ByteBuffer.wrap(command).position(1);
        long basedOn = in.getLong();
        long edition = in.getLong();
        byte[] body = new byte[in.getInt()];
        in.get(body);
        return new Call(basedOn, edition, body, 0);
    }

    /** Takes a snapshot's state over. */
    void restored(Machine at, long index, byte[] state) {
        long before = at.configurations.edition();
        at.configurations.restore(state);
        cluster.check(
                inForce.stream()
                                .anyMatch(one -> one.edition == at.configurations.edition()
                                        && Arrays.equals(one.body, at.configurations.body()))
                        || at.configurations.edition() == 0,
                at,
                () -> "edition " + at.configurations.edition() + " is restored with another body");
        cluster.check(
                at.configurations.edition() >= before,
                at,
                () -> "edition " + at.configurations.edition() + " restored over " + before);
        holds(at, one -> one.index <= index);
    }

    /** What was acknowledged must be known: to a leader of a later term, and where the entry is applied. */
    private void holds(Machine at, Predicate<Acknowledged> which) {
        List<Acknowledged> known = acknowledged.stream().filter(which).toList();
        if (known.isEmpty()) {
            return;
        }
        Map<Long, Taken> taken = taken(at);
        for (Acknowledged one : known) {
            cluster.check(
                    isTaken(one, taken.get(one.call.edition)),
                    at,
                    () -> "acknowledged edition " + one.call.edition + " of entry " + one.index + " is lost");
        }
        Acknowledged newest = known.get(known.size() - 1);
        cluster.check(
                repeats(at, newest.call),
                at,
                () -> "edition " + newest.call.edition + " of entry " + newest.index
                        + " is kept, and not known when it is sent again");
    }

    private static boolean repeats(Machine at, Call call) {
        return at.configurations.evaluate(call.basedOn, call.edition, call.body) == ConfigurationState.Outcome.REPEATED;
    }

    private static Map<Long, Taken> taken(Machine at) {
        Map<Long, Taken> all = new HashMap<>();
        at.configurations.read(
                (edition, basedOn, time, length, digest) -> all.put(edition, new Taken(basedOn, length, digest)));
        return all;
    }

    /** By what {@link ConfigurationState#evaluate} says REPEATED, without a digest of the body each time. */
    private static boolean isTaken(Acknowledged one, Taken taken) {
        return taken != null
                && taken.basedOn == one.call.basedOn
                && taken.length == one.call.body.length
                && taken.digest.equals(one.digest);
    }
}

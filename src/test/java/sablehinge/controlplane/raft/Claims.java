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

/** Checks the answers that operators received about configurations against every state that a machine reaches. */
final class Claims {

    /** A call of an operator; its term is that of the proposal, or 0 if the call is only retained to be sent again. */
    record Call(long basedOn, long edition, byte[] body, long term) {}

    /** A confirmed call; its digest is computed once, as every later state is checked for it. */
    private record Acknowledged(long index, Call call, BodyDigest digest) {}

    /** An edition that a state has accepted. */
    private record AcceptedEdition(long basedOn, int length, BodyDigest digest) {}

    /** Number of latest calls that are retained, so that operators can send them again. */
    private static final int MAX_RECENT_CALLS = 8;
    /** Size that each edition adds to a state, besides its body. */
    private static final int EDITION_BYTES = editionBytes();

    private final SimulatedCluster cluster;
    private final List<Acknowledged> acknowledged = new ArrayList<>();
    /** For each edition, the index of the entry that replaced it. */
    private final Map<Long, Long> successors = new HashMap<>();
    /** The outcome of each entry, by its index. */
    private final Map<Long, String> outcomes = new HashMap<>();
    /** Calls that were accepted. */
    private final List<Call> accepted = new ArrayList<>();

    /** Calls whose operators were answered that they will never be accepted. */
    private final List<Call> refused = new ArrayList<>();
    /** The latest calls, the newest last. */
    private final List<Call> recentCalls = new ArrayList<>();

    private Call latest;
    private long proposedCount;
    /** Size of the proposed configurations; at least 8, so that they differ. */
    int bodyBytes = Long.BYTES;
    /**
     * Size of the state that each proposed configuration is padded to; 0 if {@link #bodyBytes} applies. Chunks of two
     * states with the same size and different content could be mixed without being noticed.
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

    /** Proposes a unique configuration to a machine; returns whether the machine accepted the proposal. */
    boolean propose(Machine machine) {
        long edition = machine.configurations.edition();
        // Some editions skip a number, so that two calls on the same base may have different editions.
        return propose(machine, new Call(edition, edition + 1 + proposedCount % 2, body(machine), 0));
    }

    /** A configuration that differs from all others in each 8-byte word. */
    private byte[] body(Machine machine) {
        int length = bodyBytes;
        if (stateBytes > 0) {
            int otherBytes = machine.configurations.state().length - machine.configurations.body().length;
            length = Math.max(bodyBytes, stateBytes - otherBytes - EDITION_BYTES);
        }
        byte[] body = new byte[length];
        byte[] number = ByteBuffer.allocate(Long.BYTES).putLong(proposedCount).array();
        for (int i = 0; i < length; i++) {
            body[i] = number[i % Long.BYTES];
        }
        return body;
    }

    /** Proposes the latest call again, possibly to another machine. */
    boolean repeat(Machine machine) {
        return latest != null && propose(machine, latest);
    }

    /** Sends one of the latest calls again, as an operator does that received no answer. */
    boolean resend(Machine machine, int age) {
        return age < recentCalls.size() && propose(machine, recentCalls.get(recentCalls.size() - 1 - age));
    }

    /** Proposes a call of another operator that shares its base, edition or body with one of the latest calls. */
    boolean vary(Machine machine, int age) {
        if (age >= recentCalls.size()) {
            return false;
        }
        Call original = recentCalls.get(recentCalls.size() - 1 - age);
        byte[] otherBody =
                ByteBuffer.allocate(Long.BYTES).putLong(-1 - proposedCount).array();
        long edition = machine.configurations.edition();
        return propose(
                machine,
                switch ((int) (proposedCount % 5)) {
                    case 0 -> new Call(original.basedOn, original.edition, otherBody, 0);
                    case 1 -> new Call(original.basedOn, original.edition + 1, original.body, 0);
                    case 2 -> new Call(edition, Math.max(edition, original.edition) + 1, original.body, 0);
                    case 3 -> new Call(edition, original.edition, otherBody, 0);
                    default -> new Call(edition, original.edition, original.body, 0);
                });
    }

    private boolean propose(Machine machine, Call call) {
        double now = machine.clock();
        long index = machine.raft.propose(
                now, ConfigurationState.replace(call.basedOn, call.edition, call.body, (long) now));
        if (index > 0) {
            proposedCount++;
            latest = call;
            remember(call);
            machine.calls.put(index, new Call(call.basedOn, call.edition, call.body, machine.raftStatus.term()));
        }
        return index > 0;
    }

    private void remember(Call call) {
        if (recentCalls.stream().noneMatch(recent -> isSame(recent, call))) {
            recentCalls.add(call);
            if (recentCalls.size() > MAX_RECENT_CALLS) {
                recentCalls.remove(0);
            }
        }
    }

    private static boolean isSame(Call a, Call b) {
        return a.basedOn == b.basedOn && a.edition == b.edition && Arrays.equals(a.body, b.body);
    }

    /** Executes a committed entry. */
    void applied(Machine machine, Entry entry) {
        ConfigurationState.Outcome outcome = entry.kind() == Entry.Kind.COMMAND ? applyCommand(machine, entry) : null;
        if (machine.leads() && entry.term() == machine.raftStatus.term()) {
            checkAcknowledged(machine, acknowledgement -> acknowledgement.call.term < entry.term());
        }
        Call call = machine.calls.remove(entry.index());
        if (call != null && call.term == entry.term() && outcome != null) {
            answer(machine, entry, call, outcome);
        }
    }

    /** Answers the operator that its call is or was accepted, or that it never will be. */
    private void answer(Machine machine, Entry entry, Call call, ConfigurationState.Outcome outcome) {
        if (outcome == ConfigurationState.Outcome.TAKEN || outcome == ConfigurationState.Outcome.REPEATED) {
            for (Acknowledged earlier : acknowledged) {
                cluster.check(
                        earlier.call.edition != call.edition || Arrays.equals(earlier.call.body, call.body),
                        machine,
                        () -> "two different calls were confirmed as edition " + call.edition);
            }
            cluster.check(
                    accepted.stream().anyMatch(other -> isSame(other, call)),
                    machine,
                    () -> "the call for edition " + call.edition + " is confirmed and was never accepted");
            acknowledged.add(new Acknowledged(entry.index(), call, BodyDigest.of(call.body)));
        } else if (outcome == ConfigurationState.Outcome.STALE || outcome == ConfigurationState.Outcome.OLD) {
            cluster.check(
                    accepted.stream().noneMatch(other -> isSame(other, call)),
                    machine,
                    () -> "the call for edition " + call.edition + " is refused and was accepted");
            refused.add(call);
        }
    }

    private void onAccepted(Machine machine, Call call) {
        accepted.add(call);
        cluster.check(
                refused.stream().noneMatch(other -> isSame(other, call)),
                machine,
                () -> "the call for edition " + call.edition + " is accepted and was refused");
    }

    /** Applies a committed command and checks its outcome. */
    private ConfigurationState.Outcome applyCommand(Machine machine, Entry entry) {
        long before = machine.configurations.edition();
        ConfigurationState.Outcome outcome = machine.configurations.apply(entry.data());
        cluster.check(
                machine.configurations.edition() >= before,
                machine,
                () -> "edition " + machine.configurations.edition() + " after " + before);
        String result = outcome + " " + machine.configurations.edition();
        String other = outcomes.putIfAbsent(entry.index(), result);
        cluster.check(
                other == null || other.equals(result),
                machine,
                () -> "entry " + entry.index() + " results in " + result + ", on another machine in " + other);
        if (outcome == ConfigurationState.Outcome.TAKEN) {
            Call call = call(entry.data());
            long basedOn = call.basedOn;
            Long index = successors.putIfAbsent(basedOn, entry.index());
            cluster.check(
                    index == null || index == entry.index(),
                    machine,
                    () -> "edition " + basedOn + " is replaced by entry " + index + " and by " + entry.index());
            if (index == null) {
                onAccepted(machine, call);
            }
        }
        return outcome;
    }

    /** Decodes a command of {@link ConfigurationState#replace}. */
    private static Call call(byte[] command) {
        ByteBuffer in = ByteBuffer.wrap(command).position(1);
        long basedOn = in.getLong();
        long edition = in.getLong();
        byte[] body = new byte[in.getInt()];
        in.get(body);
        return new Call(basedOn, edition, body, 0);
    }

    /** Restores the state of a snapshot and checks it. */
    void restored(Machine machine, long index, byte[] state) {
        long before = machine.configurations.edition();
        machine.configurations.restore(state);
        cluster.check(
                accepted.stream()
                                .anyMatch(call -> call.edition == machine.configurations.edition()
                                        && Arrays.equals(call.body, machine.configurations.body()))
                        || machine.configurations.edition() == 0,
                machine,
                () -> "edition " + machine.configurations.edition() + " is restored with a different body");
        cluster.check(
                machine.configurations.edition() >= before,
                machine,
                () -> "edition " + machine.configurations.edition() + " restored over " + before);
        checkAcknowledged(machine, acknowledgement -> acknowledgement.index <= index);
    }

    /**
     * Checks that a machine knows acknowledged calls: those of earlier terms on a leader, and those of applied entries.
     */
    private void checkAcknowledged(Machine machine, Predicate<Acknowledged> filter) {
        List<Acknowledged> known = acknowledged.stream().filter(filter).toList();
        if (known.isEmpty()) {
            return;
        }
        Map<Long, AcceptedEdition> history = history(machine);
        for (Acknowledged expected : known) {
            cluster.check(
                    isAccepted(expected, history.get(expected.call.edition)),
                    machine,
                    () -> "acknowledged edition " + expected.call.edition + " of entry " + expected.index + " is lost");
        }
        Acknowledged newest = known.get(known.size() - 1);
        cluster.check(
                isRepeated(machine, newest.call),
                machine,
                () -> "edition " + newest.call.edition + " of entry " + newest.index
                        + " is in the history, but not recognised when it is sent again");
    }

    private static boolean isRepeated(Machine machine, Call call) {
        return machine.configurations.evaluate(call.basedOn, call.edition, call.body)
                == ConfigurationState.Outcome.REPEATED;
    }

    private static Map<Long, AcceptedEdition> history(Machine machine) {
        Map<Long, AcceptedEdition> history = new HashMap<>();
        machine.configurations.read((edition, basedOn, time, length, digest) ->
                history.put(edition, new AcceptedEdition(basedOn, length, digest)));
        return history;
    }

    /**
     * The same criteria as for REPEATED in {@link ConfigurationState#evaluate}, without computing a digest each time.
     */
    private static boolean isAccepted(Acknowledged expected, AcceptedEdition edition) {
        return edition != null
                && edition.basedOn == expected.call.basedOn
                && edition.length == expected.call.body.length
                && edition.digest.equals(expected.digest);
    }
}

package sablehinge.controlplane.raft;

import static sablehinge.controlplane.raft.Faults.NODE;

import java.util.List;
import sablehinge.torture.Mutant;

/** Faults by which a machine that is cut off, frozen or deposed answers as if it led. */
final class CutOffFaults {

    static final List<Mutant> ALL = List.of(
            new Mutant(
                    "a lease counts from the answer's arrival",
                    NODE,
                    "private void extendLease(",
                    "requestedAt[(int) (answered % ASKED)]",
                    "peers.values().stream().mapToDouble(one -> one.heard).max().orElse(0)"),
            new Mutant(
                    "a lease is as long as voters wait",
                    NODE,
                    "private void extendLease(",
                    "LEASE_PART * timing",
                    "timing"),
            new Mutant(
                    "who hears a leader votes for another",
                    NODE,
                    "private void askVote(",
                    "led && !(ask.handed() && known)",
                    "led && !known"),
            new Mutant(
                    "who starts again forgets that it answered a leader",
                    NODE,
                    "public void start(",
                    "leaderHeard = processStartedAt;",
                    ""),
            new Mutant(
                    "a follower does not note that it heard its leader",
                    NODE,
                    "private boolean heard(",
                    "leaderHeard = now;",
                    ""),
            new Mutant(
                    "a barrier counts answers to an older round",
                    NODE,
                    "public void barrier(",
                    "new Barrier(token, round + 1,",
                    "new Barrier(token, round,"),
            new Mutant(
                    "a barrier does not wait for the term's first commit",
                    NODE,
                    "public void barrier(",
                    "Math.max(commit, firstOfTerm)",
                    "commit"),
            new Mutant(
                    "a barrier needs no answers of others",
                    NODE,
                    "private long answered(List",
                    "rounds[rounds.length - (members.size() / 2 + 1)]",
                    "rounds[rounds.length - 1]"),
            new Mutant(
                    "a barrier is confirmed before its entries are applied",
                    NODE,
                    "private void confirm(",
                    "barrier.round() <= answered && barrier.index() <= commit",
                    "barrier.round() <= answered"),
            new Mutant("rounds of an older term count", NODE, "private void stepDown(", "lastRound = 0;", ""),
            new Mutant(
                    "an answer counts for a later term",
                    NODE,
                    "private ReplicaProgress answered(",
                    "itsTerm < term",
                    "itsTerm < 0"),
            new Mutant(
                    "a leader of an older term is followed",
                    NODE,
                    "private boolean heard(",
                    "itsTerm < term || itsTerm == term",
                    "itsTerm == term"),
            new Mutant(
                    "votes of an older term count",
                    NODE,
                    "private void vote(",
                    "role == RaftStatus.Role.CANDIDATE && vote.term() == term",
                    "role == RaftStatus.Role.CANDIDATE"),
            new Mutant(
                    "who has handed over takes a lease again",
                    NODE,
                    "private void extendLease(",
                    "if (!handedOver) {",
                    "if (round >= 0) {"));

    private CutOffFaults() {}
}

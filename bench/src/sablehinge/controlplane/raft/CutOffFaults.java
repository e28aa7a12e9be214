package sablehinge.controlplane.raft;

import static sablehinge.controlplane.raft.Faults.BARRIERS;
import static sablehinge.controlplane.raft.Faults.CANDIDATE;
import static sablehinge.controlplane.raft.Faults.FOLLOWER;
import static sablehinge.controlplane.raft.Faults.LEADER;
import static sablehinge.controlplane.raft.Faults.NODE;
import static sablehinge.controlplane.raft.Faults.ROUNDS;

import java.util.List;
import sablehinge.torture.Mutant;

/** Faults by which a machine that is cut off, frozen or deposed answers as if it led. */
final class CutOffFaults {

    static final List<Mutant> ALL = List.of(
            new Mutant(
                    "a lease counts from the answer's arrival",
                    ROUNDS,
                    "void extendLease(",
                    "sentAt[(int) (answered % ROUND_HISTORY_SIZE)]",
                    "peers.values().stream().mapToDouble(one -> one.lastResponseAt).max().orElse(0)"),
            new Mutant(
                    "a lease is as long as voters wait", ROUNDS, "void extendLease(", "LEASE_SHARE * state", "state"),
            new Mutant(
                    "who hears a leader votes for another",
                    CANDIDATE,
                    "void handleVoteRequest(",
                    "hasLeader && !(request.leadershipTransfer() && fromVoter)",
                    "hasLeader && !fromVoter"),
            new Mutant(
                    "who starts again forgets that it answered a leader",
                    NODE,
                    "public void start(",
                    "state.lastLeaderContactAt = processStartedAt;",
                    ""),
            new Mutant(
                    "a follower does not note that it heard its leader",
                    FOLLOWER,
                    "private boolean acceptLeader(",
                    "state.lastLeaderContactAt = now;",
                    ""),
            new Mutant(
                    "a barrier counts answers to an older round",
                    BARRIERS,
                    "void add(",
                    "leader.rounds.latest() + 1,",
                    "leader.rounds.latest(),"),
            new Mutant(
                    "a barrier does not wait for the term's first commit",
                    BARRIERS,
                    "void add(",
                    "Math.max(state.commitIndex, leader.firstIndexOfTerm())",
                    "state.commitIndex"),
            new Mutant(
                    "a barrier needs no answers of others",
                    ROUNDS,
                    "long answeredByMajorityOf(List",
                    "rounds[rounds.length - (members.size() / 2 + 1)]",
                    "rounds[rounds.length - 1]"),
            new Mutant(
                    "a barrier is confirmed before its entries are applied",
                    BARRIERS,
                    "void confirm(",
                    "barrier.round() <= answered && barrier.index() <= state.commitIndex",
                    "barrier.round() <= answered"),
            new Mutant("rounds of an older term count", FOLLOWER, "void resetForTerm(", "lastRound = 0;", ""),
            new Mutant(
                    "an answer counts for a later term",
                    LEADER,
                    "private ReplicaProgress noteResponse(",
                    "responseTerm < state.term",
                    "responseTerm < 0"),
            new Mutant(
                    "a leader of an older term is followed",
                    FOLLOWER,
                    "private boolean acceptLeader(",
                    "leaderTerm < state.term || leaderTerm == state.term",
                    "leaderTerm == state.term"),
            new Mutant(
                    "votes of an older term count",
                    CANDIDATE,
                    "void handleVoteResponse(",
                    "state.role == RaftStatus.Role.CANDIDATE && response.term() == state.term",
                    "state.role == RaftStatus.Role.CANDIDATE"),
            new Mutant(
                    "who has handed over takes a lease again",
                    ROUNDS,
                    "void extendLease(",
                    "if (!leaseRevoked) {",
                    "if (latest >= 0) {"));

    private CutOffFaults() {}
}

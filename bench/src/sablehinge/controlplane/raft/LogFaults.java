package sablehinge.controlplane.raft;

import static sablehinge.controlplane.raft.Faults.CANDIDATE;
import static sablehinge.controlplane.raft.Faults.FOLLOWER;
import static sablehinge.controlplane.raft.Faults.LEADER;
import static sablehinge.controlplane.raft.Faults.QUEUE;

import java.util.List;
import sablehinge.torture.Mutant;

/** Faults in votes and in the log itself. */
final class LogFaults {

    static final List<Mutant> ALL = List.of(
            new Mutant(
                    "a vote is answered before its sync",
                    CANDIDATE,
                    "void handleVoteRequest(",
                    "state.queue.sendWhenSynced(from, new",
                    "state.actions.send(from, new"),
            new Mutant(
                    "two votes in a term",
                    CANDIDATE,
                    "void handleVoteRequest(",
                    "(state.votedFor == 0 || state.votedFor == from.id())",
                    "state.term > 0"),
            new Mutant(
                    "an older term's entry is committed by counting",
                    LEADER,
                    "void advanceCommitIndex(",
                    "index > state.commitIndex && state.log.termAt(index) == state.term",
                    "index > state.commitIndex"),
            new Mutant(
                    "entries are acknowledged before their sync",
                    FOLLOWER,
                    "private Message.AppendResponse response(",
                    "Math.min(state.queue.syncedIndex(), verifiedIndex)",
                    "verifiedIndex"),
            new Mutant(
                    "a leader counts its own copy before its sync",
                    LEADER,
                    "private long majorityMatchIndex(",
                    "state.queue.syncedIndex()",
                    "state.log.lastIndex()"),
            new Mutant(
                    "entries that differ are not truncated",
                    FOLLOWER,
                    "private void appendEntry(Entry entry)",
                    "if (state.log.termAt(entry.index()) == entry.term()) {",
                    "if (state.log.termAt(entry.index()) > 0) {"),
            new Mutant(
                    "entries are taken behind one that differs",
                    FOLLOWER,
                    "void handleAppendRequest(",
                    "state.log.termAt(previous) != request.prevTerm()",
                    "state.log.termAt(previous) < 0"),
            new Mutant(
                    "what is truncated counts as synced",
                    QUEUE,
                    "private void limitSyncedTo(long from)",
                    "batch.lastIndex = Math.min(batch.lastIndex, from - 1);",
                    "batch.lastIndex += 0;"),
            new Mutant(
                    "an election does not compare logs",
                    CANDIDATE,
                    "private boolean isUpToDate(",
                    "return request.lastTerm()",
                    "return request.term() > 0 || request.lastTerm()"),
            new Mutant(
                    "an election compares lengths only",
                    CANDIDATE,
                    "private boolean isUpToDate(",
                    "request.lastTerm() == lastTerm && request.lastIndex()",
                    "request.lastIndex()"));

    /** Faults by which a deposed leader's entries count. */
    static final List<Mutant> DEPOSED = List.of(
            new Mutant(
                    "what a follower holds counts as the leader's",
                    FOLLOWER,
                    "appendEntry(entry);",
                    "Math.min(request.commit(), verifiedIndex)",
                    "Math.min(request.commit(), state.log.lastIndex())"),
            new Mutant(
                    "what another leader verified counts for the next",
                    FOLLOWER,
                    "void resetVerifiedIndex()",
                    "verifiedIndex = state.commitIndex;",
                    "verifiedIndex += 0;"));

    private LogFaults() {}
}

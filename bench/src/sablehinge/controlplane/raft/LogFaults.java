package sablehinge.controlplane.raft;

import static sablehinge.controlplane.raft.Faults.NODE;
import static sablehinge.controlplane.raft.Faults.QUEUE;

import java.util.List;
import sablehinge.torture.Mutant;

/** Faults in votes and in the log itself. */
final class LogFaults {

    static final List<Mutant> ALL = List.of(
            new Mutant(
                    "a vote is answered before its sync",
                    NODE,
                    "private void askVote(",
                    "queue.hold(from, new",
                    "actions.send(from, new"),
            new Mutant(
                    "two votes in a term",
                    NODE,
                    "private void askVote(",
                    "(votedFor == 0 || votedFor == from.id())",
                    "term > 0"),
            new Mutant(
                    "an older term's entry is committed by counting",
                    NODE,
                    "private void advance(",
                    "index > commit && log.termAt(index) == term",
                    "index > commit"),
            new Mutant(
                    "entries are acknowledged before their sync",
                    NODE,
                    "private Message.AppendResponse appended(",
                    "Math.min(queue.synced(), verified)",
                    "verified"),
            new Mutant(
                    "a leader counts its own copy before its sync",
                    NODE,
                    "private void advance(",
                    "queue.synced()",
                    "log.lastIndex()"),
            new Mutant(
                    "entries that differ are not truncated",
                    NODE,
                    "private void take(Entry entry)",
                    "if (log.termAt(entry.index()) == entry.term()) {",
                    "if (log.termAt(entry.index()) > 0) {"),
            new Mutant(
                    "entries are taken behind one that differs",
                    NODE,
                    "private void takeAppend(",
                    "log.termAt(previous) != append.prevTerm()",
                    "log.termAt(previous) < 0"),
            new Mutant(
                    "what is truncated counts as synced",
                    QUEUE,
                    "private void forget(long from)",
                    "one.end = Math.min(one.end, from - 1);",
                    "one.end += 0;"),
            new Mutant(
                    "an election does not compare logs",
                    NODE,
                    "private void askVote(",
                    "boolean current = ask.lastTerm()",
                    "boolean current = ask.term() > 0 || ask.lastTerm()"),
            new Mutant(
                    "an election compares lengths only",
                    NODE,
                    "private void askVote(",
                    "ask.lastTerm() == log.lastTerm() && ask.lastIndex()",
                    "ask.lastIndex()"));

    /** Faults by which a deposed leader's entries count. */
    static final List<Mutant> DEPOSED = List.of(
            new Mutant(
                    "what a follower holds counts as the leader's",
                    NODE,
                    "            take(entry);",
                    "Math.min(append.commit(), verified)",
                    "Math.min(append.commit(), log.lastIndex())"),
            new Mutant(
                    "what another leader verified counts for the next",
                    NODE,
                    "private void stepDown(",
                    "verified = commit;",
                    "verified += 0;"));

    private LogFaults() {}
}

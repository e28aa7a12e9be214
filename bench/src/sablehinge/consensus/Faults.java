package sablehinge.consensus;

import java.util.List;
import sablehinge.torture.Mutant;

/** Faults that somebody could make in the agreement; a checker that doesn't find them shows nothing. */
final class Faults {

    private static final String MASTER = "consensus/RaftNode";
    private static final String LEDGER = "consensus/RaftLog";
    private static final String DESK = "consensus/PersistQueue";
    private static final String CISTERN = "state/ConfigurationState";

    static final List<Mutant> ALL = List.of(
            new Mutant("a vote is answered before its sync", MASTER, "private void askVote(",
                    "queue.hold(from, new", "actions.send(from, new"),
            new Mutant("two votes in a term", MASTER, "private void askVote(",
                    "(votedFor == 0 || votedFor == from.id())", "term > 0"),
            new Mutant("who lost its disk comes back as its old self", "consensus/Member", "Member later(",
                    "return new Member(even == 0 ? 2 : even, address, control);",
                    "return founder(address, control);"),
            new Mutant("an older term's entry is committed by counting", MASTER, "private void advance(",
                    "index > commit && log.termAt(index) == term", "index > commit"),
            new Mutant("a lease counts from the answer's arrival", MASTER, "private void extendLease(",
                    "askedAt[(int) (answered % ASKED)]",
                    "peers.values().stream().mapToDouble(one -> one.heard).max().orElse(0)"),
            new Mutant("a lease is as long as voters wait", MASTER, "private void extendLease(",
                    "LEASE_PART * timing", "timing"),
            new Mutant("who hears a leader votes for another", MASTER, "private void askVote(",
                    "led && !(ask.handed() && known)", "led && !known"),
            new Mutant("who starts again forgets that it answered a leader", MASTER, "public void start(",
                    "leaderHeard = born;", ""),
            new Mutant("entries are acknowledged before their sync", MASTER,
                    "private Message.Appended appended(", "Math.min(queue.synced(), verified)", "verified"),
            new Mutant("a leader counts its own copy before its sync", MASTER, "private void advance(",
                    "queue.synced()", "log.lastIndex()"),
            new Mutant("members change while a change is uncommitted", MASTER, "private void changeMembers(",
                    "log.membersIndex() > commit || ", ""),
            new Mutant("a barrier counts answers to an older round", MASTER, "public void barrier(",
                    "new Barrier(token, round + 1,", "new Barrier(token, round,"),
            new Mutant("a barrier does not wait for the term's first commit", MASTER, "public void barrier(",
                    "Math.max(commit, firstOfTerm)", "commit"),
            new Mutant("a snapshot's term is forgotten", LEDGER, "void install(Snapshot snapshot)",
                    "rebase(snapshot, follows", "rebase(new Snapshot(snapshot.index(), 0, "
                    + "snapshot.members(), snapshot.state()), follows"),
            new Mutant("a snapshot's members are forgotten", LEDGER, "void install(Snapshot snapshot)",
                    "rebase(snapshot, follows", "rebase(isBare() ? snapshot : new Snapshot(snapshot.index(), "
                    + "snapshot.term(), base.members(), snapshot.state()), follows"),
            new Mutant("entries that differ are not truncated", MASTER, "private void take(Entry entry)",
                    "if (log.termAt(entry.index()) == entry.term()) {",
                    "if (log.termAt(entry.index()) > 0) {"),
            new Mutant("entries are taken behind one that differs", MASTER, "private void takeAppend(",
                    "log.termAt(previous) != append.prevTerm()", "log.termAt(previous) < 0"),
            new Mutant("what is truncated counts as synced", DESK, "private void forget(long from)",
                    "one.end = Math.min(one.end, from - 1);", "one.end += 0;"),
            new Mutant("an election does not compare logs", MASTER, "private void askVote(",
                    "boolean current = ask.lastTerm()", "boolean current = ask.term() > 0 || ask.lastTerm()"),
            new Mutant("an election compares lengths only", MASTER, "private void askVote(",
                    "ask.lastTerm() == log.lastTerm() && ask.lastIndex()", "ask.lastIndex()"),
            new Mutant("what a follower holds counts as the leader's", MASTER, "private void takeAppend(",
                    "Math.min(append.commit(), verified)", "Math.min(append.commit(), log.lastIndex())"),
            new Mutant("an answer counts for a later term", MASTER, "private void takeAppended(",
                    "answer.term() < term", "answer.term() < 0"),
            new Mutant("a configuration on an old version is taken", CISTERN, "public Outcome foresee(",
                    "basedOn != edition", "basedOn > edition"),
            new Mutant("a repeated configuration is not known again", CISTERN, "public Outcome foresee(",
                    "known != null &&", "known != null && edition < 0 &&"),
            new Mutant("a state forgets what was taken", CISTERN, "public void restore(byte[] state)",
                    "i < count", "i < 0 * count"));

    private Faults() {
    }
}

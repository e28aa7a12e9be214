package sablehinge.controlplane.raft;

import static sablehinge.controlplane.raft.Faults.FOLLOWER;
import static sablehinge.controlplane.raft.Faults.LOG;
import static sablehinge.controlplane.raft.Faults.NODE;
import static sablehinge.controlplane.raft.Faults.QUEUE;
import static sablehinge.controlplane.raft.Faults.REPLICATOR;

import java.util.List;
import sablehinge.torture.Mutant;

/** Faults in compaction and in snapshots under way. */
final class SnapshotFaults {

    private static final String SENDER = "controlplane/raft/SnapshotSender";
    private static final String RECEIVER = "controlplane/raft/SnapshotReceiver";

    static final List<Mutant> ALL = List.of(
            new Mutant(
                    "a snapshot's term is forgotten",
                    LOG,
                    "void install(Snapshot snapshot)",
                    "rebase(snapshot, matches",
                    "rebase(new Snapshot(snapshot.index(), 0, " + "snapshot.members(), snapshot.state()), matches"),
            new Mutant(
                    "a snapshot's members are forgotten",
                    LOG,
                    "void install(Snapshot snapshot)",
                    "rebase(snapshot, matches",
                    "rebase(isEmpty() ? snapshot : new Snapshot(snapshot.index(), "
                            + "snapshot.term(), base.members(), snapshot.state()), matches"),
            new Mutant(
                    "entries that differ stay behind a snapshot",
                    LOG,
                    "void install(Snapshot snapshot)",
                    "containsEntry(snapshot.index(), snapshot.term())",
                    "snapshot.index() >= base.index() && snapshot.index() <= lastIndex()"),
            new Mutant(
                    "members of entries that a snapshot drops stay",
                    LOG,
                    "void install(Snapshot snapshot)",
                    "memberLists.clear();",
                    ""),
            new Mutant(
                    "the disk keeps entries that a snapshot drops",
                    FOLLOWER,
                    "private void install(",
                    "state.queue.truncate(log.base().index() + 1);",
                    ""),
            new Mutant(
                    "an old snapshot takes the place of a newer state",
                    FOLLOWER,
                    "void handleInstallSnapshotRequest(",
                    "request.chunk().index() > state.commitIndex || state.log.isEmpty()",
                    "request.chunk().index() > 0 || state.log.isEmpty()"),
            new Mutant(
                    "entries in a snapshot are written behind it",
                    QUEUE,
                    "void snapshot(Snapshot newSnapshot)",
                    "newEntries.removeIf(entry -> entry.index() <= newSnapshot.index());",
                    ""),
            new Mutant(
                    "a host's older state takes the place of a newer snapshot",
                    NODE,
                    "public void compact(",
                    "index <= state.log.base().index()",
                    "index <= 0"),
            new Mutant(
                    "entries below a snapshot are compared",
                    FOLLOWER,
                    "void handleAppendRequest(",
                    "previous > state.commitIndex && state.log",
                    "state.log"),
            new Mutant(
                    "entries below a snapshot are appended",
                    FOLLOWER,
                    "private void appendEntry(Entry entry)",
                    "entry.index() <= state.log.base().index()",
                    "entry.index() < 0"),
            new Mutant(
                    "a start forgets that a snapshot is committed",
                    NODE,
                    "public void start(",
                    "state.commitIndex = stored.snapshot().index();",
                    ""),
            new Mutant(
                    "a lost chunk is never sent again",
                    SENDER,
                    "Message.InstallSnapshotRequest nextChunk(",
                    "sentAt = now;\n        sentRound = round;",
                    "sentAt = Double.MAX_VALUE;\n        sentRound = Long.MAX_VALUE;"),
            new Mutant(
                    "a chunk counts for another snapshot",
                    RECEIVER,
                    "private boolean isPartOfCurrent(",
                    "leaderTerm == request.term() && index == request.chunk().index()",
                    "leaderTerm > 0"),
            new Mutant(
                    "a chunk that comes twice counts twice",
                    RECEIVER,
                    "Snapshot receive(",
                    "request.offset() == receivedBytes",
                    "request.offset() <= receivedBytes"),
            new Mutant(
                    "a chunk before a lost one counts",
                    RECEIVER,
                    "Snapshot receive(",
                    "request.offset() == receivedBytes",
                    "request.offset() >= receivedBytes"),
            new Mutant(
                    "kept entries do not join the snapshot",
                    LOG,
                    "void install(Snapshot snapshot)",
                    "recent.clear();",
                    ""),
            new Mutant(
                    "entries are sent behind one that is not kept",
                    LOG,
                    "boolean canReadFrom(",
                    "recent.contains(index - 1)",
                    "recent.contains(index)"),
            new Mutant(
                    "who has nothing is sent entries only",
                    REPLICATOR,
                    "private void onRejected(",
                    "peer.empty = response.hint() < 0;",
                    "peer.empty = false;"));

    private SnapshotFaults() {}
}

package sablehinge.controlplane.raft;

import java.util.List;

/** What members say to each other. Each may be lost, doubled or overtaken by a later one. */
public sealed interface Message {

    /**
     * Asks for a vote.
     *
     * @param term that the sender stands in, or would stand in
     * @param lastIndex of the sender's log
     * @param lastTerm of the entry there
     * @param pre only asks whether the vote would be given; nothing follows from it
     * @param handed the leader wished it, so that having heard of a leader is no reason to refuse
     */
    record VoteRequest(long term, long lastIndex, long lastTerm, boolean pre, boolean handed) implements Message {}

    /**
     * Answers {@link VoteRequest}.
     *
     * @param term the one asked for if granted, else the latest that the sender has seen
     * @param granted whether the vote is given
     * @param pre as asked
     */
    record VoteResponse(long term, boolean granted, boolean pre) implements Message {}

    /**
     * A leader's entries, or only its sign of life.
     *
     * @param term of the leader
     * @param prevIndex the index before the first entry
     * @param prevTerm of the entry there
     * @param entries in order; may be empty
     * @param commit index up to which all is committed
     * @param round counts up with each question whether the leader still leads
     */
    record AppendRequest(long term, long prevIndex, long prevTerm, List<Entry> entries, long commit, long round)
            implements Message {

        /** A message whose list can't be changed. */
        public AppendRequest {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Answers {@link AppendRequest} and {@link InstallSnapshotRequest}.
     *
     * @param term the latest that the sender has seen
     * @param success whether the sender's log holds the entry before the sent ones
     * @param matchIndex up to here the sender's disk surely holds what the leader's log holds
     * @param hint if success, up to here its memory does; else the last index worth trying, and -1 if only a snapshot
     *     will do
     * @param round the highest of this leader that the sender has seen
     */
    record AppendResponse(long term, boolean success, long matchIndex, long hint, long round) implements Message {}

    /**
     * A chunk of a snapshot for who is behind the start of the leader's log.
     *
     * @param term of the leader
     * @param part the snapshot; of its state only the bytes from {@code offset} on that are in this chunk
     * @param offset of the chunk's first byte in the state
     * @param total bytes of the whole state
     * @param round as in {@link AppendRequest}
     */
    record InstallSnapshotRequest(long term, Snapshot part, int offset, int total, long round) implements Message {

        /** A whole snapshot in one chunk. */
        public InstallSnapshotRequest(long term, Snapshot snapshot, long round) {
            this(term, snapshot, 0, snapshot.state().length, round);
        }

        /** Whether this chunk is all of the snapshot. */
        public boolean isComplete() {
            return offset == 0 && part.state().length == total;
        }
    }

    /**
     * Answers an {@link InstallSnapshotRequest} that does not make the snapshot whole.
     *
     * @param term the latest that the sender has seen
     * @param index of the snapshot's last entry
     * @param held up to this byte the sender holds the snapshot's state
     * @param round the highest of this leader that the sender has seen
     */
    record InstallSnapshotResponse(long term, long index, int held, long round) implements Message {}

    /**
     * Asks to be let in, or to hear of the leader.
     *
     * @param self who asks
     * @param lastIndex of the log of who asks
     */
    record JoinRequest(Member self, long lastIndex) implements Message {}

    /**
     * Answers {@link JoinRequest} of one that the sender does not feed.
     *
     * @param term the latest that the sender has seen
     * @param leader null where none is known
     * @param members the latest list of the sender
     */
    record LeaderHint(long term, Member leader, List<Member> members) implements Message {

        /** A message whose list can't be changed. */
        public LeaderHint {
            members = List.copyOf(members);
        }
    }

    /**
     * The leader asks a member to stand at once.
     *
     * @param term of the leader
     */
    record TimeoutNowRequest(long term) implements Message {}

    /**
     * The sender's process is about to end, perhaps for good. Said to the leader again and again until it answers with
     * {@link LeaveResponse}.
     *
     * @param self who ends
     */
    record LeaveRequest(Member self) implements Message {}

    /**
     * Answers {@link LeaveRequest}: a majority of those that stay has everything on disk that is committed, and the one
     * that leaves is no voter any more or has no successor yet.
     *
     * @param term of the leader
     */
    record LeaveResponse(long term) implements Message {}
}

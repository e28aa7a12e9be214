package sablehinge.controlplane.raft;

import java.util.List;

/**
 * The messages between replicas. Messages may be lost, duplicated and reordered. {@code RaftMessageCodec} implements
 * their wire format.
 */
public sealed interface Message {

    /** Calls the visitor's method for this type of message. */
    <E extends Exception> void accept(Visitor<E> visitor) throws E;

    /**
     * One method for each type of message.
     *
     * @param <E> the checked exception that a visitor may throw
     */
    interface Visitor<E extends Exception> {

        /** Visits a {@link VoteRequest}. */
        void visit(VoteRequest request) throws E;

        /** Visits a {@link VoteResponse}. */
        void visit(VoteResponse response) throws E;

        /** Visits an {@link AppendRequest}. */
        void visit(AppendRequest request) throws E;

        /** Visits an {@link AppendResponse}. */
        void visit(AppendResponse response) throws E;

        /** Visits an {@link InstallSnapshotRequest}. */
        void visit(InstallSnapshotRequest request) throws E;

        /** Visits an {@link InstallSnapshotResponse}. */
        void visit(InstallSnapshotResponse response) throws E;

        /** Visits a {@link JoinRequest}. */
        void visit(JoinRequest request) throws E;

        /** Visits a {@link LeaderHint}. */
        void visit(LeaderHint hint) throws E;

        /** Visits a {@link TimeoutNowRequest}. */
        void visit(TimeoutNowRequest request) throws E;

        /** Visits a {@link LeaveRequest}. */
        void visit(LeaveRequest request) throws E;

        /** Visits a {@link LeaveResponse}. */
        void visit(LeaveResponse response) throws E;
    }

    /**
     * Requests a vote or a pre-vote.
     *
     * @param term term of the election, or for a pre-vote the term in which the sender would start one
     * @param lastIndex index of the last entry in the sender's log
     * @param lastTerm term of that entry
     * @param preVote whether the sender only asks if the receiver would grant its vote, which changes no state
     * @param leadershipTransfer whether the leader has requested the election, so that contact with a leader is no
     *     reason to reject the request
     */
    record VoteRequest(long term, long lastIndex, long lastTerm, boolean preVote, boolean leadershipTransfer)
            implements Message {
        @Override
        public <E extends Exception> void accept(Visitor<E> visitor) throws E {
            visitor.visit(this);
        }
    }

    /**
     * Answers {@link VoteRequest}.
     *
     * @param term the requested term if granted, else the latest term that the sender has seen
     * @param granted whether the vote is granted
     * @param preVote as in the request
     */
    record VoteResponse(long term, boolean granted, boolean preVote) implements Message {
        @Override
        public <E extends Exception> void accept(Visitor<E> visitor) throws E {
            visitor.visit(this);
        }
    }

    /**
     * Replicates entries of the leader's log; a heartbeat if there are no entries.
     *
     * @param term term of the leader
     * @param prevIndex index before the first entry
     * @param prevTerm term of the entry at {@code prevIndex}
     * @param entries entries in index order; may be empty
     * @param commit the leader's commit index
     * @param round the latest heartbeat round of the leader, see {@link HeartbeatRounds}
     */
    record AppendRequest(long term, long prevIndex, long prevTerm, List<Entry> entries, long commit, long round)
            implements Message {

        /** Copies the list, so that it is unmodifiable. */
        public AppendRequest {
            entries = List.copyOf(entries);
        }

        @Override
        public <E extends Exception> void accept(Visitor<E> visitor) throws E {
            visitor.visit(this);
        }
    }

    /**
     * Answers {@link AppendRequest}, and the {@link InstallSnapshotRequest} that completes a snapshot.
     *
     * @param term the latest term that the sender has seen
     * @param success whether the sender's log has the entry that precedes the sent entries
     * @param matchIndex the index up to which the sender's disk is known to match the leader's log
     * @param hint on success, the index up to which the sender's log in memory matches; on failure, the last index that
     *     may match, or -1 if the sender needs a snapshot
     * @param round the highest heartbeat round of this leader that the sender has seen
     */
    record AppendResponse(long term, boolean success, long matchIndex, long hint, long round) implements Message {
        @Override
        public <E extends Exception> void accept(Visitor<E> visitor) throws E {
            visitor.visit(this);
        }
    }

    /**
     * Sends a chunk of a snapshot to a peer that lacks entries which the leader's log no longer has.
     *
     * @param term term of the leader
     * @param chunk the snapshot, with only the bytes of this chunk as its state
     * @param offset offset of the chunk's first byte in the state
     * @param total size of the complete state in bytes
     * @param round as in {@link AppendRequest}
     */
    record InstallSnapshotRequest(long term, Snapshot chunk, int offset, int total, long round) implements Message {

        /** Creates a request with a complete snapshot in one chunk. */
        public InstallSnapshotRequest(long term, Snapshot snapshot, long round) {
            this(term, snapshot, 0, snapshot.state().length, round);
        }

        /** Whether this chunk contains the complete snapshot. */
        public boolean isComplete() {
            return offset == 0 && chunk.state().length == total;
        }

        @Override
        public <E extends Exception> void accept(Visitor<E> visitor) throws E {
            visitor.visit(this);
        }
    }

    /**
     * Answers an {@link InstallSnapshotRequest} that does not complete the snapshot.
     *
     * @param term the latest term that the sender has seen
     * @param index index of the last entry that the snapshot covers
     * @param receivedBytes number of bytes of the state that the sender has received
     * @param round the highest heartbeat round of this leader that the sender has seen
     */
    record InstallSnapshotResponse(long term, long index, int receivedBytes, long round) implements Message {
        @Override
        public <E extends Exception> void accept(Visitor<E> visitor) throws E {
            visitor.visit(this);
        }
    }

    /**
     * Requests to become a voter; a receiver that is not the leader answers with a {@link LeaderHint}.
     *
     * @param self the sender
     * @param lastIndex index of the last entry in the sender's log
     */
    record JoinRequest(Member self, long lastIndex) implements Message {
        @Override
        public <E extends Exception> void accept(Visitor<E> visitor) throws E {
            visitor.visit(this);
        }
    }

    /**
     * Answers a {@link JoinRequest} that was sent to a replica other than the leader.
     *
     * @param term the latest term that the sender has seen
     * @param leader the leader; null if unknown
     * @param members the latest member list of the sender
     */
    record LeaderHint(long term, Member leader, List<Member> members) implements Message {

        /** Copies the list, so that it is unmodifiable. */
        public LeaderHint {
            members = List.copyOf(members);
        }

        @Override
        public <E extends Exception> void accept(Visitor<E> visitor) throws E {
            visitor.visit(this);
        }
    }

    /**
     * The leader requests a voter to start an election at once.
     *
     * @param term term of the leader
     */
    record TimeoutNowRequest(long term) implements Message {
        @Override
        public <E extends Exception> void accept(Visitor<E> visitor) throws E {
            visitor.visit(this);
        }
    }

    /**
     * Announces the shutdown of the sender's process, which may be permanent. Sent to the leader repeatedly until it
     * answers with {@link LeaveResponse}.
     *
     * @param self the sender
     */
    record LeaveRequest(Member self) implements Message {
        @Override
        public <E extends Exception> void accept(Visitor<E> visitor) throws E {
            visitor.visit(this);
        }
    }

    /**
     * Answers {@link LeaveRequest}: a majority of the remaining voters has all committed entries on disk, and the
     * leaving replica is no longer a voter or no learner can replace it.
     *
     * @param term term of the leader
     */
    record LeaveResponse(long term) implements Message {
        @Override
        public <E extends Exception> void accept(Visitor<E> visitor) throws E {
            visitor.visit(this);
        }
    }
}

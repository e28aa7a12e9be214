package sablehinge.controlplane.raft;

import java.util.List;

/**
 * What replicas send to each other. Each message may be lost, duplicated or overtaken by a later one.
 * {@code RaftMessageCodec} holds their form on the wire.
 */
public sealed interface Message {

    /** Hands this message to the method of a visitor that takes its type. */
    <E extends Exception> void accept(Visitor<E> visitor) throws E;

    /**
     * One method for each type of message.
     *
     * @param <E> what a visitor may throw
     */
    interface Visitor<E extends Exception> {

        /** A {@link VoteRequest}. */
        void visit(VoteRequest request) throws E;

        /** A {@link VoteResponse}. */
        void visit(VoteResponse response) throws E;

        /** An {@link AppendRequest}. */
        void visit(AppendRequest request) throws E;

        /** An {@link AppendResponse}. */
        void visit(AppendResponse response) throws E;

        /** An {@link InstallSnapshotRequest}. */
        void visit(InstallSnapshotRequest request) throws E;

        /** An {@link InstallSnapshotResponse}. */
        void visit(InstallSnapshotResponse response) throws E;

        /** A {@link JoinRequest}. */
        void visit(JoinRequest request) throws E;

        /** A {@link LeaderHint}. */
        void visit(LeaderHint hint) throws E;

        /** A {@link TimeoutNowRequest}. */
        void visit(TimeoutNowRequest request) throws E;

        /** A {@link LeaveRequest}. */
        void visit(LeaveRequest request) throws E;

        /** A {@link LeaveResponse}. */
        void visit(LeaveResponse response) throws E;
    }

    /**
     * Asks for a vote.
     *
     * @param term in which the sender stands for election, or would stand
     * @param lastIndex of the sender's log
     * @param lastTerm of the entry there
     * @param preVote only asks whether the vote would be given; nothing follows from it
     * @param leadershipTransfer the leader has requested the election, so that having heard of a leader is no reason to
     *     refuse
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
     * @param term the requested one if granted, else the latest that the sender has seen
     * @param granted whether the vote is given
     * @param preVote as in the request
     */
    record VoteResponse(long term, boolean granted, boolean preVote) implements Message {
        @Override
        public <E extends Exception> void accept(Visitor<E> visitor) throws E {
            visitor.visit(this);
        }
    }

    /**
     * A leader's entries, or its heartbeat where there are none.
     *
     * @param term of the leader
     * @param prevIndex the index before the first entry
     * @param prevTerm of the entry there
     * @param entries in order; may be empty
     * @param commit the leader's commit index
     * @param round the latest heartbeat round of the leader, see {@link HeartbeatRounds}
     */
    record AppendRequest(long term, long prevIndex, long prevTerm, List<Entry> entries, long commit, long round)
            implements Message {

        /** A message whose list can't be changed. */
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
     * @param term the latest that the sender has seen
     * @param success whether the sender's log holds the entry before the sent ones
     * @param matchIndex up to here the sender's disk surely holds what the leader's log holds
     * @param hint if success, up to here its memory does; else the last index that may match, and -1 if only a snapshot
     *     will do
     * @param round the highest heartbeat round of this leader that the sender has seen
     */
    record AppendResponse(long term, boolean success, long matchIndex, long hint, long round) implements Message {
        @Override
        public <E extends Exception> void accept(Visitor<E> visitor) throws E {
            visitor.visit(this);
        }
    }

    /**
     * A chunk of a snapshot, for a peer whose log ends before the leader's begins.
     *
     * @param term of the leader
     * @param chunk the snapshot; of its state only the bytes from {@code offset} on that are in this chunk
     * @param offset of the chunk's first byte in the state
     * @param total bytes of the complete state
     * @param round as in {@link AppendRequest}
     */
    record InstallSnapshotRequest(long term, Snapshot chunk, int offset, int total, long round) implements Message {

        /** A complete snapshot in one chunk. */
        public InstallSnapshotRequest(long term, Snapshot snapshot, long round) {
            this(term, snapshot, 0, snapshot.state().length, round);
        }

        /** Whether this chunk is all of the snapshot. */
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
     * @param term the latest that the sender has seen
     * @param index of the snapshot's last entry
     * @param receivedBytes up to this byte the sender has the snapshot's state
     * @param round the highest heartbeat round of this leader that the sender has seen
     */
    record InstallSnapshotResponse(long term, long index, int receivedBytes, long round) implements Message {
        @Override
        public <E extends Exception> void accept(Visitor<E> visitor) throws E {
            visitor.visit(this);
        }
    }

    /**
     * Asks to become a voter, or to hear of the leader.
     *
     * @param self the sender
     * @param lastIndex of the sender's log
     */
    record JoinRequest(Member self, long lastIndex) implements Message {
        @Override
        public <E extends Exception> void accept(Visitor<E> visitor) throws E {
            visitor.visit(this);
        }
    }

    /**
     * Answers {@link JoinRequest} where the receiver does not lead.
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

        @Override
        public <E extends Exception> void accept(Visitor<E> visitor) throws E {
            visitor.visit(this);
        }
    }

    /**
     * The leader asks a voter to start an election at once.
     *
     * @param term of the leader
     */
    record TimeoutNowRequest(long term) implements Message {
        @Override
        public <E extends Exception> void accept(Visitor<E> visitor) throws E {
            visitor.visit(this);
        }
    }

    /**
     * The sender's process is about to end, perhaps for good. Sent to the leader again and again until it answers with
     * {@link LeaveResponse}.
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
     * Answers {@link LeaveRequest}: a majority of those that stay has everything on disk that is committed, and the one
     * that leaves is no voter any more or has no successor yet.
     *
     * @param term of the leader
     */
    record LeaveResponse(long term) implements Message {
        @Override
        public <E extends Exception> void accept(Visitor<E> visitor) throws E {
            visitor.visit(this);
        }
    }
}

package sablehinge.controlplane.raft;

/**
 * Graceful shutdown, of this process and of peers that have announced theirs to the leader.
 *
 * <p>The leaving process announces its shutdown to the leader until it is released: a majority of the remaining voters
 * then has all committed entries on disk, and if a learner was waiting, the learner has replaced this replica. A
 * leaving leader transfers its leadership first.
 */
final class Departure {

    /** Time between two announcements to the leader, ms. */
    private static final double ANNOUNCE_INTERVAL_MS = 100;
    /** Time that a leaving leader waits for a successor that has its complete log, ms. */
    private static final double COMPLETE_SUCCESSOR_WAIT_MS = 300;
    /** Time within which all learners have sent their join requests to a new leader, ms. */
    private static final double JOIN_REQUEST_WAIT_MS = CoreDiscovery.JOIN_INTERVAL_MS + 100;

    private final ReplicaState state;
    private final LeaderState leader;
    /** When this process began to shut down, ms; infinite until then. */
    private double leavingSince = Double.POSITIVE_INFINITY;

    private double nextAnnouncementAt;
    private boolean released;

    Departure(ReplicaState state, LeaderState leader) {
        this.state = state;
        this.leader = leader;
    }

    boolean isLeaving() {
        return leavingSince < Double.POSITIVE_INFINITY;
    }

    /** See {@link RaftNode#leave}. */
    void begin(double now) {
        leavingSince = now;
        nextAnnouncementAt = now;
        leader.markLeaving();
        if (state.running) {
            tick(now);
        } else {
            release();
        }
    }

    /** Continues the shutdown; called with each tick after {@link #begin}. */
    void tick(double now) {
        if (state.isLeader()) {
            leaveAsLeader(now);
        } else if (state.log.isEmpty()) {
            release();
        } else if (state.leader != null && now >= nextAnnouncementAt) {
            nextAnnouncementAt = now + ANNOUNCE_INTERVAL_MS;
            state.actions.send(state.leader, new Message.LeaveRequest(state.self));
        }
    }

    private void leaveAsLeader(double now) {
        LeadershipTransfer transfer = leader.transfer;
        if (transfer.isDue(now)) {
            boolean waitsForCompleteLog = now - leavingSince <= COMPLETE_SUCCESSOR_WAIT_MS;
            ReplicaProgress successor =
                    transfer.successor(now, waitsForCompleteLog ? state.log.lastIndex() : state.commitIndex);
            if (successor != null) {
                transfer.transferTo(now, successor);
                return;
            }
        }
        if (transfer.successor(now, 0) == null
                && state.log.lastIndex() == state.commitIndex
                && isReplicatedWithout(now, state.self.id())) {
            release();
        }
    }

    private void release() {
        if (isLeaving() && !released) {
            released = true;
            state.actions.released();
        }
    }

    /** Handles the announced shutdown of a peer: the leader replaces the peer by a learner, if any, and releases it. */
    void handleLeaveRequest(double now, Message.LeaveRequest request) {
        if (!state.isLeader() || state.commitIndex < leader.firstIndexOfTerm()) {
            return;
        }
        Member leaving = request.self();
        ReplicaProgress peer = leader.peers.get(leaving.id());
        if (peer != null) {
            peer.leaveAnnouncedAt = now;
            leader.changeVoters(now);
        }
        if (isLeaving()) {
            // The leaving peer may be the chosen successor of this leader.
            leader.transfer.retryNow(now);
        }
        boolean replaceable = state.log.isVoter(leaving.id())
                && (leader.hasLearner(now) || now - leader.electedAt() <= JOIN_REQUEST_WAIT_MS);
        if (state.log.membersIndex() <= state.commitIndex && !replaceable && isReplicatedWithout(now, leaving.id())) {
            state.actions.send(leaving, new Message.LeaveResponse(state.term));
        }
    }

    void handleLeaveResponse(Message.LeaveResponse response) {
        if (response.term() == state.term) {
            release();
        }
    }

    /**
     * Whether a majority of the voters that remain without the given one has all committed entries on disk. If the
     * remaining voters are no majority, the entire core is being stopped and no process needs to wait.
     */
    private boolean isReplicatedWithout(double now, long id) {
        int remaining = 0;
        int caughtUp = 0;
        for (Member member : state.log.members()) {
            boolean isSelf = state.isSelf(member);
            ReplicaProgress peer = leader.peers.get(member.id());
            if (member.id() != id && !(isSelf ? isLeaving() : peer.isLeaving(now, state.config))) {
                remaining++;
                caughtUp += (isSelf ? state.queue.syncedIndex() : peer.matchIndex) >= state.commitIndex ? 1 : 0;
            }
        }
        return remaining < state.majority() || caughtUp >= remaining / 2 + 1;
    }
}

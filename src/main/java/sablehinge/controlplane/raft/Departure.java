package sablehinge.controlplane.raft;

/**
 * Processes that are about to end: this one, and peers that have announced it to the leader.
 *
 * <p>The leaving process announces itself to the leader until it is released, which means that a majority of those that
 * stay has everything committed on disk and that, where a learner waits, it has taken the place. A leader that leaves
 * transfers its leadership first.
 */
final class Departure {

    /** Between two announcements to the leader, ms. */
    private static final double ANNOUNCE_INTERVAL_MS = 100;
    /** For so long a leaving leader waits for a successor that has all of its log, ms. */
    private static final double COMPLETE_SUCCESSOR_WAIT_MS = 300;
    /** After so long all learners have sent a new leader their request to become voters, ms. */
    private static final double ALL_JOINED_MS = CoreDiscovery.JOIN_INTERVAL_MS + 100;

    private final ReplicaState state;
    private final LeaderState leader;
    /** Since when this process is about to end, ms; infinity while it is not. */
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

    /** Goes on with leaving; called with each tick after {@link #begin}. */
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
                && isHeldWithout(now, state.self.id())) {
            release();
        }
    }

    private void release() {
        if (isLeaving() && !released) {
            released = true;
            state.actions.released();
        }
    }

    /** A peer is about to end: as leader, its place is given to a learner and it is released. */
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
            // It may be the one that was to take over.
            leader.transfer.retryNow(now);
        }
        boolean replaceable = state.log.isVoter(leaving.id())
                && (leader.hasLearner(now) || now - leader.electedAt() <= ALL_JOINED_MS);
        if (state.log.membersIndex() <= state.commitIndex && !replaceable && isHeldWithout(now, leaving.id())) {
            state.actions.send(leaving, new Message.LeaveResponse(state.term));
        }
    }

    void handleLeaveResponse(Message.LeaveResponse response) {
        if (response.term() == state.term) {
            release();
        }
    }

    /**
     * Whether a majority of the voters that stay without one has everything that is committed. Where those that stay
     * are no majority all of the core is being stopped, and nobody has to wait for it.
     */
    private boolean isHeldWithout(double now, long id) {
        int staying = 0;
        int complete = 0;
        for (Member member : state.log.members()) {
            boolean own = state.isSelf(member);
            ReplicaProgress peer = leader.peers.get(member.id());
            if (member.id() != id && !(own ? isLeaving() : peer.isLeaving(now, state.config))) {
                staying++;
                complete += (own ? state.queue.syncedIndex() : peer.matchIndex) >= state.commitIndex ? 1 : 0;
            }
        }
        return staying < state.majority() || complete >= staying / 2 + 1;
    }
}

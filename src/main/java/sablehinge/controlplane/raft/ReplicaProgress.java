package sablehinge.controlplane.raft;

/** The leader's view of a peer to which it replicates, a voter or a learner. */
final class ReplicaProgress {

    final Member member;
    /** The index of the next entry to send. */
    long nextIndex;
    /** The index up to which the peer's disk is known to match the leader's log. */
    long matchIndex;
    /** The highest heartbeat round that the peer has answered. */
    long answeredRound;
    /** When the peer last answered, ms. */
    double lastResponseAt;
    /** When the peer last requested to become a voter, ms. */
    double joinRequestedAt = Double.NEGATIVE_INFINITY;
    /** When the peer last announced that its process is shutting down, ms. */
    double leaveAnnouncedAt = Double.NEGATIVE_INFINITY;
    /** Whether {@link #nextIndex} is an assumption; while it is, no entries are sent ahead of answers. */
    boolean probing = true;
    /** Whether the peer's log holds nothing to which entries could be appended, so that it needs a snapshot. */
    boolean empty;
    /** The snapshot transfer in progress; null for none. */
    SnapshotSender snapshot;
    /** The entries in flight. */
    final SendWindow window = new SendWindow();

    ReplicaProgress(Member member, long nextIndex, double lastResponseAt) {
        this.member = member;
        this.nextIndex = nextIndex;
        this.lastResponseAt = lastResponseAt;
    }

    /** Whether the peer has answered recently. */
    boolean isAlive(double now, RaftConfig config) {
        return now - lastResponseAt <= config.peerAliveMs();
    }

    /** Whether the peer has recently announced its shutdown; a restarted peer sends no such announcements. */
    boolean isLeaving(double now, RaftConfig config) {
        return now - leaveAnnouncedAt <= config.peerAliveMs();
    }
}

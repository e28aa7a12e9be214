package sablehinge.controlplane.raft;

/** What a leader knows of a peer that it replicates to, be it a voter or a learner. */
final class ReplicaProgress {

    final Member member;
    /** The index of the next entry to send. */
    long nextIndex;
    /** Up to this index the peer's disk surely holds the leader's log. */
    long matchIndex;
    /** The highest heartbeat round that it has answered. */
    long answeredRound;
    /** When it last answered, ms. */
    double lastResponseAt;
    /** When it last requested to become a voter, ms. */
    double joinRequestedAt = Double.NEGATIVE_INFINITY;
    /** When it last announced that its process is about to end, ms. */
    double leaveAnnouncedAt = Double.NEGATIVE_INFINITY;
    /** Whether {@link #nextIndex} is a guess: then nothing is sent ahead of answers. */
    boolean probing = true;
    /** Whether it has nothing to which entries could be appended, so that only a snapshot will do. */
    boolean empty;
    /** The snapshot that is being sent; null for none. */
    SnapshotSender snapshot;
    /** Entries that are in flight. */
    final SendWindow window = new SendWindow();

    ReplicaProgress(Member member, long nextIndex, double lastResponseAt) {
        this.member = member;
        this.nextIndex = nextIndex;
        this.lastResponseAt = lastResponseAt;
    }

    /** Whether it has answered lately. */
    boolean isAlive(double now, RaftConfig config) {
        return now - lastResponseAt <= config.peerAliveMs();
    }

    /** Whether it has announced lately that it is about to end; one that has come back does so no more. */
    boolean isLeaving(double now, RaftConfig config) {
        return now - leaveAnnouncedAt <= config.peerAliveMs();
    }
}

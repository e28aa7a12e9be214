package sablehinge.controlplane.raft;

import java.util.Objects;
import java.util.Random;
import java.util.Set;

/**
 * What a replica holds whatever its role: identity, term and vote, the log, the commit index and the election timer.
 *
 * <p>Term, vote and log count once {@link PersistQueue} has them on disk; this class holds what is decided, which may
 * be ahead of that. Roles change in {@link QuorumState} only. All calls come from one thread.
 */
final class ReplicaState {

    /** A leader that was not heard of for so long is forgotten, ms; the replica may have been removed meanwhile. */
    static final double LEADER_LOST_MS = 1500;
    /**
     * A disk that has been busy for longer is stalled, ms: its owner neither stands for election nor changes voters.
     */
    static final double DISK_BUSY_MS = 200;

    final RaftActions actions;
    final RaftConfig config;
    final Random random;
    final RaftLog log = new RaftLog();
    final PersistQueue queue = new PersistQueue();

    Member self;
    /** The time of the latest call, ms. */
    double lastNow;
    /** Whether this replica takes part; one that bootstraps does once its founding is on disk. */
    boolean running;

    long term;
    /** The id of the candidate that has this replica's vote in {@link #term}; 0 for none. */
    long votedFor;
    /** Every entry up to this index is committed and applied. */
    long commitIndex;

    RaftStatus.Role role = RaftStatus.Role.FOLLOWER;
    /** The leader of {@link #term} as far as known; null for none. */
    Member leader;

    double leaderHeardAt = Double.NEGATIVE_INFINITY;
    double electionDeadline;
    private RaftStatus published;

    ReplicaState(RaftActions actions, RaftConfig config, long seed) {
        this.actions = actions;
        this.config = config;
        this.random = new Random(seed);
    }

    boolean isLeader() {
        return role == RaftStatus.Role.LEADER;
    }

    /** Whether this replica is in the latest list of voters of its log, committed or not. */
    boolean isVoter() {
        return log.isVoter(self.id());
    }

    boolean isSelf(Member member) {
        return member.id() == self.id();
    }

    int majority() {
        return log.members().size() / 2 + 1;
    }

    /** Whether a majority of the voters is among some ids. */
    boolean hasMajority(Set<Long> ids) {
        int count = 0;
        for (Member member : log.members()) {
            if (ids.contains(member.id())) {
                count++;
            }
        }
        return count >= majority();
    }

    /** Whether the own disk is so slow that a vote of this replica would come late, or never. */
    boolean isDiskStalled(double now) {
        return now - queue.busySince() > DISK_BUSY_MS;
    }

    void resetElectionTimer(double now) {
        electionDeadline = now
                + config.minElectionTimeoutMs()
                + random.nextDouble() * (config.maxElectionTimeoutMs() - config.minElectionTimeoutMs());
    }

    /** Applies the entries up to an index. */
    void commitTo(double now, long index) {
        while (commitIndex < index) {
            commitIndex++;
            lastNow = now;
            actions.apply(log.entry(commitIndex));
        }
    }

    /** Hands to the disk what was decided since the last call, and sends the messages that need not wait for it. */
    void flush(double now) {
        lastNow = now;
        queue.flush(now, term, votedFor, log.lastIndex(), actions);
    }

    /** Ends each call of the node: flushes, and reports the status if it has changed. */
    void flushAndPublish(double now) {
        flush(now);
        RaftStatus.Role shown = isLeader() || isVoter() ? role : RaftStatus.Role.OUTSIDER;
        // Lists are never changed, so the same one is an equal one; this runs with every message.
        if (published == null
                || published.role() != shown
                || published.term() != term
                || published.members() != log.members()
                || !Objects.equals(published.leader(), leader)) {
            published = new RaftStatus(shown, term, leader, log.members());
            actions.onStatusChanged(published);
        }
    }
}

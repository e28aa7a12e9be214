package sablehinge.controlplane.raft;

import java.util.Objects;
import java.util.Random;
import java.util.Set;

/**
 * The state of a replica that does not depend on its role: identity, term and vote, log, commit index and election
 * timer.
 *
 * <p>Term, vote and log take effect once {@link PersistQueue} has them on disk; the values here may be ahead of the
 * disk. Only {@link QuorumState} changes the role. All calls are made on one thread.
 */
final class ReplicaState {

    /**
     * Time without a message of the leader after which a replica regards the leader as unknown, ms. The replica may
     * have been removed from the core in the meantime.
     */
    static final double LEADER_LOST_MS = 1500;
    /**
     * A disk that has been busy for longer than this is stalled, ms. A replica with a stalled disk starts no election
     * and changes no voters.
     */
    static final double DISK_BUSY_MS = 200;

    final RaftActions actions;
    final RaftConfig config;
    final Random random;
    final RaftLog log = new RaftLog();
    final PersistQueue queue = new PersistQueue();

    Member self;
    /** Time of the latest call, ms. */
    double lastNow;
    /** Whether this replica takes part in the protocol; after a bootstrap, once the initial snapshot is on disk. */
    boolean running;

    long term;
    /** The id of the candidate that this replica voted for in {@link #term}; 0 for none. */
    long votedFor;
    /** Every entry up to this index is committed and applied. */
    long commitIndex;

    RaftStatus.Role role = RaftStatus.Role.FOLLOWER;
    /** The leader of {@link #term}; null if unknown. */
    Member leader;

    double lastLeaderContactAt = Double.NEGATIVE_INFINITY;
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

    /** Whether this replica is in the latest member list of its log, committed or not. */
    boolean isVoter() {
        return log.isVoter(self.id());
    }

    boolean isSelf(Member member) {
        return member.id() == self.id();
    }

    int majority() {
        return log.members().size() / 2 + 1;
    }

    /** Whether the ids include a majority of the voters. */
    boolean hasMajority(Set<Long> ids) {
        int count = 0;
        for (Member member : log.members()) {
            if (ids.contains(member.id())) {
                count++;
            }
        }
        return count >= majority();
    }

    /** Whether this replica's disk is so slow that its vote would be late, or never be sent. */
    boolean isDiskStalled(double now) {
        return now - queue.busySince() > DISK_BUSY_MS;
    }

    void resetElectionTimer(double now) {
        electionDeadline = now
                + config.minElectionTimeoutMs()
                + random.nextDouble() * (config.maxElectionTimeoutMs() - config.minElectionTimeoutMs());
    }

    /** Commits and applies the entries up to an index. */
    void commitTo(double now, long index) {
        while (commitIndex < index) {
            commitIndex++;
            lastNow = now;
            actions.apply(log.entry(commitIndex));
        }
    }

    /** Passes the changes since the last call to the disk, and sends the messages that need not wait for the disk. */
    void flush(double now) {
        lastNow = now;
        queue.flush(now, term, votedFor, log.lastIndex(), actions);
    }

    /** Called at the end of each call of the node: flushes, and reports the status if it has changed. */
    void flushAndPublish(double now) {
        flush(now);
        RaftStatus.Role visibleRole = isLeader() || isVoter() ? role : RaftStatus.Role.OUTSIDER;
        // Member lists are immutable, so comparing references suffices; this runs for every message.
        if (published == null
                || published.role() != visibleRole
                || published.term() != term
                || published.members() != log.members()
                || !Objects.equals(published.leader(), leader)) {
            published = new RaftStatus(visibleRole, term, leader, log.members());
            actions.onStatusChanged(published);
        }
    }
}

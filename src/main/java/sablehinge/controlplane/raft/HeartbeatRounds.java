package sablehinge.controlplane.raft;

import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * The numbered heartbeat rounds by which a leader confirms its leadership, and the lease that it gains from the
 * answers.
 *
 * <p>The lease lasts for {@value #LEASE_SHARE} of the minimum election timeout, counted from when a round was
 * <em>sent</em> that a majority has answered: no member of that majority votes for another candidate before the timeout
 * has passed. It counts from the sending, since answers may have waited in a buffer, and is shorter than the timeout of
 * the voters, since clocks run at different speeds.
 */
final class HeartbeatRounds {

    /** Number of latest rounds whose send times are retained. */
    private static final int ROUND_HISTORY_SIZE = 64;
    /** Duration of the lease as a fraction of the minimum election timeout. */
    private static final double LEASE_SHARE = 0.8;

    private final ReplicaState state;
    private final Map<Long, ReplicaProgress> peers;
    private long latest;
    /** When each of the latest rounds was sent, ms, indexed by round number modulo {@link #ROUND_HISTORY_SIZE}. */
    private final double[] sentAt = new double[ROUND_HISTORY_SIZE];
    /** The commit index when each of the latest rounds was sent, indexed likewise. */
    private final long[] commitIndexAt = new long[ROUND_HISTORY_SIZE];

    private double leaseUntil = Double.NEGATIVE_INFINITY;
    /** Whether this leader has transferred its leadership in this term, after which it has no lease. */
    private boolean leaseRevoked;
    /** When the latest round that a majority has answered was sent, initially when the votes were requested; ms. */
    private double majorityContactAt = Double.NEGATIVE_INFINITY;

    HeartbeatRounds(ReplicaState state, Map<Long, ReplicaProgress> peers) {
        this.state = state;
        this.peers = peers;
    }

    /** Resets the rounds at the start of a term. */
    void reset(double electionStartedAt) {
        latest = 0;
        leaseRevoked = false;
        leaseUntil = Double.NEGATIVE_INFINITY;
        majorityContactAt = electionStartedAt;
    }

    /** Starts the next round. */
    void begin(double now) {
        latest++;
        sentAt[(int) (latest % ROUND_HISTORY_SIZE)] = now;
        commitIndexAt[(int) (latest % ROUND_HISTORY_SIZE)] = state.commitIndex;
    }

    /** The number of the latest round; 0 before the first. */
    long latest() {
        return latest;
    }

    /** The latest round that a majority of the voters has answered. */
    long answeredByMajority() {
        return answeredByMajorityOf(state.log.members());
    }

    /** The latest round that a majority of the given members has answered. */
    long answeredByMajorityOf(List<Member> members) {
        long[] rounds = new long[members.size()];
        for (int i = 0; i < rounds.length; i++) {
            long id = members.get(i).id();
            ReplicaProgress peer = peers.get(id);
            rounds[i] = id == state.self.id() ? Long.MAX_VALUE : peer == null ? 0 : peer.answeredRound;
        }
        Arrays.sort(rounds);
        return rounds[rounds.length - (members.size() / 2 + 1)];
    }

    /** Extends the lease after a peer has answered a later round than before. */
    void extendLease() {
        long answered = answeredByMajority();
        if (answered <= Math.max(0, latest - ROUND_HISTORY_SIZE)) {
            return;
        }
        majorityContactAt = Math.max(majorityContactAt, sentAt[(int) (answered % ROUND_HISTORY_SIZE)]);
        if (!leaseRevoked) {
            leaseUntil = Math.max(leaseUntil, majorityContactAt + LEASE_SHARE * state.config.minElectionTimeoutMs());
        }
    }

    /** Ends the lease for the rest of this term, as another replica may become the leader. */
    void revokeLease() {
        leaseRevoked = true;
        leaseUntil = Double.NEGATIVE_INFINITY;
    }

    boolean hasLease(double now) {
        // A sole member needs no answers, and no other replica can be elected.
        return state.running && state.isLeader() && (now < leaseUntil || state.majority() == 1);
    }

    /** Remaining time of the lease, ms; 0 if there is none. */
    double remainingLeaseMs(double now) {
        return hasLease(now) ? leaseUntil - now : 0;
    }

    /** See {@link RaftNode#sinceMajorityMs}. */
    double sinceMajorityMs(double now) {
        if (!state.running || !state.isLeader()) {
            return Double.POSITIVE_INFINITY;
        }
        return state.majority() == 1 ? 0 : now - majorityContactAt;
    }

    /**
     * Whether a peer's disk has all committed entries, or had all entries that were committed when the latest round
     * that the peer has answered was sent, if that was the latest round or the one before it. Under load the latest
     * commits are newer than any answer.
     */
    boolean isCaughtUp(ReplicaProgress peer) {
        boolean hadAll = peer.answeredRound > 0
                && peer.answeredRound >= latest - 1
                && peer.matchIndex >= commitIndexAt[(int) (peer.answeredRound % ROUND_HISTORY_SIZE)];
        return hadAll || peer.matchIndex >= state.commitIndex;
    }
}

package sablehinge.controlplane.raft;

import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * The numbered rounds in which a leader asks its peers whether it still leads, and the lease that their answers give.
 *
 * <p>The lease lasts for {@value #LEASE_SHARE} of the shortest election timeout from when a round was <em>sent</em>
 * that a majority has answered: none of that majority votes for another before the timeout is over. It counts from the
 * sending, since an answer may have waited in a buffer, and is shorter than voters wait, since clocks differ in speed.
 */
final class HeartbeatRounds {

    /** Rounds whose time of sending is remembered. */
    private static final int REMEMBERED = 64;
    /** The share of the shortest election timeout for which a lease lasts. */
    private static final double LEASE_SHARE = 0.8;

    private final ReplicaState state;
    private final Map<Long, ReplicaProgress> peers;
    private long latest;
    /** When each of the last rounds was sent, ms, by the round's number modulo {@link #REMEMBERED}. */
    private final double[] sentAt = new double[REMEMBERED];
    /** The commit index when each of the last rounds was sent. */
    private final long[] commitIndexAt = new long[REMEMBERED];

    private double leaseUntil = Double.NEGATIVE_INFINITY;
    /** Whether leadership was transferred in this term: from then on there is no lease. */
    private boolean leaseGivenUp;
    /** When the latest round was sent that a majority has answered; or when the votes were requested, ms. */
    private double majorityContactAt = Double.NEGATIVE_INFINITY;

    HeartbeatRounds(ReplicaState state, Map<Long, ReplicaProgress> peers) {
        this.state = state;
        this.peers = peers;
    }

    /** Begins a term. */
    void reset(double electionStartedAt) {
        latest = 0;
        leaseGivenUp = false;
        leaseUntil = Double.NEGATIVE_INFINITY;
        majorityContactAt = electionStartedAt;
    }

    /** Begins the next round. */
    void begin(double now) {
        latest++;
        sentAt[(int) (latest % REMEMBERED)] = now;
        commitIndexAt[(int) (latest % REMEMBERED)] = state.commitIndex;
    }

    /** The number of the latest round; 0 before the first. */
    long latest() {
        return latest;
    }

    /** The latest round that a majority of the voters has answered. */
    long answeredByMajority() {
        return answeredByMajorityOf(state.log.members());
    }

    /** The latest round that a majority of a list has answered. */
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

    /** A peer has answered a later round than before. */
    void extendLease() {
        long answered = answeredByMajority();
        if (answered <= Math.max(0, latest - REMEMBERED)) {
            return;
        }
        majorityContactAt = Math.max(majorityContactAt, sentAt[(int) (answered % REMEMBERED)]);
        if (!leaseGivenUp) {
            leaseUntil = Math.max(leaseUntil, majorityContactAt + LEASE_SHARE * state.config.minElectionTimeoutMs());
        }
    }

    /** Another may lead from now on; in this term there is no lease any more. */
    void giveUpLease() {
        leaseGivenUp = true;
        leaseUntil = Double.NEGATIVE_INFINITY;
    }

    boolean hasLease(double now) {
        // A sole member has nobody to ask, and nobody else can be voted for.
        return state.running && state.isLeader() && (now < leaseUntil || state.majority() == 1);
    }

    /** For how long the lease lasts, ms; 0 where there is none. */
    double leaseLeftMs(double now) {
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
     * Whether a peer's disk has all that is committed, or had all when the latest round was sent or the one before it,
     * which it has answered: under load, what is committed now is newer than any answer.
     */
    boolean isCaughtUp(ReplicaProgress peer) {
        boolean hadAll = peer.answeredRound > 0
                && peer.answeredRound >= latest - 1
                && peer.matchIndex >= commitIndexAt[(int) (peer.answeredRound % REMEMBERED)];
        return hadAll || peer.matchIndex >= state.commitIndex;
    }
}

package sablehinge.controlplane.raft;

/**
 * Timeouts and limits of the Raft protocol. Times are in ms of the monotonic clock that is passed with each call.
 *
 * @param heartbeatIntervalMs time between two heartbeats of a leader to each peer
 * @param minElectionTimeoutMs shortest time without a leader before a member starts an election; a member that received
 *     a message of a leader within this time grants no vote
 * @param maxElectionTimeoutMs longest time without a leader before a member starts an election
 * @param quorumTimeoutMs a leader steps down after it has received no answers of a majority for this time
 * @param voterLostMs a voter that has not answered for this time may be replaced by a learner that has caught up
 * @param peerAliveMs a peer that has answered within this time counts as alive
 * @param diskStallMs a leader transfers its leadership if its disk takes longer than this to sync a batch
 * @param barrierTimeoutMs a barrier that is not confirmed within this time is rejected
 * @param maxEntriesPerMessage maximum number of entries in one {@link Message.AppendRequest}
 * @param maxBytesPerMessage maximum bytes of entries in one {@link Message.AppendRequest}; a single entry may be larger
 * @param maxUncommittedEntries maximum number of entries that a leader accepts beyond the commit index
 */
public record RaftConfig(
        double heartbeatIntervalMs,
        double minElectionTimeoutMs,
        double maxElectionTimeoutMs,
        double quorumTimeoutMs,
        double voterLostMs,
        double peerAliveMs,
        double diskStallMs,
        double barrierTimeoutMs,
        int maxEntriesPerMessage,
        int maxBytesPerMessage,
        int maxUncommittedEntries) {

    /** Returns the configuration for a few machines in one network whose disks sync within a few ms. */
    public static RaftConfig defaults() {
        return new RaftConfig(100, 500, 1000, 900, 1500, 500, 1000, 2000, 64, 256 << 10, 256);
    }
}

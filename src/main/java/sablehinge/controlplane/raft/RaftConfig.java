package sablehinge.controlplane.raft;

/**
 * The timeouts and bounds of the Raft protocol. Times are in ms of the steady clock that is passed with each call.
 *
 * @param heartbeatIntervalMs between two heartbeats of a leader to each peer
 * @param minElectionTimeoutMs shortest time without a leader before a member starts an election; a member that heard of
 *     a leader within it grants no vote
 * @param maxElectionTimeoutMs longest time without a leader before a member starts an election
 * @param quorumTimeoutMs a leader that has had no answers of a majority for so long steps down
 * @param voterLostMs a voter that has not answered for so long may be replaced by a learner that has caught up
 * @param peerAliveMs a peer that has answered within this time counts as alive
 * @param diskStallMs a leader whose own disk takes longer transfers its leadership
 * @param barrierTimeoutMs a barrier that is not confirmed within this time is rejected
 * @param maxEntriesPerMessage entries in one {@link Message.AppendRequest}
 * @param maxBytesPerMessage bytes of entries in one {@link Message.AppendRequest}; a single entry may be larger
 * @param maxUncommittedEntries entries that a leader accepts ahead of the commit index
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

    /** For a few machines in one network whose disks sync within a few ms. */
    public static RaftConfig defaults() {
        return new RaftConfig(100, 500, 1000, 900, 1500, 500, 1000, 2000, 64, 256 << 10, 256);
    }
}

package sablehinge.controlplane.raft;

/**
 * The times and bounds of agreement. Times are in ms of the steady clock that is passed with each call.
 *
 * @param heartbeat between two messages of a leader to each peer
 * @param electionLeast least time without a leader before a member stands; a member that heard of one within it gives
 *     no vote
 * @param electionMost most time without a leader before a member stands
 * @param quorum a leader without answers of a majority for so long leads no more
 * @param silent a voter that has not answered for so long may be replaced by a learner that has everything
 * @param fresh a peer that has answered within this time counts as alive
 * @param stall a leader whose own disk takes longer hands over
 * @param barrier a barrier that is not confirmed within this time is denied
 * @param entries most entries in a message
 * @param bytes most bytes of entries in a message, but one entry always goes
 * @param waiting most entries that wait for their commit
 */
public record RaftConfig(
        double heartbeat,
        double electionLeast,
        double electionMost,
        double quorum,
        double silent,
        double fresh,
        double stall,
        double barrier,
        int entries,
        int bytes,
        int waiting) {

    /** For a few machines in one network whose disks sync in some ms. */
    public static RaftConfig usual() {
        return new RaftConfig(100, 500, 1000, 900, 1500, 500, 1000, 2000, 64, 256 << 10, 256);
    }
}

package sablehinge.controlplane.raft;

import java.util.Map;

/**
 * Metrics of a member at one moment.
 *
 * @param commit the commit index of the member
 * @param leaseMs remaining time of its leader lease; 0 if it holds none
 * @param sinceLastMessageMs time since the last message of a member, by the member's id: of all peers on a leader, of
 *     the leader only on any other member
 */
public record RaftMetrics(long commit, double leaseMs, Map<Long, Double> sinceLastMessageMs) {

    /** Copies the map, so that it is unmodifiable. */
    public RaftMetrics {
        sinceLastMessageMs = Map.copyOf(sinceLastMessageMs);
    }
}

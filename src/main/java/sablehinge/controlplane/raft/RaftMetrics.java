package sablehinge.controlplane.raft;

import java.util.Map;

/**
 * What a member can tell of its part at a moment.
 *
 * @param commit the index up to which it knows the log to be committed
 * @param leaseMs for how long it may still do what only one may do; 0 where it may not
 * @param sinceLastMessageMs by a member's id, since that one was last heard of: a leader's all others, another's leader
 */
public record RaftMetrics(long commit, double leaseMs, Map<Long, Double> sinceLastMessageMs) {

    /** A record whose map can't be changed. */
    public RaftMetrics {
        sinceLastMessageMs = Map.copyOf(sinceLastMessageMs);
    }
}

package sablehinge.controlplane.raft;

import java.util.ArrayList;
import java.util.List;

/**
 * Linearizable reads (Raft, 8): a barrier is confirmed once a majority has answered a heartbeat round that started
 * after the barrier was added, and the first entry of the leader's term is committed.
 */
final class ReadBarriers {

    private record Barrier(long token, long round, long index, double deadline) {}

    private final ReplicaState state;
    private final LeaderState leader;
    private final List<Barrier> barriers = new ArrayList<>();

    ReadBarriers(ReplicaState state, LeaderState leader) {
        this.state = state;
        this.leader = leader;
    }

    /** Adds a barrier, which is confirmed or rejected later, possibly during this call. */
    void add(double now, long token) {
        boolean hadPendingBarriers = !barriers.isEmpty();
        // Only a round that starts after this call counts; barriers that arrive during a round share the next one.
        barriers.add(new Barrier(
                token,
                leader.rounds.latest() + 1,
                Math.max(state.commitIndex, leader.firstIndexOfTerm()),
                now + state.config.barrierTimeoutMs()));
        if (!hadPendingBarriers) {
            leader.startRound(now);
        }
        confirm(now);
    }

    /** Confirms the barriers that are due, and starts a round if a barrier needs one and none is in flight. */
    void confirm(double now) {
        if (barriers.isEmpty()) {
            return;
        }
        long answered = leader.rounds.answeredByMajority();
        boolean roundMissing = false;
        for (Barrier barrier : List.copyOf(barriers)) {
            if (barrier.round() <= answered && barrier.index() <= state.commitIndex) {
                barriers.remove(barrier);
                state.actions.barrierConfirmed(barrier.token());
            } else if (barrier.round() > leader.rounds.latest()) {
                roundMissing = true;
            }
        }
        if (roundMissing && answered >= leader.rounds.latest()) {
            leader.startRound(now);
        }
    }

    /** Rejects the barriers whose deadline has passed. */
    void expire(double now) {
        for (Barrier barrier : List.copyOf(barriers)) {
            if (now >= barrier.deadline()) {
                barriers.remove(barrier);
                state.actions.barrierRejected(barrier.token());
            }
        }
    }

    /** Rejects all barriers, as this replica is no longer the leader. */
    void rejectAll() {
        barriers.forEach(barrier -> state.actions.barrierRejected(barrier.token()));
        barriers.clear();
    }
}

package sablehinge.controlplane.node;

import java.util.function.Supplier;
import sablehinge.controlplane.raft.RaftNode;
import sablehinge.controlplane.raft.RaftStatus;

/** The state of this node's Raft replica for the quorum gate. */
record RaftNodeView(RaftNode raft, Supplier<RaftStatus> status) implements QuorumGate.RaftView {

    @Override
    public RaftStatus raftStatus() {
        return status.get();
    }

    @Override
    public double sinceMajorityMs(double now) {
        return raft.sinceMajorityMs(now);
    }

    @Override
    public double sinceLeaderMs(double now) {
        return raft.sinceLeaderMs(now);
    }

    @Override
    public boolean hasLease(double now) {
        return raft.hasLease(now);
    }

    @Override
    public void barrier(double now, long token) {
        raft.barrier(now, token);
    }
}

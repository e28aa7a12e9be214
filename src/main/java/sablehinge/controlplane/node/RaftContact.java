package sablehinge.controlplane.node;

import java.util.function.Supplier;
import sablehinge.controlplane.raft.RaftNode;
import sablehinge.controlplane.raft.RaftStatus;

/** What the gate knows of the core, from the Raft node of this machine. */
record RaftContact(RaftNode raft, Supplier<RaftStatus> status) implements QuorumGate.Contact {

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

package sablehinge.controlplane.raft;

import java.util.List;
import java.util.stream.Stream;
import sablehinge.torture.Mutant;

/** Faults that somebody could make in the agreement; a checker that doesn't find them shows nothing. */
final class Faults {

    static final String NODE = "controlplane/raft/RaftNode";
    static final String REPLICA = "controlplane/raft/ReplicaState";
    static final String QUORUM = "controlplane/raft/QuorumState";
    static final String CANDIDATE = "controlplane/raft/CandidateState";
    static final String FOLLOWER = "controlplane/raft/FollowerState";
    static final String LEADER = "controlplane/raft/LeaderState";
    static final String ROUNDS = "controlplane/raft/HeartbeatRounds";
    static final String BARRIERS = "controlplane/raft/ReadBarriers";
    static final String REPLICATOR = "controlplane/raft/Replicator";
    static final String VOTER_CHANGES = "controlplane/raft/VoterChanges";
    static final String LOG = "controlplane/raft/RaftLog";
    static final String QUEUE = "controlplane/raft/PersistQueue";
    static final String STATE = "controlplane/state/ConfigurationState";

    static final List<Fault> ALL = Stream.of(
                    of(Fault.Point.LOG, LogFaults.ALL),
                    of(Fault.Point.DEPOSED, LogFaults.DEPOSED),
                    of(Fault.Point.CUT_OFF, CutOffFaults.ALL),
                    of(Fault.Point.ORDERS, OrderFaults.ALL),
                    of(Fault.Point.MEMBERSHIP, MembershipFaults.ALL),
                    of(Fault.Point.SNAPSHOTS, SnapshotFaults.ALL))
            .flatMap(one -> one)
            .toList();

    private Faults() {}

    private static Stream<Fault> of(Fault.Point point, List<Mutant> mutants) {
        return mutants.stream().map(mutant -> new Fault(point, mutant));
    }
}

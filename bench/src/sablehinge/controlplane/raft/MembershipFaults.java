package sablehinge.controlplane.raft;

import static sablehinge.controlplane.raft.Faults.LOG;
import static sablehinge.controlplane.raft.Faults.REPLICA;
import static sablehinge.controlplane.raft.Faults.VOTER_CHANGES;

import java.util.List;
import sablehinge.torture.Mutant;

/** Faults in members that come, go and lose their disks. */
final class MembershipFaults {

    private static final String PLANNER = "controlplane/raft/MembershipPlanner";
    private static final String CHANGE = "controlplane/raft/VoterChange";

    static final List<Mutant> ALL = List.of(
            new Mutant(
                    "who lost its disk comes back as its old self",
                    "controlplane/raft/Member",
                    "Member nonFounder(",
                    "return new Member(even == 0 ? 2 : even, address, control);",
                    "return founder(address, control);"),
            new Mutant(
                    "members change while a change is uncommitted",
                    VOTER_CHANGES,
                    "void appendNext(",
                    "state.log.membersIndex() > state.commitIndex || ",
                    ""),
            new Mutant(
                    "members stay when their entry is rolled back",
                    LOG,
                    "void truncate(long from)",
                    "memberLists.tailMap(from, true).clear();",
                    ""),
            new Mutant(
                    "a list that is appended does not count",
                    LOG,
                    "void append(Entry entry)",
                    "entry.kind() == Entry.Kind.MEMBERS",
                    "entry.index() < 0"),
            new Mutant(
                    "a snapshot has members that came later",
                    LOG,
                    "void compact(",
                    "memberLists.floorEntry(index).getValue()",
                    "members()"),
            new Mutant(
                    "half of an even core is a majority",
                    REPLICA,
                    "int majority()",
                    "log.members().size() / 2 + 1",
                    "(log.members().size() + 1) / 2"),
            new Mutant(
                    "a voter comes and another goes in one step",
                    CHANGE,
                    "List<Member> applied(",
                    "next.add(member);",
                    "next.add(member);\n            next.remove(0);"),
            new Mutant(
                    "all who wait are let in in one step",
                    VOTER_CHANGES,
                    "void appendNext(",
                    "nextChange.get().applied(state.log.members())",
                    "java.util.stream.Stream.concat(nextChange.get().applied(state.log.members()).stream(), "
                            + "learners.stream().map(MembershipPlanner.Replica::member)).distinct().toList()"),
            new Mutant(
                    "the core does not grow",
                    PLANNER,
                    "private Optional<VoterChange> nextDue(",
                    "voters.size() < targetVoters && ready.size() >= 2",
                    "voters.size() < 0"),
            new Mutant(
                    "a voter that lost its disk is not replaced",
                    PLANNER,
                    "private Optional<Replica> voterToRemove(",
                    "Replica longestSilent = null;",
                    "Replica longestSilent = null;\n        if (!voters.isEmpty()) {\n"
                            + "            return Optional.empty();\n        }"),
            new Mutant(
                    "an even core stays even",
                    PLANNER,
                    "private Optional<VoterChange> nextDue(",
                    "voters.size() % 2 == 0",
                    "voters.size() < 0"),
            new Mutant(
                    "who does not answer is let in",
                    PLANNER,
                    "private boolean hasMajorityAfter(",
                    "readyCount >= nextVoters.size() / 2 + 1",
                    "readyCount >= 0"));

    private MembershipFaults() {}
}

package sablehinge.consensus;

import static sablehinge.consensus.Faults.LOG;
import static sablehinge.consensus.Faults.NODE;

import java.util.List;
import sablehinge.torture.Mutant;

/** Faults in members that come, go and lose their disks. */
final class MembershipFaults {

    static final List<Mutant> ALL = List.of(
            new Mutant("who lost its disk comes back as its old self", "consensus/Member", "Member later(",
                    "return new Member(even == 0 ? 2 : even, address, control);",
                    "return founder(address, control);"),
            new Mutant("members change while a change is uncommitted", NODE, "private void changeMembers(",
                    "log.membersIndex() > commit || ", ""),
            new Mutant("members change before a commit of the term", NODE, "private void changeMembers(",
                    "commit < firstOfTerm || ", ""),
            new Mutant("members stay when their entry is rolled back", LOG, "void truncate(long from)",
                    "lists.tailMap(from, true).clear();", ""),
            new Mutant("a list that is appended does not count", LOG, "void append(Entry entry)",
                    "entry.kind() == Entry.Kind.MEMBERS", "entry.index() < 0"),
            new Mutant("a snapshot has members that came later", LOG, "void compact(",
                    "lists.floorEntry(index).getValue()", "members()"),
            new Mutant("half of an even core is a majority", NODE, "private int majority()",
                    "log.members().size() / 2 + 1", "(log.members().size() + 1) / 2"),
            new Mutant("a removal takes another with it", NODE, "private boolean letIn(",
                    "members.remove(goes);",
                    "members.remove(goes);\n        members.removeIf(one -> members.size() > 1 "
                    + "&& one.id() != self.id() && now - peers.get(one.id()).heard > 100);"),
            new Mutant("all who wait are let in at once", NODE, "private boolean letIn(",
                    "members.add(newcomer.member);",
                    "peers.values().stream().filter(one -> !log.holds(one.member.id()))"
                    + ".forEach(one -> members.add(one.member));"));

    private MembershipFaults() {
    }
}

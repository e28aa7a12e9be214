package sablehinge.controlplane.raft;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sablehinge.controlplane.raft.SimulatedCluster.Disk;
import sablehinge.controlplane.raft.SimulatedCluster.Machine;

/**
 * Starts of processes as a deployment has them. At the first start of all, every machine has a founder's name, but only
 * those that the seeds name found; after it, whoever has an empty disk has a new name. A founder's first write is its
 * name with its founding. That of any other is its name alone, and only when it is synced does the node ask to be let
 * in.
 */
final class DeploymentStart {

    private final SteppedCluster cluster;
    private final List<Member> founders = new ArrayList<>();
    /** Machines that have not had their first start. */
    private final Set<String> unstarted = new HashSet<>();
    /** Names whose writes are under way, by address. */
    private final Map<String, Member> names = new HashMap<>();

    DeploymentStart(SteppedCluster cluster) {
        this.cluster = cluster;
    }

    /** Sets up machines none of which has started; the first {@code seeds} are to found the core. */
    void machines(int seeds, int all) {
        for (int i = 0; i < all; i++) {
            Member member = Member.founder("10.0.0." + i + ":1", "c" + i);
            if (i < seeds) {
                founders.add(member);
            }
            unstarted.add(member.address());
            cluster.add(member.address()).self = member;
        }
        cluster.committedMembers = List.copyOf(founders);
        cluster.foundingMembers = cluster.committedMembers;
    }

    /** Whether a machine's name is on the way to its disk. */
    boolean isStarting(Machine machine) {
        return names.containsKey(machine.address);
    }

    /** A process begins on an empty disk. */
    void start(Machine machine) {
        boolean first = unstarted.remove(machine.address);
        if (first && founders.contains(machine.self)) {
            machine.bootstrapAs(machine.self, founders);
            return;
        }
        Member name = first
                ? machine.self
                : Member.nonFounder(cluster.randomLong(machine), machine.address, machine.self.control());
        machine.incarnation++;
        machine.self = name;
        names.put(machine.address, name);
    }

    /** The name arrives on the disk, or power is lost before or just after that. */
    boolean take(Machine machine, Step step) {
        Member name = names.remove(machine.address);
        if (step.kind() == Step.Kind.SYNC) {
            machine.startAs(name);
        } else if (step.n() > 0) {
            machine.disk.self = name;
        } else {
            cluster.lostDisks.put(name.id(), new Disk());
        }
        return true;
    }
}
